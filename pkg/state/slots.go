package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// slotSource implements request.Slots: it selects upstreams and counts their
// slots in use.
type slotSource struct{ state *State }

// maxDistance returns the largest distance that the spill setting of a profile
// allows.
func maxDistance(spill string) int {
	switch spill {
	case model.SpillZone:
		return 0
	case model.SpillRegion:
		return 1
	}
	return 2
}

// Acquire implements request.Slots. It acquires no slot of this instance while
// another instance has a free slot at a smaller distance.
func (source *slotSource) Acquire(at model.Time, r request.SlotRequest, out *event.Effects) (request.SlotGrant, bool) {
	u := source.state.chooseUpstream(at, r, false)
	if u == nil {
		u = source.state.chooseUpstream(at, r, true)
	}
	if u == nil {
		return request.SlotGrant{}, false
	}
	if !source.state.identity.IgnoreSlots {
		source.state.permits.Grant(at, u.Announcement.Upstream, r.Attempt, r.Deadline, out)
	}
	grant := grantOf(u)
	grant.StartBy = at.Add(permit.Validity)
	return grant, true
}

// chooseUpstream returns the nearest upstream of this instance with a free slot.
// It returns nil if there is none or if another instance has a free slot at a
// smaller distance. Suspect upstreams and the upstream to avoid are considered
// only if allowFallback is true.
func (s *State) chooseUpstream(at model.Time, r request.SlotRequest, allowFallback bool) *upstream.Upstream {
	for distance := 0; distance <= maxDistance(r.Spill); distance++ {
		q := upstream.Query{Service: r.Service, Distance: distance, Avoid: r.Avoid, AllowFallback: allowFallback}
		if u := s.upstreams.Choose(at, q); u != nil {
			return u
		}
		if !s.identity.IgnoreSlots && s.mostFreeOffer(at, r.Service, distance) != nil {
			return nil
		}
	}
	return nil
}

func grantOf(u *upstream.Upstream) request.SlotGrant {
	a := &u.Announcement
	return request.SlotGrant{Upstream: a.Upstream, Incarnation: a.Incarnation, Address: a.Address, Region: u.Placement.Region, MaxConnections: u.Placement.MaxConnections}
}

// mostFreeOffer returns the offer with the most free slots at the distance, nil
// if no instance is known to have a free slot there.
func (s *State) mostFreeOffer(at model.Time, service model.ServiceName, distance int) *permit.PeerOffer {
	var best *permit.PeerOffer
	for _, o := range s.permits.PeerOffers(service) {
		if freeSlots(o, distance) <= 0 || at > o.ReceivedAt.Add(permit.MaxOfferAge) || s.distance(o.Zone) != distance {
			continue
		}
		if best == nil || freeSlots(o, distance) > freeSlots(best, distance) {
			best = o
		}
	}
	return best
}

// freeSlots returns the number of free slots that an offer from the distance
// contains for this instance.
func freeSlots(o *permit.PeerOffer, distance int) int {
	if distance == 2 {
		return o.FreeCrossRegion
	}
	return o.Free
}

// shiftOffer returns the offer with the most free slots in the target region of
// a shift, nil if there is no free slot.
func (s *State) shiftOffer(at model.Time, service model.ServiceName, shift string) *permit.PeerOffer {
	region := s.shiftTarget(shift)
	var best *permit.PeerOffer
	for _, o := range s.permits.PeerOffers(service) {
		if o.FreeCrossRegion > 0 && at <= o.ReceivedAt.Add(permit.MaxOfferAge) && s.config.RegionOf(o.Zone) == region && (best == nil || o.FreeCrossRegion > best.FreeCrossRegion) {
			best = o
		}
	}
	return best
}

// shortestQueueOffer returns the offer with the fewest waiting requests per
// slot at the smallest distance at which any instance has slots.
func (s *State) shortestQueueOffer(at model.Time, service model.ServiceName, spill string) *permit.PeerOffer {
	var best *permit.PeerOffer
	for distance := 0; distance <= maxDistance(spill) && best == nil; distance++ {
		for _, o := range s.permits.PeerOffers(service) {
			if o.Slots <= 0 || at > o.ReceivedAt.Add(permit.MaxOfferAge) || s.distance(o.Zone) != distance {
				continue
			}
			if best == nil || o.Waiting*best.Slots < best.Waiting*o.Slots {
				best = o
			}
		}
	}
	return best
}

// RequestRemote implements request.Slots. If no instance has a free slot, the
// request waits at this instance if it owns upstreams of the service, and
// otherwise at the instance with the shortest queue.
func (source *slotSource) RequestRemote(at model.Time, r request.SlotRequest, out *event.Effects) bool {
	s := source.state
	if s.identity.IgnoreSlots {
		return false
	}
	var offer *permit.PeerOffer
	if r.Shift != "" {
		offer = s.shiftOffer(at, r.Service, r.Shift)
	}
	for distance := 0; r.Shift == "" && distance <= maxDistance(r.Spill) && offer == nil; distance++ {
		offer = s.mostFreeOffer(at, r.Service, distance)
	}
	if r.FreeOnly && (offer == nil || offer.Instance == s.permits.RequestedOwner(r.PendingAttempt)) {
		return false
	}
	if offer == nil && !s.upstreams.Serves(r.Service) {
		offer = s.shortestQueueOffer(at, r.Service, r.Spill)
	}
	if offer == nil {
		return false
	}
	offer.Free--
	offer.FreeCrossRegion--
	offer.Waiting++
	s.permits.RequestPermit(at, offer.Instance, message.PermitRequest{
		Attempt: r.Attempt, Service: r.Service, Zone: s.identity.Zone, Avoid: r.Avoid, Shift: r.Shift, Spill: r.Spill}, r.Deadline, out)
	return true
}

// Release implements request.Slots.
func (source *slotSource) Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	return source.state.permits.Release(at, attempt, out)
}

// Observe implements request.Slots.
func (source *slotSource) Observe(at model.Time, attempt model.AttemptID, observation message.Observation) {
	if source.state.permits.RecordObservation(attempt, observation) {
		return
	}
	source.state.observe(at, source.state.permits.UpstreamOf(attempt), observation)
}

func (s *State) observe(at model.Time, id model.UpstreamID, observation message.Observation) {
	if observation != (message.Observation{}) {
		s.upstreams.Observe(at, id, observation)
	}
}

// MayServe implements request.Slots. It also returns true for a service without
// known upstreams while the instance is starting up or the upstreams may be
// changing their owner, so that requests wait.
func (source *slotSource) MayServe(at model.Time, service model.ServiceName) bool {
	s := source.state
	return s.hasUpstreams(service) || s.isStartingUp(at) || at < s.lastServedAt[service].Add(ownerChangeTime)
}

// hasUpstreams reports whether an upstream of the service is known.
func (s *State) hasUpstreams(service model.ServiceName) bool {
	if s.upstreams.Serves(service) {
		return true
	}
	for _, o := range s.permits.PeerOffers(service) {
		if o.Slots > 0 {
			return true
		}
	}
	return false
}

// updateLastServedAt records the time at which each service was last known to
// have upstreams.
func (s *State) updateLastServedAt(at model.Time) {
	for i := range s.config.Services {
		if name := s.config.Services[i].Name; s.hasUpstreams(name) {
			s.lastServedAt[name] = at
		}
	}
}

// dispatchWaiting assigns the slots that became free in this step to waiting
// requests.
func (s *State) dispatchWaiting(at model.Time) {
	for _, g := range s.permits.TakeTriggers() {
		if g.Upstream != "" {
			s.upstreams.MarkReady(g.Upstream)
		}
		s.dispatchService(at, g.Service)
	}
}

// dispatchService assigns free slots of a service to waiting requests until no
// slot or no request is left. Requests of this instance and of other instances
// are served in turn.
func (s *State) dispatchService(at model.Time, service model.ServiceName) {
	for {
		ownDispatched, peerServed := false, false
		if s.peerRequestsFirst {
			peerServed = s.serveNextPeerRequest(at, service)
		}
		ownDispatched = s.requests.DispatchNext(at, service, &s.out)
		if !s.peerRequestsFirst && !ownDispatched {
			peerServed = s.serveNextPeerRequest(at, service)
		}
		if !ownDispatched && !peerServed {
			return
		}
		s.peerRequestsFirst = ownDispatched
	}
}

// serveNextPeerRequest grants or refuses a waiting request of another instance.
// It returns false if there is none that can be granted or refused now.
func (s *State) serveNextPeerRequest(at model.Time, service model.ServiceName) bool {
	targets := s.permits.Targets(service)
	for k := range targets {
		target := targets[(s.nextTarget+k)%len(targets)]
		if r := s.permits.FirstPeerRequest(service, target); r != nil && s.grantOrRefusePeerRequest(at, r) {
			s.nextTarget++
			return true
		}
	}
	return false
}

// grantOrRefusePeerRequest refuses a peer request that exceeds a limit, and
// otherwise grants it a slot of the nearest suitable upstream. It returns false
// if there is no free slot.
func (s *State) grantOrRefusePeerRequest(at model.Time, r *permit.PeerRequest) bool {
	if limited := s.exceedsLimit(at, r); limited {
		s.permits.RefusePeerRequest(r.Attempt, limited, &s.out)
		return true
	}
	for k := range 2 * upstream.NumDistances {
		u := s.upstreams.Choose(at, upstream.Query{Service: r.Service, Distance: k % upstream.NumDistances,
			Zone: r.Target.Zone, Region: r.Target.Region, Avoid: r.Avoid, AllowFallback: k >= upstream.NumDistances})
		if u == nil {
			continue
		}
		g := grantOf(u)
		s.permits.GrantPeerRequest(at, r.Attempt, message.PermitGrant{
			Upstream: g.Upstream, Incarnation: g.Incarnation, Address: g.Address, Zone: u.Announcement.Zone, MaxConnections: g.MaxConnections}, &s.out)
		return true
	}
	return false
}
