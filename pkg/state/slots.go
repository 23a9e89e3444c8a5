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
	u := l.s.choose(at, r, false)
	if u == nil {
		u = l.s.choose(at, r, true)
	}
	if u == nil {
		return request.SlotGrant{}, false
	}
	if !l.s.identity.BindEarly {
		l.s.permits.Grant(at, u.Announcement.Upstream, r.Attempt, r.Deadline, out)
	}
	grant := grantOf(u)
	grant.StartBy = at.Add(permit.Validity)
	return grant, true
}

// choose returns the nearest upstream of this instance with a free slot, nil if
// there is none or another instance has one nearer. Suspect upstreams and the
// one to avoid are chosen only with spare set.
func (s *State) choose(at model.Time, r request.SlotRequest, spare bool) *upstream.Upstream {
	for distance := 0; distance <= reach(r.Spill); distance++ {
		q := upstream.Query{Service: r.Service, Distance: distance, Avoid: r.Avoid, AllowFallback: spare}
		if u := s.upstreams.Choose(at, q); u != nil {
			return u
		}
		if !s.identity.BindEarly && s.freeHint(at, r.Service, distance) != nil {
			return nil
		}
	}
	return nil
}

func grantOf(u *upstream.Upstream) request.SlotGrant {
	a := &u.Announcement
	return request.SlotGrant{Upstream: a.Upstream, Incarnation: a.Incarnation, Address: a.Address, Region: u.Placement.Region, MaxConnections: u.Placement.MaxConnections}
}

// freeHint returns the hint of the instance with the most free slots at the
// distance, nil if none is known to have one.
func (s *State) freeHint(at model.Time, service model.ServiceName, distance int) *permit.Hint {
	var best *permit.Hint
	for _, h := range s.permits.Hints(service) {
		if free(h, distance) <= 0 || at > h.ReceivedAt.Add(permit.MaxHintAge) || s.distance(h.Zone) != distance {
			continue
		}
		if best == nil || free(h, distance) > free(best, distance) {
			best = h
		}
	}
	return best
}

// free returns the slots that an owner at the distance has for this instance.
func free(h *permit.Hint, distance int) int {
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
		if h.FreeCrossRegion > 0 && at <= h.ReceivedAt.Add(permit.MaxHintAge) && s.config.RegionOf(h.Zone) == region && (best == nil || h.FreeCrossRegion > best.FreeCrossRegion) {
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
			if h.Slots <= 0 || at > h.ReceivedAt.Add(permit.MaxHintAge) || s.distance(h.Zone) != distance {
				continue
			}
			if best == nil || h.Waiting*best.Slots < best.Waiting*h.Slots {
				best = h
			}
		}
	}
	return best
}

// RequestRemote implements request.Slots. Without a free slot anywhere, a request waits at
// this instance if it owns upstreams of the service, or else at another.
func (l *slots) RequestRemote(at model.Time, r request.SlotRequest, out *event.Effects) bool {
	s := l.s
	if s.identity.BindEarly {
		return false
	}
	var h *permit.Hint
	if r.Shift != "" {
		h = s.shiftHint(at, r.Service, r.Shift)
	}
	for distance := 0; r.Shift == "" && distance <= reach(r.Spill) && h == nil; distance++ {
		h = s.freeHint(at, r.Service, distance)
	}
	if r.FreeOnly && (h == nil || h.Instance == s.permits.RequestedOwner(r.PendingAttempt)) {
		return false
	}
	if h == nil && !s.upstreams.Serves(r.Service) {
		h = s.busyHint(at, r.Service, r.Spill)
	}
	if h == nil {
		return false
	}
	h.Free--
	h.FreeCrossRegion--
	h.Waiting++
	s.permits.RequestPermit(at, h.Instance, message.PermitRequest{
		Attempt: r.Attempt, Service: r.Service, Zone: s.identity.Zone, Avoid: r.Avoid, Shift: r.Shift, Spill: r.Spill}, r.Deadline, out)
	return true
}

// Release implements request.Slots.
func (l *slots) Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	return l.s.permits.Release(at, attempt, out)
}

// Observe implements request.Slots.
func (l *slots) Observe(at model.Time, attempt model.AttemptID, use message.Observation) {
	if l.s.permits.RecordObservation(attempt, use) {
		return
	}
	l.s.observe(at, l.s.permits.UpstreamOf(attempt), use)
}

func (s *State) observe(at model.Time, id model.UpstreamID, use message.Observation) {
	if use != (message.Observation{}) {
		s.upstreams.Observe(at, id, use)
	}
}

// MayServe implements request.Slots. Requests wait for the first hints at an
// instance that has just started, and while the only upstreams of a service
// move to another owner.
func (l *slots) MayServe(at model.Time, service model.ServiceName) bool {
	s := l.s
	return s.isServed(service) || s.isLearning(at) || at < s.servedAt[service].Add(movingTime)
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
func (s *State) noteServed(at model.Time) {
	for i := range s.config.Services {
		if name := s.config.Services[i].Name; s.isServed(name) {
			s.servedAt[name] = at
		}
	}
}

// pump dispatches waiting work to the slots that became free in this step. Work
// of this instance and work of others take turns.
func (s *State) pump(at model.Time) {
	for _, g := range s.permits.TakeTriggers() {
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
		own = s.requests.DispatchNext(at, service, &s.out)
		if !s.othersFirst && !own {
			other = s.grantOne(at, service)
		}
		if !own && !other {
			return
		}
		s.othersFirst = own
	}
}

// grantOne grants a slot to a waiting request of another instance. It reports
// whether one left the queue.
func (s *State) grantOne(at model.Time, service model.ServiceName) bool {
	targets := s.permits.Targets(service)
	for k := range targets {
		target := targets[(s.nextTarget+k)%len(targets)]
		if a := s.permits.FirstPeerRequest(service, target); a != nil && s.grantAsk(at, a) {
			s.nextTarget++
			return true
		}
	}
	return false
}

func (s *State) grantAsk(at model.Time, a *permit.PeerRequest) bool {
	if limited := s.isLimited(at, a); limited {
		s.permits.RefusePeerRequest(a.Attempt, limited, &s.out)
		return true
	}
	for k := range 2 * upstream.NumDistances {
		u := s.upstreams.Choose(at, upstream.Query{Service: a.Service, Distance: k % upstream.NumDistances,
			Zone: a.Target.Zone, Region: a.Target.Region, Avoid: a.Avoid, AllowFallback: k >= upstream.NumDistances})
		if u == nil {
			continue
		}
		g := grantOf(u)
		s.permits.GrantPeerRequest(at, a.Attempt, message.PermitGrant{
			Upstream: g.Upstream, Incarnation: g.Incarnation, Address: g.Address, Zone: u.Announcement.Zone, Connections: g.MaxConnections}, &s.out)
		return true
	}
	return false
}
