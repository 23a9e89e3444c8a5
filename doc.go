// Package anvilcrank runs instances of a global traffic steering system inside
// any Go program. Instance runs an instance with the settings of pkg/settings.
// Node runs an instance with the entry or the control role. The daemon
// anvilcrankd is a thin wrapper around this package.
package anvilcrank
