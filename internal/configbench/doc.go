// Package configbench benchmarks configuration changes under faults. Simulated
// operators concurrently change the configuration of a deployment that runs in this
// process, while the benchmark injects faults. It checks that every accepted change
// was applied exactly once and that no instance returned to an earlier version.
package configbench
