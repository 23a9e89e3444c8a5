// Package soak runs anvilcrankd as separate processes on loopback, injects
// faults from outside, and checks the system's guarantees by what clients,
// upstreams and the operator observe. The seed determines the schedule.
package soak
