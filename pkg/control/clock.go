package control

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Clock returns Unix time that never decreases, even if the system clock is set
// back. It adds the monotonic time since its creation to the Unix time at its
// creation.
type Clock struct {
	start     time.Time
	startUnix model.Time
}

// NewClock returns a clock that starts at the present time of the system clock.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{start: now, startUnix: model.Time(now.UnixNano())}
}

// Now returns the present Unix time.
func (c *Clock) Now() model.Time { return c.startUnix.Add(time.Since(c.start)) }

// Offset returns by how much the time of day is ahead of Now. It changes when the system
// clock is set, and when the machine was suspended, since Now does not count that time.
func (c *Clock) Offset() time.Duration {
	now := time.Now()
	return time.Duration(now.UnixNano()-int64(c.startUnix)) - now.Sub(c.start)
}

// Until returns the duration from now until t, or 0 if t is in the past.
func (c *Clock) Until(t model.Time) time.Duration { return max(0, t.Sub(c.Now())) }
