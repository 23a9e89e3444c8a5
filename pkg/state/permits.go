package state

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

const (
	// maxOfferInterval is the longest interval between two broadcasts of this
	// instance's offers while they do not change. It is less than
	// permit.MaxOfferAge, beyond which receivers ignore an offer. Changed offers
	// are sent at the next tick.
	maxOfferInterval = time.Second
)

// offerBroadcast is the state of the broadcast of offers. The offers of an instance
// state the slots of the upstreams that it owns, by service and zone.
type offerBroadcast struct {
	// seq is the sequence number of the last availability message that this
	// instance sent.
	seq uint64
	// nextTickAt is the time before which the method tick does nothing.
	nextTickAt model.Time
	// sentAt and lastOffers are the time and the content of the last broadcast of
	// this instance's offers.
	sentAt     model.Time
	lastOffers []message.Offer
	// stoppingPeers records for each connected instance whether it is stopping. A
	// stopping instance must not become the owner of an upstream.
	stoppingPeers map[model.InstanceID]bool
}

// receivePermit handles a message of another instance if it concerns permits or the
// ownership of upstreams. Otherwise it returns false.
func (s *State) receivePermit(at model.Time, b event.PeerReceived) bool {
	out := &s.out
	switch m := b.Message.(type) {
	case *message.Availability:
		s.receiveAvailability(at, b, m)
	case *message.PermitRequest:
		peerRequest := permit.PeerRequest{PermitRequest: *m, From: b.From, Target: s.permitTarget(m), SameRegion: s.distance(m.Zone) < 2}
		s.permits.ReceivePeerRequest(at, peerRequest, s.longestTimeout(m.Service), s.upstreams.Serves(m.Service), out)
	case *message.PermitGrant:
		s.receiveGrant(at, b.From, m)
	case *message.PermitRefusal:
		if s.permits.ReceiveRefusal(b.From, m) {
			s.requests.Refused(at, m.Attempt, out)
		}
	case *message.PermitRelease:
		s.observe(at, s.permits.UpstreamOf(m.Attempt), s.withoutCrossRegionTimes(b.From, m.Observed))
		s.permits.ReceiveRelease(at, b.From, m, out)
	case *message.PermitReleaseAck:
		s.permits.ReceiveReleaseAck(b.From, m)
	case *message.HandoverRequest:
		s.upstreams.ReceiveHandoverRequest(at, b.From, m, out)
	case *message.Handover:
		s.upstreams.ReceiveHandover(at, m)
	default:
		return false
	}
	return true
}

// receiveAvailability stores the offers of another instance and whether that
// instance is stopping. For each service with free slots among the offers, this
// instance requests slots for its own waiting requests.
func (s *State) receiveAvailability(at model.Time, b event.PeerReceived, m *message.Availability) {
	if !s.permits.ReceiveAvailability(at, b.From, b.Incarnation, m) {
		return
	}
	if s.offerBroadcast.stoppingPeers[b.From] != m.Stopping {
		s.offerBroadcast.stoppingPeers[b.From] = m.Stopping
		s.viewPublished = false
	}
	for _, o := range m.Offers {
		if o.Free > 0 {
			s.requests.RequestMoreSlots(at, o.Service, &s.out)
		}
	}
}

// receiveGrant dispatches the request for which another instance granted a permit.
// If the permit can no longer be used, it treats the grant as a refusal.
func (s *State) receiveGrant(at model.Time, from model.InstanceID, m *message.PermitGrant) {
	if !s.permits.ReceiveGrant(at, from, m, &s.out) {
		s.requests.Refused(at, m.Attempt, &s.out)
		return
	}
	s.requests.Granted(at, m.Attempt, request.SlotGrant{
		Upstream: m.Upstream, Incarnation: m.Incarnation, Address: m.Address, Region: s.config.RegionOf(m.Zone), MaxConnections: m.MaxConnections,
		StartBy: m.SentAt.Add(m.QueueTime + permit.Validity)}, &s.out)
}

// permitTarget returns the zone or region to which a permit request of another
// instance is restricted, the zero Target if it is not restricted. This instance may
// own upstreams in several zones, while the request's traffic shift or the spill
// setting of its profile may allow only some of them.
func (s *State) permitTarget(m *message.PermitRequest) permit.Target {
	switch {
	case m.Shift != "":
		return permit.Target{Region: s.shiftTarget(m.Shift)}
	case m.Spill == model.SpillZone:
		return permit.Target{Zone: m.Zone}
	case m.Spill == model.SpillRegion:
		return permit.Target{Region: s.config.RegionOf(m.Zone)}
	}
	return permit.Target{}
}

// withoutCrossRegionTimes removes the latency and the hold time of the slot from an
// observation by an instance of another region. These times include the network
// delay between the regions and would make the upstream look slow. An instance that
// is not connected is treated as one of another region, because its region is
// unknown.
func (s *State) withoutCrossRegionTimes(from model.InstanceID, observation message.Observation) message.Observation {
	if p, ok := s.peers[from]; !ok || s.distance(p.Zone) == 2 {
		observation.Latency, observation.HoldTime = 0, 0
	}
	return observation
}

// peerLost handles the loss of the connection to an instance. It forgets the offers
// of that instance, and treats unanswered permit requests to it as refused, so that
// the requests get a slot elsewhere.
func (s *State) peerLost(at model.Time, id model.InstanceID) {
	s.permits.ForgetPeer(id)
	delete(s.offerBroadcast.stoppingPeers, id)
	for _, attempt := range s.permits.PendingRequests(id) {
		s.permits.Release(at, attempt, &s.out)
		s.requests.Refused(at, attempt, &s.out)
	}
}

// tick does the periodic work if it is due: it detects upstreams that are slower than
// the others of their service, raises the limits of upstreams in slow start, and
// broadcasts offers. An instance that owns no upstream and is connected to no other
// instance has no periodic work.
func (s *State) tick(at model.Time) {
	if at < s.offerBroadcast.nextTickAt || !s.needsTick() {
		return
	}
	s.offerBroadcast.nextTickAt = at.Add(upstream.SweepInterval)
	s.permits.RefreshOldestGrants()
	for _, service := range s.upstreams.Sweep(at) {
		s.dispatchService(at, service)
	}
	s.broadcastOffers(at)
	if s.config != nil {
		s.updateUpstreamsSeenAt(at)
	}
}

// startupTime is how long after its start an instance assumes that a service
// without known upstreams has some that are not known yet. By the end of this time,
// the instance is normally connected to the other instances and has received their
// offers.
const startupTime = 2 * time.Second

// ownerChangeTime is how long a service is still assumed to have upstreams after its
// last known upstream has disappeared. The upstreams may be changing their owner, and
// a new owner grants no slots for upstream.TakeoverWait.
const ownerChangeTime = upstream.TakeoverWait

// isStartingUp reports whether this instance started so recently that it may not
// have received the offers of all other instances.
func (s *State) isStartingUp(at model.Time) bool {
	return at < s.startedAt.Add(startupTime) && len(s.config.Roster) > 1
}

// needsTick reports whether there is periodic work: this instance owns upstreams or
// is connected to other instances.
func (s *State) needsTick() bool { return len(s.peers) > 0 || s.upstreams.OwnedCount() > 0 }

// broadcastOffers sends this instance's offers to all connected instances if the
// offers have changed or maxOfferInterval has passed since the last broadcast.
func (s *State) broadcastOffers(at model.Time) {
	offers := s.offers(at)
	if equalOffers(offers, s.offerBroadcast.lastOffers) && at < s.offerBroadcast.sentAt.Add(maxOfferInterval) {
		return
	}
	s.offerBroadcast.lastOffers = offers
	s.offerBroadcast.sentAt = at
	m := s.availability(offers)
	for _, p := range s.Peers() {
		s.out.Add(event.Send{To: p, Message: m})
	}
}

// sendOffersTo sends this instance's offers to a newly connected instance.
func (s *State) sendOffersTo(at model.Time, peer model.InstanceID) {
	s.out.Add(event.Send{To: peer, Message: s.availability(s.offers(at))})
}

// availability returns an availability message with the offers and the next sequence
// number.
func (s *State) availability(offers []message.Offer) *message.Availability {
	s.offerBroadcast.seq++
	return &message.Availability{Seq: s.offerBroadcast.seq, Stopping: s.stopping, Offers: offers}
}

// offers returns the offers of this instance. For each service and zone, they state
// the slots of the upstreams that it owns and the number of requests that wait here.
func (s *State) offers(at model.Time) []message.Offer {
	offers := s.upstreams.Offers(at)
	for i := range offers {
		offers[i].FreeCrossRegion = min(offers[i].Free, s.crossRegionCapacity(offers[i].Service))
		offers[i].Waiting = s.requests.Waiting(offers[i].Service) + s.permits.WaitingPeerRequests(offers[i].Service)
	}
	return offers
}

func equalOffers(a, b []message.Offer) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// nextTick returns when the periodic work of the method tick is due next, 0 if there
// is none.
func (s *State) nextTick() model.Time {
	if !s.needsTick() {
		return 0
	}
	return max(1, s.offerBroadcast.nextTickAt)
}

// distance returns 0 for this instance's zone, 1 for other zones of its region
// and 2 for other regions.
func (s *State) distance(zone model.Zone) int {
	if zone == s.identity.Zone {
		return 0
	}
	if d, ok := s.distances[zone]; ok {
		return d
	}
	return 2
}

// updateDistancesAndTimeouts derives the distance of each zone (0 to 2, see
// distance) from a new configuration. It also updates the longest timeout that each
// service has had so far.
func (s *State) updateDistancesAndTimeouts() {
	s.distances = map[model.Zone]int{}
	own := s.config.RegionOf(s.identity.Zone)
	for _, z := range s.config.Zones {
		s.distances[z.Zone] = 2
		if z.Region == own {
			s.distances[z.Zone] = 1
		}
	}
	for _, svc := range s.config.Services {
		p := s.config.ProfileOf(svc.Name)
		s.longestTimeouts[svc.Name] = max(s.longestTimeouts[svc.Name], p.Timeout())
	}
}

// longestTimeout returns the longest timeout that the service has had since this
// process started, model.MaxTimeout if the service was in no configuration.
func (s *State) longestTimeout(service model.ServiceName) model.Duration {
	if d, ok := s.longestTimeouts[service]; ok {
		return d
	}
	return model.MaxTimeout
}

// LongestTimeout implements upstream.Deployment.
func (s *State) LongestTimeout(service model.ServiceName) model.Duration {
	return s.longestTimeout(service)
}

// Placement implements upstream.Deployment.
func (s *State) Placement(a *model.Announcement) upstream.Placement {
	region := s.config.RegionOf(a.Zone)
	return upstream.Placement{
		Region:   region,
		Distance: s.distance(a.Zone),
		Drained: s.config.IsDrained(model.DrainUpstream, string(a.Upstream)) ||
			s.config.IsDrained(model.DrainZone, string(a.Zone)) ||
			s.config.IsDrained(model.DrainRegion, string(region)),
		MaxConnections: s.connectionShare(a),
	}
}

// connectionShare returns the maximum number of connections of this instance to an
// upstream. The connections that the upstream accepts are divided evenly among the
// instances of the roster. Each instance may use at least one.
func (s *State) connectionShare(a *model.Announcement) int {
	n := 1
	if s.config != nil {
		n = max(1, len(s.config.Roster))
	}
	return max(1, a.MaxConnections/n)
}

// Peers implements upstream.Deployment.
func (s *State) Peers() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// PreferredOwner implements upstream.Deployment by rendezvous hashing over the
// reachable instances of the upstream's zone. The upstreams of a zone are thus
// distributed evenly, and few change their owner when an instance joins or
// leaves. If no instance of the zone is reachable, the candidates are the instances
// of the region, and if none of these is reachable, all instances. Other instances
// that are stopping are no candidates, nor is this one once it has begun to hand
// over its upstreams. The result is "" if this instance is the preferred owner or
// there is no candidate.
func (s *State) PreferredOwner(a *model.Announcement) (model.InstanceID, string) {
	region := s.config.RegionOf(a.Zone)
	var best view.Instance
	bestRank, bestHash := 3, uint64(0)
	consider := func(i view.Instance) {
		rank := 2
		switch {
		case i.Zone == a.Zone:
			rank = 0
		case region != "" && s.config.RegionOf(i.Zone) == region:
			rank = 1
		}
		hash := xxhash.Sum64String(string(a.Upstream) + "\x00" + string(i.ID))
		if rank < bestRank || rank == bestRank && (hash > bestHash || hash == bestHash && i.ID < best.ID) {
			best, bestRank, bestHash = i, rank, hash
		}
	}
	if !s.handingOver {
		consider(view.Instance{ID: s.identity.ID, Zone: s.identity.Zone})
	}
	for id, p := range s.peers {
		if !s.offerBroadcast.stoppingPeers[id] {
			consider(p)
		}
	}
	if best.ID == s.identity.ID || best.ID == "" {
		return "", ""
	}
	return best.ID, best.Address
}
