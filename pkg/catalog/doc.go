// Package catalog is the state machine of configuration items and evacuations.
// Operators choose the version of each item. The item with the highest version
// is in force; if that version is a removal, there is no such item. Control
// instances apply committed commands in log order. pkg/fleet sends the changed
// items and evacuations to the other instances, which have no log and merge
// each by its version. Both ways lead to the same state.
package catalog
