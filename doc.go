// Package anvilcrank runs an entry instance of a global traffic steering system
// inside any program. The daemon anvilcrankd is a thin wrapper around it.
package anvilcrank
