// Package inbound keeps the connections that clients, upstreams, operators and other instances
// have opened to a process, over all its listeners. It counts what each of them holds in the
// process's memory budget, from the moment it is accepted, and bounds their number. When the
// budget or the number is exhausted, it closes the connections that make the least progress for
// what they hold.
//
// Which connections are closed is decided by pure functions (policy.go) from a snapshot; the
// decision is a value, which Table carries out on the goroutine that needs the room. Package
// memory has the budget. The root package attaches all its HTTP servers to one Table.
package inbound
