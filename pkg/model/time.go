package model

import "time"

// Time is Unix time in nanoseconds. Within one process it never goes back.
type Time int64

// Duration aliases time.Duration, so that reducers need no import of the
// package that also reads clocks.
type Duration = time.Duration

// Add returns t shifted by d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// UnixMilli returns t in milliseconds.
func (t Time) UnixMilli() int64 { return int64(t) / int64(time.Millisecond) }
