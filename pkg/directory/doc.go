// Package directory answers lookups: it returns the addresses of the entry
// instances to which a client should connect. The control goroutine publishes a
// View, and lookups read it without a lock.
package directory
