package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// slots joins the choice of an upstream and the accounting of its slots for the
// requests sub-reducer.
type slots struct{ s *State }

// reach returns the largest distance that the profile's spill allows.
func reach(spill string) int {
	switch spill {
	case model.SpillZone:
		return 0
	case model.SpillRegion:
		return 1
	}
	return 2
}

// Acquire implements request.Slots. A slot of another instance that is nearer
// goes before one of this instance.
func (l *slots) Acquire(at model.Time, r request.SlotRequest, out *event.Effects) (request.SlotGrant, bool) {
	s := l.s
	early := s.upstreams.Policy.BindsEarly()
	for distance := 0; distance <= reach(r.Spill); distance++ {
		u := s.upstreams.Choose(at, upstream.Query{Service: r.Service, Distance: distance, Avoid: r.Avoid})
		if u != nil && early {
			return grantOf(u), true
		}
		if u != nil {
			s.permits.Grant(at, u.Announcement.Upstream, r.Attempt, r.Deadline, out)
			return grantOf(u), true
		}
		if !early && s.freeHint(at, r.Service, distance) != nil {
			break
		}
	}
	return request.SlotGrant{}, false
}

func grantOf(u *upstream.Upstream) request.SlotGrant {
	a := &u.Announcement
	return request.SlotGrant{Upstream: a.Upstream, Incarnation: a.Incarnation, Address: a.Address, Region: u.Site.Region, Connections: u.Site.Connections}
}

// freeHint returns the hint of the instance with the most free slots at the
// distance, nil if none is known to have one.
func (s *State) freeHint(at model.Time, service model.ServiceName, distance int) *permit.Hint {
	var best *permit.Hint
	for _, h := range s.permits.Hints(service) {
		if h.Free <= 0 || at > h.At.Add(permit.HintAge) || s.distance(h.Zone) != distance {
			continue
		}
		if best == nil || h.Free > best.Free {
			best = h
		}
	}
	return best
}

// busyHint returns the hint of the instance with the fewest waiting requests
// for its slots at the smallest distance.
func (s *State) busyHint(at model.Time, service model.ServiceName, spill string) *permit.Hint {
	var best *permit.Hint
	for distance := 0; distance <= reach(spill) && best == nil; distance++ {
		for _, h := range s.permits.Hints(service) {
			if h.Slots <= 0 || at > h.At.Add(permit.HintAge) || s.distance(h.Zone) != distance {
				continue
			}
			if best == nil || h.Waiting*best.Slots < best.Waiting*h.Slots {
				best = h
			}
		}
	}
	return best
}

// Ask implements request.Slots. Without a free slot anywhere, a request waits at
// this instance if it owns upstreams of the service, or else at another.
func (l *slots) Ask(at model.Time, r request.SlotRequest, out *event.Effects) bool {
	s := l.s
	if s.upstreams.Policy.BindsEarly() {
		return false
	}
	var h *permit.Hint
	for distance := 0; distance <= reach(r.Spill) && h == nil; distance++ {
		h = s.freeHint(at, r.Service, distance)
	}
	asked := r.Asked.Seq != 0
	if asked && (h == nil || h.Instance == s.permits.AskedOf(r.Asked)) {
		return false
	}
	if h == nil && !s.upstreams.Serves(r.Service) {
		h = s.busyHint(at, r.Service, r.Spill)
	}
	if h == nil {
		return false
	}
	h.Free--
	h.Waiting++
	s.permits.AskFor(at, h.Instance, message.PermitRequest{
		Attempt: r.Attempt, Service: r.Service, Zone: s.identity.Zone, Avoid: r.Avoid}, r.Deadline, out)
	return true
}

// Release implements request.Slots.
func (l *slots) Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	return l.s.permits.Release(at, attempt, out)
}

// Serves implements request.Slots.
func (l *slots) Serves(service model.ServiceName) bool {
	if l.s.upstreams.Serves(service) {
		return true
	}
	for _, h := range l.s.permits.Hints(service) {
		if h.Slots > 0 {
			return true
		}
	}
	return false
}

// pump dispatches waiting work to the slots that became free in this step. Work
// of this instance and work of others take turns.
func (s *State) pump(at model.Time) {
	for _, g := range s.permits.TakeGained() {
		if g.Upstream != "" {
			s.upstreams.MarkReady(g.Upstream)
		}
		s.pumpService(at, g.Service)
	}
}

func (s *State) pumpService(at model.Time, service model.ServiceName) {
	for {
		own, other := false, false
		if s.othersFirst {
			other = s.grantOne(at, service)
		}
		own = s.requests.PumpOne(at, service, &s.out)
		if !s.othersFirst && !own {
			other = s.grantOne(at, service)
		}
		if !own && !other {
			return
		}
		s.othersFirst = own
	}
}

// grantOne grants a slot to the first waiting request of another instance.
func (s *State) grantOne(at model.Time, service model.ServiceName) bool {
	a := s.permits.FirstAsk(service)
	if a == nil {
		return false
	}
	for distance := range upstream.Distances {
		u := s.upstreams.Choose(at, upstream.Query{Service: service, Distance: distance, Avoid: a.Avoid})
		if u == nil {
			continue
		}
		g := grantOf(u)
		s.permits.GrantAsk(at, a.Attempt, message.PermitGrant{
			Upstream: g.Upstream, Incarnation: g.Incarnation, Address: g.Address, Zone: u.Announcement.Zone, Connections: g.Connections}, &s.out)
		return true
	}
	return false
}
