// Package demo runs a small deployment in one process: entry instances in several
// zones on loopback sockets, fake upstreams and callers, and a few faults. It
// compares the results that callers received with the requests that upstreams
// executed.
package demo
