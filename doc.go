// Package anvilcrank runs instances of a global traffic steering system inside
// any program: Instance with the settings of pkg/settings, and Node with the
// entry or the control role. The daemon anvilcrankd is a thin wrapper around the
// package.
package anvilcrank
