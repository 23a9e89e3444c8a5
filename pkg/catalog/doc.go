// Package catalog is the state machine of configuration items and evacuations.
// Operators choose the version of each item; the highest version is in force, also
// if it removes the item. The control role applies committed commands in log
// order. pkg/fleet sends the result to the other instances, which have no log and
// merge items by version alone. Both ways lead to the same state.
package catalog
