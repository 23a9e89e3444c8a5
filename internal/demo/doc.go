// Package demo runs a small deployment in one process: entry instances in
// several zones over real loopback sockets, fake upstreams and callers, and a few
// faults. It compares what callers were told with what ran.
package demo
