package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// slotSource implements request.Slots with the upstreams and permits of a State.
type slotSource struct{ state *State }

// maxDistance returns the largest distance (0 to 2, see State.distance) of an
// upstream that the spill setting of a profile allows.
func maxDistance(spill string) int {
	switch spill {
	case model.SpillZone:
		return 0
	case model.SpillRegion:
		return 1
	}
	return 2
}

// Acquire implements request.Slots. It reserves a slot of the nearest upstream that
// this instance owns and that has a free slot. It returns false if there is none, or
// if another instance offers a free slot at a smaller distance.
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

// chooseUpstream returns the nearest upstream that this instance owns and that has a
// free slot. It returns nil if there is none, or if another instance offers a free
// slot at a smaller distance. Suspect upstreams, which were unreachable or slower
// than the others of the service, and the upstream r.Avoid are considered only if
// allowFallback is true.
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

// grantOf returns a grant of a slot of the upstream. The caller sets StartBy.
func grantOf(u *upstream.Upstream) request.SlotGrant {
	a := &u.Announcement
	return request.SlotGrant{Upstream: a.Upstream, Incarnation: a.Incarnation, Address: a.Address, Region: u.Placement.Region, MaxConnections: u.Placement.MaxConnections}
}

// mostFreeOffer compares the recent offers of other instances for the service and
// for zones at the given distance. It returns the offer with the most free slots,
// nil if no offer has a free slot.
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

// freeSlots returns how many free slots of an offer this instance may use, given the
// distance of the offer's zone.
func freeSlots(o *permit.PeerOffer, distance int) int {
	if distance == 2 {
		return o.FreeCrossRegion
	}
	return o.Free
}

// shiftOffer compares the recent offers of other instances for the service and for
// zones in the target region of a shift. It returns the offer with the most free
// slots, nil if no offer has a free slot.
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

// shortestQueueOffer returns the offer of another instance with the fewest waiting
// requests per slot of the service. It compares only the recent offers at the smallest
// distance at which another instance has slots, and returns nil if the spill setting
// allows none of the offers.
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

// RequestRemote implements request.Slots. It requests the slot from an instance that
// offers a free slot at the smallest distance or, for a shifted request, in the
// target region. If no other instance offers one, RequestRemote returns false if this
// instance owns upstreams of the service, so that the request waits here. Otherwise,
// unless r.FreeOnly is set, it sends the slot request to the instance with the fewest
// waiting requests per slot.
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

// observe records an observation of an upstream that this instance owns. It ignores
// an empty observation.
func (s *State) observe(at model.Time, id model.UpstreamID, observation message.Observation) {
	if observation != (message.Observation{}) {
		s.upstreams.Observe(at, id, observation)
	}
}

// MayServe implements request.Slots. For a service without known upstreams it
// returns true while this instance is starting up or the upstreams may be changing
// their owner, so that requests wait.
func (source *slotSource) MayServe(at model.Time, service model.ServiceName) bool {
	s := source.state
	return s.hasUpstreams(service) || s.isStartingUp(at) || at < s.upstreamsSeenAt[service].Add(ownerChangeTime)
}

// hasUpstreams reports whether this instance owns an upstream of the service or
// another instance offers slots of one.
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

// updateUpstreamsSeenAt sets upstreamsSeenAt to the current time for each service
// that has known upstreams now.
func (s *State) updateUpstreamsSeenAt(at model.Time) {
	for i := range s.config.Services {
		if name := s.config.Services[i].Name; s.hasUpstreams(name) {
			s.upstreamsSeenAt[name] = at
		}
	}
}

// dispatchWaiting handles the dispatch triggers that were recorded in this step. A
// trigger names a service for which a slot may have become free or a peer request
// has arrived. Free slots of the service are assigned to its waiting requests.
func (s *State) dispatchWaiting(at model.Time) {
	for _, trigger := range s.permits.TakeTriggers() {
		if trigger.Upstream != "" {
			s.upstreams.MarkReady(trigger.Upstream)
		}
		s.dispatchService(at, trigger.Service)
	}
}

// dispatchService assigns free slots of a service to waiting requests until no slot
// or no request is left. It alternates between requests of this instance and peer
// requests, which are the permit requests of other instances.
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

// serveNextPeerRequest grants or refuses one waiting peer request of the service. The
// targets, which are the zones or regions to which peer requests are restricted, take
// turns. It returns false if no peer request can be granted or refused now.
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

// grantOrRefusePeerRequest refuses a peer request if granting it would exceed a limit
// (see exceedsLimit). Otherwise it grants the peer request a slot of the suitable
// upstream nearest to this instance, or returns false if there is no free slot.
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
