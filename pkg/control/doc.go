// Package control runs the reducer: one goroutine owns the control state, takes
// events from bounded queues and carries out the effects. It also records
// events for replay.
package control
