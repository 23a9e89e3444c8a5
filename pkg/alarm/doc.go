// Package alarm provides a timer queue for the sub-reducers, so that the time
// of the next wake-up is known without a scan of all state.
package alarm
