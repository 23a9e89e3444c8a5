// Package view holds the immutable snapshot of the control state that traffic
// goroutines read, and answers lookups from it. The control goroutine publishes
// a new View after each change and never modifies a published one.
package view
