// Package deployment runs a whole deployment in one process for the demo and the
// benchmarks: entry instances on loopback sockets, fake upstreams and simulated
// latency between zones. It compares the results that callers received with the
// requests that upstreams executed.
package deployment
