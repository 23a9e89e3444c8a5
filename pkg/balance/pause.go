package balance

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// pause is a time for which an upstream wants no requests from this instance, and
// the return to normal load after it.
type pause struct {
	until model.Time
	// maxInFlight limits the requests in flight after the pause, 0 for no limit. It
	// starts at 1 and doubles with each response, so that the requests that were
	// held up do not all arrive at once.
	maxInFlight int
}

// start begins a pause or extends the present one.
func (p *pause) start(until model.Time) {
	p.until = max(p.until, until)
	p.maxInFlight = 1
}

// allows reports whether a request may be sent while inFlight others are in
// flight.
func (p *pause) allows(at model.Time, inFlight int) bool {
	return at >= p.until && (p.maxInFlight == 0 || inFlight < p.maxInFlight)
}

// answered raises the limit after a response. The limit ends once it exceeds what
// the upstream can execute and queue.
func (p *pause) answered(at model.Time, slots float64) {
	if p.maxInFlight == 0 || at < p.until {
		return
	}
	p.maxInFlight *= 2
	if float64(p.maxInFlight) > 2*slots {
		p.maxInFlight = 0
	}
}

// Pause records that an upstream wants no requests until the given time. It
// reports false if the upstream or its process is unknown.
func (s *State) Pause(id model.UpstreamID, startMs int64, until model.Time) bool {
	t := s.targets[id]
	if t == nil || t.registration.StartTimeMs != startMs {
		return false
	}
	t.pause.start(until)
	return true
}

// RoomAt returns the earliest time at which one of the upstreams that are permitted
// for a request may receive it, as far as their statements, rates and pauses tell;
// 0 if there is no such upstream.
func (s *State) RoomAt(at model.Time, q *Query) model.Time {
	svc := s.services[q.Service]
	if svc == nil {
		return 0
	}
	var earliest model.Time
	for _, t := range svc.targets {
		if t.evacuated || len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, t.region) {
			continue
		}
		if roomAt := max(at, t.pause.until, s.nextPacedAt(at, svc, t)); earliest == 0 || roomAt < earliest {
			earliest = roomAt
		}
	}
	return earliest
}

// Constraints counts the upstreams of a service that receive no requests or fewer
// ones because of their statements.
type Constraints struct {
	Paused, Limited int
}

// Constraints returns the constraints of a service.
func (s *State) Constraints(at model.Time, name model.ServiceName) Constraints {
	var c Constraints
	if svc := s.services[name]; svc != nil {
		for _, t := range svc.targets {
			if at < t.pause.until {
				c.Paused++
			}
			if t.limit.isSet() {
				c.Limited++
			}
		}
	}
	return c
}
