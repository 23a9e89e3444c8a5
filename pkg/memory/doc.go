// Package memory bounds the bytes that the traffic goroutines of a process hold for
// callers and upstreams: requests, responses and copy buffers. One Budget serves the whole
// process, so that the number of requests times the limit of each cannot exceed the memory
// of the machine. Packages gateway and proxy use it; it decides nothing else.
package memory
