// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside and checks the promises from what clients, upstreams and
// operators see. The schedule of a run follows from its seed.
package soak
