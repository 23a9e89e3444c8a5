package control

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Clock gives Unix time that never goes back, whatever the system clock does.
type Clock struct {
	start     time.Time
	startUnix model.Time
}

// NewClock returns a clock that agrees with the system clock now.
func NewClock() *Clock {
	now := time.Now()
	return &Clock{start: now, startUnix: model.Time(now.UnixNano())}
}

// Now returns the time.
func (c *Clock) Now() model.Time { return c.startUnix.Add(time.Since(c.start)) }

// Until returns how long it is until t, at least 0.
func (c *Clock) Until(t model.Time) time.Duration { return max(0, t.Sub(c.Now())) }
