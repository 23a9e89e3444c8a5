// Package alarm provides a queue of items that become due at a given time. A
// sub-reducer uses it to find the time at which it must be called next without a
// scan of its whole state.
package alarm
