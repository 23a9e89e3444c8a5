// Package configbench measures configuration changes: racing operators change
// the configuration of a deployment that runs in this process, under faults,
// and every accepted change is checked afterwards.
package configbench
