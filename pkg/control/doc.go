// Package control runs the reducer. One goroutine owns the control state,
// receives events from bounded queues and passes the effects that the reducer
// returns to their handlers. The package also executes writes to the data
// folder on a separate goroutine, records events, and replays recordings.
package control
