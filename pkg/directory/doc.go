// Package directory resolves the entry instances to which a client should connect.
// The control goroutine publishes a View; lookups read it without a lock.
package directory
