// Package view defines View, the immutable snapshot of the control state that the
// traffic goroutines read. A View answers lookups, by which callers find the
// instances to use. The control goroutine publishes a new View after each change
// of the state and never modifies a published View.
package view
