// Package memory bounds the bytes that the traffic goroutines of a process hold for
// callers, upstreams and other instances: accepted connections, heads, requests, responses,
// received messages and copy buffers. One Budget serves the whole process, so that the number
// of connections times the limit of each cannot exceed the memory of the machine. Package
// inbound makes room in a budget that is exhausted; packages gateway, proxy and peer use it. It
// decides nothing else.
package memory
