package control

import "time"

// Suspend makes the clock behave as after a suspension of the machine: the time of day
// went on, and the clock of the events did not.
func (c *Clock) Suspend(d time.Duration) { c.start = c.start.Add(d) }
