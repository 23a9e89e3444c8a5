// Package control runs the reducer. One goroutine owns the control state,
// receives events from bounded queues and executes the effects that the reducer
// returns. The package also writes effects to storage, records events, and
// replays recordings.
package control
