package model

import "time"

// Time is Unix time in nanoseconds. Within one process it never decreases.
type Time int64

// Duration is an alias of time.Duration. It lets reducers avoid importing package
// time, which also reads the clock.
type Duration = time.Duration

// Add returns the time t+d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// UnixMilli returns t in Unix milliseconds.
func (t Time) UnixMilli() int64 { return int64(t) / int64(time.Millisecond) }
