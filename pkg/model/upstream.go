package model

import (
	"fmt"
	"math"
)

// UpstreamState is the state that an upstream announces.
type UpstreamState string

const (
	// Serving means that the upstream accepts requests.
	Serving UpstreamState = "serving"
	// Draining means that the upstream finishes its requests and accepts no new
	// ones.
	Draining UpstreamState = "draining"
	// Leaving means that the upstream deregisters with this announcement.
	Leaving UpstreamState = "leaving"
)

// Announcement is the message by which an upstream registers and then
// periodically confirms that it is alive.
type Announcement struct {
	Upstream    UpstreamID  `json:"upstream"`
	Incarnation Incarnation `json:"incarnation"`
	Service     ServiceName `json:"service"`
	Zone        Zone        `json:"zone"`
	// Address is where the upstream accepts requests.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream executes concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the highest number of connections of all instances together
	// to the upstream.
	MaxConnections int           `json:"connections"`
	State          UpstreamState `json:"state"`
	// First is true until the process of the upstream has received a reply to one of
	// its announcements. Until then, no instance can have requests in flight at this
	// process.
	First bool `json:"first,omitempty"`
	// InFlight is the number of requests at the upstream, by its own count. The
	// values of InFlight and Load may be out of date or wrong.
	InFlight int `json:"in_flight"`
	// Load is the load that the upstream measures, 0 or more. It is compared only
	// with the loads of other upstreams.
	Load float64 `json:"load"`
}

// Bounds of an announcement. Announcements with larger values are rejected as
// malformed.
const (
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxNameLength is the largest length of a name or address in bytes.
	MaxNameLength = 128
)

// Validate returns an error for the first invalid value of the announcement.
func (a *Announcement) Validate() error {
	if err := ValidateName("upstream", string(a.Upstream)); err != nil {
		return err
	}
	if err := ValidateName("service", string(a.Service)); err != nil {
		return err
	}
	if err := ValidateName("zone", string(a.Zone)); err != nil {
		return err
	}
	if err := ValidateAddress(a.Address); err != nil {
		return err
	}
	switch {
	case a.Incarnation <= 0:
		return fmt.Errorf("incarnation %d is not positive", a.Incarnation)
	case a.Slots < 1 || a.Slots > MaxSlots:
		return fmt.Errorf("slots %d is not in 1 to %d", a.Slots, MaxSlots)
	case a.MaxConnections < 1 || a.MaxConnections > MaxConnections:
		return fmt.Errorf("connections %d is not in 1 to %d", a.MaxConnections, MaxConnections)
	case a.State != Serving && a.State != Draining && a.State != Leaving:
		return fmt.Errorf("state %q is not serving, draining or leaving", a.State)
	case a.InFlight < 0:
		return fmt.Errorf("number in flight %d is negative", a.InFlight)
	case math.IsNaN(a.Load) || math.IsInf(a.Load, 0) || a.Load < 0:
		return fmt.Errorf("load is negative or not a finite number")
	}
	return nil
}
