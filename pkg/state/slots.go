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
type slotSource struct{ state *State }

// reach returns the largest distance that the profile's spill allows.
func maxDistance(spill string) int {
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
func (l *slotSource) Acquire(at model.Time, r request.SlotRequest, out *event.Effects) (request.SlotGrant, bool) {
	u := l.state.chooseUpstream(at, r, false)
	if u == nil {
		u = l.state.chooseUpstream(at, r, true)
	}
	if u == nil {
		return request.SlotGrant{}, false
	}
	if !l.state.identity.IgnoreSlots {
		l.state.permits.Grant(at, u.Announcement.Upstream, r.Attempt, r.Deadline, out)
	}
	grant := grantOf(u)
	grant.StartBy = at.Add(permit.Validity)
	return grant, true
}

// choose returns the nearest upstream of this instance with a free slot, nil if
// there is none or another instance has one nearer. Suspect upstreams count only
// as spare.
func (s *State) chooseUpstream(at model.Time, r request.SlotRequest, spare bool) *upstream.Upstream {
	for distance := 0; distance <= maxDistance(r.Spill); distance++ {
		q := upstream.Query{Service: r.Service, Distance: distance, Avoid: r.Avoid, Spare: spare}
		if u := s.upstreams.Choose(at, q); u != nil {
			return u
		}
		if !s.identity.IgnoreSlots && s.mostFreeHint(at, r.Service, distance) != nil {
			return nil
		}
	}
	return nil
}

func grantOf(u *upstream.Upstream) request.SlotGrant {
	a := &u.Announcement
	return request.SlotGrant{Upstream: a.Upstream, Incarnation: a.Incarnation, Address: a.Address, Region: u.Site.Region, Connections: u.Site.Connections}
}

// freeHint returns the hint of the instance with the most free slots at the
// distance, nil if none is known to have one.
func (s *State) mostFreeHint(at model.Time, service model.ServiceName, distance int) *permit.Hint {
	var best *permit.Hint
	for _, h := range s.permits.Hints(service) {
		if freeSlots(h, distance) <= 0 || at > h.At.Add(permit.HintAge) || s.distance(h.Zone) != distance {
			continue
		}
		if best == nil || freeSlots(h, distance) > freeSlots(best, distance) {
			best = h
		}
	}
	return best
}

// free returns the slots that an owner at the distance has for this instance.
func freeSlots(h *permit.Hint, distance int) int {
	if distance == 2 {
		return h.FreeCrossRegion
	}
	return h.Free
}

// shiftHint returns the hint of the instance with the most free slots in the
// target region of a shift.
func (s *State) shiftHint(at model.Time, service model.ServiceName, shift string) *permit.Hint {
	region := s.shiftTarget(shift)
	var best *permit.Hint
	for _, h := range s.permits.Hints(service) {
		if h.FreeCrossRegion > 0 && at <= h.At.Add(permit.HintAge) && s.config.RegionOf(h.Zone) == region && (best == nil || h.FreeCrossRegion > best.FreeCrossRegion) {
			best = h
		}
	}
	return best
}

// busyHint returns the hint of the instance with the fewest waiting requests
// for its slots at the smallest distance.
func (s *State) shortestQueueHint(at model.Time, service model.ServiceName, spill string) *permit.Hint {
	var best *permit.Hint
	for distance := 0; distance <= maxDistance(spill) && best == nil; distance++ {
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
func (l *slotSource) Ask(at model.Time, r request.SlotRequest, out *event.Effects) bool {
	s := l.state
	if s.identity.IgnoreSlots {
		return false
	}
	var h *permit.Hint
	if r.Shift != "" {
		h = s.shiftHint(at, r.Service, r.Shift)
	}
	for distance := 0; r.Shift == "" && distance <= maxDistance(r.Spill) && h == nil; distance++ {
		h = s.mostFreeHint(at, r.Service, distance)
	}
	if r.FreeOnly && (h == nil || h.Instance == s.permits.AskedOf(r.Asked)) {
		return false
	}
	if h == nil && !s.upstreams.Serves(r.Service) {
		h = s.shortestQueueHint(at, r.Service, r.Spill)
	}
	if h == nil {
		return false
	}
	h.Free--
	h.FreeCrossRegion--
	h.Waiting++
	s.permits.AskFor(at, h.Instance, message.PermitRequest{
		Attempt: r.Attempt, Service: r.Service, Zone: s.identity.Zone, Avoid: r.Avoid, Shift: r.Shift, Spill: r.Spill}, r.Deadline, out)
	return true
}

// Release implements request.Slots.
func (l *slotSource) Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	return l.state.permits.Release(at, attempt, out)
}

// Observe implements request.Slots.
func (l *slotSource) Observe(at model.Time, attempt model.AttemptID, use message.Observation) {
	if l.state.permits.Note(attempt, use) {
		return
	}
	l.state.observe(at, l.state.permits.UpstreamOf(attempt), use)
}

func (s *State) observe(at model.Time, id model.UpstreamID, use message.Observation) {
	if use != (message.Observation{}) {
		s.upstreams.Observe(at, id, use)
	}
}

// MayServe implements request.Slots. Requests wait for the first hints at an
// instance that has just started, and while the only upstreams of a service
// move to another owner.
func (l *slotSource) MayServe(at model.Time, service model.ServiceName) bool {
	s := l.state
	return s.isServed(service) || s.isStartingUp(at) || at < s.servedAt[service].Add(ownerChangeTime)
}

// isServed reports whether an upstream of the service is known.
func (s *State) isServed(service model.ServiceName) bool {
	if s.upstreams.Serves(service) {
		return true
	}
	for _, h := range s.permits.Hints(service) {
		if h.Slots > 0 {
			return true
		}
	}
	return false
}

// noteServed keeps the time at which each service was last known to have
// upstreams.
func (s *State) updateServedAt(at model.Time) {
	for i := range s.config.Services {
		if name := s.config.Services[i].Name; s.isServed(name) {
			s.servedAt[name] = at
		}
	}
}

// pump dispatches waiting work to the slots that became free in this step. Work
// of this instance and work of others take turns.
func (s *State) dispatchWaiting(at model.Time) {
	for _, g := range s.permits.TakeGained() {
		if g.Upstream != "" {
			s.upstreams.MarkReady(g.Upstream)
		}
		s.dispatchService(at, g.Service)
	}
}

func (s *State) dispatchService(at model.Time, service model.ServiceName) {
	for {
		own, other := false, false
		if s.otherInstancesFirst {
			other = s.grantToOtherInstance(at, service)
		}
		own = s.requests.PumpOne(at, service, &s.out)
		if !s.otherInstancesFirst && !own {
			other = s.grantToOtherInstance(at, service)
		}
		if !own && !other {
			return
		}
		s.otherInstancesFirst = own
	}
}

// grantOne grants a slot to a waiting request of another instance. It reports
// whether one left the queue.
func (s *State) grantToOtherInstance(at model.Time, service model.ServiceName) bool {
	targets := s.permits.Targets(service)
	for k := range targets {
		target := targets[(s.nextTarget+k)%len(targets)]
		if a := s.permits.FirstAsk(service, target); a != nil && s.grantOrRefuseAsk(at, a) {
			s.nextTarget++
			return true
		}
	}
	return false
}

func (s *State) grantOrRefuseAsk(at model.Time, a *permit.Ask) bool {
	if limited := s.exceedsLimit(at, a); limited {
		s.permits.RefuseAsk(a.Attempt, limited, &s.out)
		return true
	}
	for k := range 2 * upstream.Distances {
		u := s.upstreams.Choose(at, upstream.Query{Service: a.Service, Distance: k % upstream.Distances,
			Zone: a.Target.Zone, Region: a.Target.Region, Avoid: a.Avoid, Spare: k >= upstream.Distances})
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
