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
	// maxHintInterval bounds how rarely other instances are told what this one
	// owns. After a change they are told with the next tick.
	maxHintInterval = time.Second
)

// hinting is when and how other instances are told what this one owns.
type hinting struct {
	seq    uint64
	next   model.Time
	sentAt model.Time
	last   []message.Offer
	// stopping instances take over no upstreams.
	stopping map[model.InstanceID]bool
}

// receivePermit handles the messages about permits and ownership. It reports
// whether the message was one.
func (s *State) receivePermit(at model.Time, b event.PeerReceived) bool {
	out := &s.out
	switch m := b.Message.(type) {
	case *message.Availability:
		s.receiveAvailability(at, b, m)
	case *message.PermitRequest:
		ask := permit.PeerRequest{PermitRequest: *m, From: b.From, Target: s.target(m), SameRegion: s.distance(m.Zone) < 2}
		s.permits.ReceivePeerRequest(at, ask, s.longestDeadline(m.Service), s.upstreams.Serves(m.Service), out)
	case *message.PermitGrant:
		s.receiveGrant(at, b.From, m)
	case *message.PermitRefusal:
		if s.permits.ReceiveRefusal(b.From, m) {
			s.requests.Refused(at, m.Attempt, out)
		}
	case *message.PermitRelease:
		s.observe(at, s.permits.UpstreamOf(m.Attempt), s.comparable(b.From, m.Observed))
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

func (s *State) receiveAvailability(at model.Time, b event.PeerReceived, m *message.Availability) {
	if !s.permits.ReceiveAvailability(at, b.From, b.Incarnation, m) {
		return
	}
	if s.hinting.stopping[b.From] != m.Stopping {
		s.hinting.stopping[b.From] = m.Stopping
		s.viewDone = false
	}
	for _, o := range m.Offers {
		if o.Free > 0 {
			s.requests.RequestMoreSlots(at, o.Service, &s.out)
		}
	}
}

func (s *State) receiveGrant(at model.Time, from model.InstanceID, m *message.PermitGrant) {
	if !s.permits.ReceiveGrant(at, from, m, &s.out) {
		s.requests.Refused(at, m.Attempt, &s.out)
		return
	}
	s.requests.Granted(at, m.Attempt, request.SlotGrant{
		Upstream: m.Upstream, Incarnation: m.Incarnation, Address: m.Address, Region: s.config.RegionOf(m.Zone), MaxConnections: m.Connections,
		StartBy: m.SentAt.Add(m.QueueTime + permit.Validity)}, &s.out)
}

// target returns where the upstream for a request of another instance must be.
// An owner may have upstreams of several zones, of which the request's profile
// allows only some.
func (s *State) target(m *message.PermitRequest) permit.Target {
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

// comparable drops the times that an instance of another region measured: its
// distance would make an upstream look slow.
func (s *State) comparable(from model.InstanceID, use message.Observation) message.Observation {
	if p, ok := s.peers[from]; !ok || s.distance(p.Zone) == 2 {
		use.Latency, use.HoldTime = 0, 0
	}
	return use
}

// peerLost moves the requests that wait at an instance that cannot be reached.
func (s *State) peerLost(at model.Time, id model.InstanceID) {
	s.permits.ForgetPeer(id)
	delete(s.hinting.stopping, id)
	for _, attempt := range s.permits.PendingRequests(id) {
		s.permits.Release(at, attempt, &s.out)
		s.requests.Refused(at, attempt, &s.out)
	}
}

// tick does what is due regularly while this instance owns upstreams or has
// others to talk to.
func (s *State) tick(at model.Time) {
	if at < s.hinting.next || !s.ticks() {
		return
	}
	s.hinting.next = at.Add(upstream.SweepInterval)
	s.permits.RefreshOldestGrants()
	for _, service := range s.upstreams.Sweep(at) {
		s.pumpService(at, service)
	}
	s.sendHints(at)
	if s.config != nil {
		s.noteServed(at)
	}
}

// learningTime is how long after its start an instance may know too little of
// the other instances to say that a service has no upstreams: links are made
// and every instance sends its hints within it.
const learningTime = 2 * time.Second

// movingTime is how long upstreams may be unknown while they move to another
// owner before a service counts as having none.
const movingTime = upstream.TakeoverWait

// isLearning reports whether other instances may own upstreams that this one has
// not heard of because it has just started.
func (s *State) isLearning(at model.Time) bool {
	return at < s.startedAt.Add(learningTime) && len(s.config.Roster) > 1
}

func (s *State) ticks() bool { return len(s.peers) > 0 || s.upstreams.OwnedCount() > 0 }

// sendHints tells the other instances what this one owns, soon after a change
// and otherwise now and then.
func (s *State) sendHints(at model.Time) {
	offers := s.offers(at)
	if sameOffers(offers, s.hinting.last) && at < s.hinting.sentAt.Add(maxHintInterval) {
		return
	}
	s.hinting.last = offers
	s.hinting.sentAt = at
	m := s.availability(offers)
	for _, p := range s.Peers() {
		s.out.Add(event.Send{To: p, Message: m})
	}
}

// sendHintsTo tells an instance with a new link at once.
func (s *State) sendHintsTo(at model.Time, peer model.InstanceID) {
	s.out.Add(event.Send{To: peer, Message: s.availability(s.offers(at))})
}

func (s *State) availability(offers []message.Offer) *message.Availability {
	s.hinting.seq++
	return &message.Availability{Seq: s.hinting.seq, Stopping: s.stopping, Offers: offers}
}

// offers lists what this instance has of each service.
func (s *State) offers(at model.Time) []message.Offer {
	offers := s.upstreams.Offers(at)
	for i := range offers {
		offers[i].FreeCrossRegion = min(offers[i].Free, s.farRoom(offers[i].Service))
		offers[i].Waiting = s.requests.Waiting(offers[i].Service) + s.permits.WaitingPeerRequests(offers[i].Service)
	}
	return offers
}

func sameOffers(a, b []message.Offer) bool {
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

// nextTick returns when tick has something to do, 0 if it has nothing.
func (s *State) nextTick() model.Time {
	if !s.ticks() {
		return 0
	}
	return max(1, s.hinting.next)
}

// distance returns 0 for this instance's zone, 1 for its region and 2 for the
// rest.
func (s *State) distance(zone model.Zone) int {
	if zone == s.identity.Zone {
		return 0
	}
	if d, ok := s.distances[zone]; ok {
		return d
	}
	return 2
}

// measureDistances prepares distance for a new configuration.
func (s *State) measureDistances() {
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
		s.longest[svc.Name] = max(s.longest[svc.Name], p.Deadline())
	}
}

// longestDeadline returns the longest deadline that the service has had since
// this process started.
func (s *State) longestDeadline(service model.ServiceName) model.Duration {
	if d, ok := s.longest[service]; ok {
		return d
	}
	return model.MaxDeadline
}

// LongestTimeout implements upstream.Deployment.
func (s *State) LongestTimeout(service model.ServiceName) model.Duration {
	return s.longestDeadline(service)
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

// connectionShare splits the connections of an upstream over the roster, so
// that all instances together stay within its total.
func (s *State) connectionShare(a *model.Announcement) int {
	n := 1
	if s.config != nil {
		n = max(1, len(s.config.Roster))
	}
	return max(1, a.Connections/n)
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

// PreferredOwner implements upstream.Deployment: the reachable instance with
// the highest hash among those of the upstream's zone, so that the upstreams of
// a zone spread evenly and few move when an instance comes or goes. Without any
// in the zone, those of the region and then all come into question.
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
		if !s.hinting.stopping[id] {
			consider(p)
		}
	}
	if best.ID == s.identity.ID || best.ID == "" {
		return "", ""
	}
	return best.ID, best.Address
}
