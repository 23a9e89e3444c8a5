// Package alarm provides a timer queue for the sub-reducers. It yields the time of
// the next wake-up without a scan of the whole state.
package alarm
