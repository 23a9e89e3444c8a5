// Package configbench benchmarks configuration changes under faults. Concurrent
// operators change the configuration of a deployment that runs in this process,
// while faults are injected. Afterwards the package checks that every accepted
// change was applied exactly once and that no configuration was reverted.
package configbench
