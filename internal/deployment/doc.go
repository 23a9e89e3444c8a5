// Package deployment runs a whole deployment in one process for the demo and the
// benchmarks: entry instances on real loopback sockets, fake upstreams, the
// latency between their zones, and the comparison of what callers were told with
// what ran.
package deployment
