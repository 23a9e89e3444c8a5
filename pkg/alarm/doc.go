// Package alarm orders due times for the sub-reducers, so that the next wake-up
// is known without a walk over all state.
package alarm
