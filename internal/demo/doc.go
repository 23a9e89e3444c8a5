// Package demo runs a small deployment in one process. It starts instances in
// several zones on loopback sockets, together with fake upstreams and callers, and
// injects a few faults. Then it compares the results that callers received with the
// requests that upstreams executed.
package demo
