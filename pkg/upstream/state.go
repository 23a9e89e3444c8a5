package upstream

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
)

const (
	// LeaseDuration is how long the ownership of an upstream lasts after an
	// announcement. It limits for how long an upstream whose announcements have
	// stopped receives new requests.
	LeaseDuration = 2 * time.Second
	// AnnounceInterval is the time between two announcements of an upstream. It is
	// a quarter of LeaseDuration, so that a lost announcement does not end the
	// lease.
	AnnounceInterval = 500 * time.Millisecond
	// grantMargin is the last part of a lease, in which no slot of the upstream is
	// granted. It compensates for the delays of the last announcement and of the
	// last dispatch, so that an upstream receives no new requests later than 3 s
	// after it began to drain or its announcements stopped.
	grantMargin = 300 * time.Millisecond
	// TakeoverWait is how long a new owner of an upstream waits before it grants
	// slots. By then the lease of the former owner has expired, and attempts to
	// which the former owner granted slots are either dispatched or no longer
	// allowed to be. The last 500 ms are a margin.
	TakeoverWait = LeaseDuration + permit.Validity + 500*time.Millisecond
	// retentionTime is how long the account of an upstream's slots is kept after
	// the last announcement. Another instance that takes the upstream over grants
	// no slots before TakeoverWait, which is longer. So the account remains exact
	// for this time: it can be handed over, or continued if the upstream announces
	// itself here again.
	retentionTime = LeaseDuration + permit.Validity
	// drainGuardTime is the time after an announcement of the state model.Draining
	// in which an announcement of model.Serving does not end the drain. The
	// announcement of model.Serving may have been sent first and delayed.
	drainGuardTime = 3 * time.Second
)

// SlotAccounting is the part of permit.State that this package needs. Package
// permit describes accounts and permits.
type SlotAccounting interface {
	// OpenAccount starts to track the use of an upstream's slots. The returned
	// Usage reports how many of the slots are free and how many are in use.
	OpenAccount(permit.Account) permit.Usage
	// Renew sets the time from which slots of the upstream may no longer be
	// granted.
	Renew(id model.UpstreamID, until model.Time)
	// Resize changes the number of slots of the upstream.
	Resize(id model.UpstreamID, slots int)
	// CloseAccount stops tracking the use of an upstream's slots.
	CloseAccount(id model.UpstreamID)
	// HandOver stops tracking the use of an upstream's slots and returns the
	// permits for these slots, to be sent to the new owner. It does nothing and
	// returns false if it is not known exactly which slots are in use.
	HandOver(at model.Time, id model.UpstreamID, to model.InstanceID) ([]message.HeldPermit, bool)
	// TakeOver adds the permits that the former owner handed over. After that, no
	// slots are assumed to be in use any more.
	TakeOver(at model.Time, id model.UpstreamID, permits []message.HeldPermit)
}

// Placement holds what the configuration specifies for an upstream: its location
// and whether it may be used.
type Placement struct {
	Region model.Region
	// Distance is 0 for an upstream in this instance's zone, 1 elsewhere in its
	// region and 2 in other regions.
	Distance int
	// Drained is true if an operator has drained the upstream, its zone or its
	// region.
	Drained bool
	// MaxConnections is the maximum number of connections from this instance to the
	// upstream.
	MaxConnections int
}

// NumDistances is the number of possible values of Placement.Distance.
const NumDistances = 3

// Deployment provides what this package needs to know about the configuration and
// about other instances.
type Deployment interface {
	// Placement returns the placement of an upstream.
	Placement(a *model.Announcement) Placement
	// PreferredOwner returns the identifier and the address of the instance that
	// should own the upstream. Both are "" if this instance should own it.
	PreferredOwner(a *model.Announcement) (model.InstanceID, string)
	// Peers returns the other instances that can be reached, ordered by identifier.
	Peers() []model.InstanceID
	// LongestTimeout returns the longest timeout that the service has had in any
	// configuration since this process started. For an unknown service it returns
	// model.MaxTimeout.
	LongestTimeout(service model.ServiceName) model.Duration
}

// Upstream is an upstream that this instance owns.
type Upstream struct {
	Announcement model.Announcement
	Placement    Placement
	Usage        permit.Usage
	// retainUntil is the time at which the ownership ends and the account is closed
	// if no further announcement arrives.
	retainUntil model.Time
	// confirmUntil is the time up to which an announcement confirms the first
	// registration (see confirmWindow). It is 0 if no registration waits for its
	// confirmation.
	confirmUntil model.Time
	// tenure is the number of the present tenure, which handover messages carry. It
	// is 0 if no handover is expected any more.
	tenure uint64
	// requestHandoverUntil is the time up to which handover requests without an
	// answer are resent.
	requestHandoverUntil model.Time
	// drainReportedAt is the time of the last announcement with the state
	// model.Draining.
	drainReportedAt model.Time
	// readyIndex is the index of the upstream in its list in pool.ready, -1 if it
	// is not in the list.
	readyIndex int
	pool       *pool
	health     health
}

// DisabledRules selects safety rules of this package to switch off. Only tests set
// it, to verify that their checks detect a violation of each rule.
type DisabledRules struct {
	// IgnoreDrain continues to send requests to upstreams that are draining.
	IgnoreDrain bool
	// IgnoreTenure accepts handovers that were sent for an earlier tenure.
	IgnoreTenure bool
	// KeepAfterHandover continues to grant the slots of upstreams that were
	// handed over.
	KeepAfterHandover bool
}

// State holds the upstreams that this instance owns.
type State struct {
	Policy        Policy
	DisabledRules DisabledRules

	slots      SlotAccounting
	deployment Deployment
	rng        *rand.Rand
	owned      map[model.UpstreamID]*Upstream
	// pools holds the owned upstreams of each service.
	pools map[model.ServiceName]*pool
	// retentionTimers holds the times at which the retainUntil of an upstream may
	// have passed.
	retentionTimers alarm.Queue[*Upstream]

	// lastTenure is the highest tenure number that this instance has used.
	lastTenure uint64
	// handoverTimers holds the times at which handover requests are resent.
	handoverTimers alarm.Queue[*Upstream]
	// sentHandovers holds, for each upstream that this instance has handed over and
	// has not owned since, the last handover that it sent.
	sentHandovers map[model.UpstreamID]*sentHandover
	// lastHandoverRequestAt is when this instance last received a handover request,
	// 0 if it has received none.
	lastHandoverRequestAt model.Time
	redirects             map[model.UpstreamID]*redirect

	// candidates, scratch and raisedServices are buffers that Choose and Sweep
	// reuse.
	candidates     []*Upstream
	scratch        []float64
	raisedServices []model.ServiceName
}

// pool holds the owned upstreams of one service.
type pool struct {
	// members lists the upstreams, ordered by identifier.
	members []*Upstream
	// ready lists the members that may have a free slot. The index is their
	// Placement.Distance.
	ready [NumDistances][]*Upstream
	// serving is the number of members for which inService is true.
	serving int
	// slots is the total number of slots of the members for which inService is
	// true.
	slots int
	// suspects is the number of members that are marked as suspect.
	suspects int
	// medianLatency is the median of the members' latencies in nanoseconds, 0 if
	// unknown.
	medianLatency float64
}

// New returns a state without upstreams. The number of the first tenure is the
// incarnation plus one, so that a tenure of an earlier process is never mistaken
// for one of this process. The seed initializes the random choice of samples.
func New(slots SlotAccounting, deployment Deployment, incarnation model.Incarnation, seed uint64) *State {
	return &State{
		Policy:        &LeastExpected{},
		slots:         slots,
		deployment:    deployment,
		rng:           rand.New(rand.NewPCG(seed, 2)),
		owned:         map[model.UpstreamID]*Upstream{},
		pools:         map[model.ServiceName]*pool{},
		sentHandovers: map[model.UpstreamID]*sentHandover{},
		redirects:     map[model.UpstreamID]*redirect{},
		lastTenure:    uint64(incarnation),
	}
}

// addToPool makes this instance the owner of an upstream. It does not open an
// account for the upstream's slots.
func (s *State) addToPool(at model.Time, a model.Announcement) *Upstream {
	u := &Upstream{Announcement: a, Placement: s.deployment.Placement(&a), readyIndex: -1}
	s.owned[a.Upstream] = u
	delete(s.sentHandovers, a.Upstream)
	p := s.pools[a.Service]
	if p == nil {
		p = &pool{}
		s.pools[a.Service] = p
	}
	i := sort.Search(len(p.members), func(i int) bool { return p.members[i].Announcement.Upstream >= a.Upstream })
	p.members = append(p.members, nil)
	copy(p.members[i+1:], p.members[i:])
	p.members[i] = u
	u.pool = p
	p.recount()
	return u
}

// recount recomputes how many members are in service and how many slots these have
// in total.
func (p *pool) recount() {
	p.serving, p.slots = 0, 0
	for _, m := range p.members {
		if m.inService() {
			p.serving++
			p.slots += m.Announcement.Slots
		}
	}
}

// inService reports whether the upstream announced that it is serving, has not
// stated that it leaves, and no operator has drained it.
func (u *Upstream) inService() bool {
	return u.Announcement.State == model.Serving && !u.Placement.Drained && !u.health.leaving
}

// endOwnership ends the ownership of an upstream and closes the account of its
// slots.
func (s *State) endOwnership(u *Upstream) {
	s.slots.CloseAccount(u.Announcement.Upstream)
	s.removeFromPool(u)
}

// removeFromPool ends the ownership of an upstream but leaves the account of its
// slots open, so that the next ownership can continue the account.
func (s *State) removeFromPool(u *Upstream) {
	a := &u.Announcement
	delete(s.owned, a.Upstream)
	p := s.pools[a.Service]
	p.removeReady(u)
	if u.health.suspect {
		p.suspects--
	}
	for i, m := range p.members {
		if m == u {
			p.members = append(p.members[:i], p.members[i+1:]...)
			break
		}
	}
	if len(p.members) == 0 {
		delete(s.pools, a.Service)
		return
	}
	p.recount()
}

// MarkReady must be called when a slot of an upstream may have become free. Choose
// then considers the upstream again.
func (s *State) MarkReady(id model.UpstreamID) {
	if u := s.owned[id]; u != nil {
		s.pools[u.Announcement.Service].addReady(u)
	}
}

// addReady adds an upstream to the pool's ready list if it is in service and not
// yet in the list.
func (p *pool) addReady(u *Upstream) {
	if u.readyIndex >= 0 || !u.inService() {
		return
	}
	list := &p.ready[u.Placement.Distance]
	u.readyIndex = len(*list)
	*list = append(*list, u)
}

// removeReady removes an upstream from the pool's ready list if it is in the list.
func (p *pool) removeReady(u *Upstream) {
	if u.readyIndex < 0 {
		return
	}
	list := &p.ready[u.Placement.Distance]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[u.readyIndex] = moved
	moved.readyIndex = u.readyIndex
	(*list)[last] = nil
	*list = (*list)[:last]
	u.readyIndex = -1
}

// Reconfigure updates the placement of all owned upstreams after the configuration
// has changed.
func (s *State) Reconfigure() {
	for _, p := range s.pools {
		for _, u := range p.members {
			p.removeReady(u)
			u.Placement = s.deployment.Placement(&u.Announcement)
			p.addReady(u)
		}
		p.recount()
	}
}

// NextWake returns the earliest time at which Wake must be called, 0 if no call is
// needed.
func (s *State) NextWake() model.Time {
	next := s.retentionTimers.Next()
	if h := s.handoverTimers.Next(); next == 0 || h != 0 && h < next {
		next = h
	}
	return next
}

// Wake does everything that is due: it removes the upstreams that have not
// announced themselves for retentionTime, and resends unanswered handover requests.
func (s *State) Wake(at model.Time, out *event.Effects) {
	for {
		u, ok := s.retentionTimers.Pop(at)
		if !ok {
			break
		}
		switch {
		case s.owned[u.Announcement.Upstream] != u:
		case u.retainUntil > at:
			s.retentionTimers.Add(u.retainUntil, u)
		default:
			s.expire(u, out)
		}
	}
	s.resendHandoverRequests(at, out)
}

// expire ends the ownership of an upstream whose announcements have stopped.
func (s *State) expire(u *Upstream, out *event.Effects) {
	s.endOwnership(u)
	out.Add(event.Log{Code: logevent.UpstreamExpired, Fields: []logevent.Field{logevent.F("upstream", u.Announcement.Upstream)}})
}

// OwnedCount returns the number of upstreams that this instance owns.
func (s *State) OwnedCount() int { return len(s.owned) }

// Serves reports whether this instance owns an upstream of the service that is
// serving and not drained by an operator.
func (s *State) Serves(service model.ServiceName) bool {
	p := s.pools[service]
	return p != nil && p.serving > 0
}

// Slots returns the total number of slots of the service's owned upstreams that are
// serving and not drained by an operator.
func (s *State) Slots(service model.ServiceName) int {
	if p := s.pools[service]; p != nil {
		return p.slots
	}
	return 0
}

// Offers returns one offer for each service and zone in which this instance owns
// upstreams. An offer holds the number of slots, of free slots, and of draining
// upstreams. The offers are ordered by service and zone.
func (s *State) Offers(at model.Time) []message.Offer {
	var offers []message.Offer
	for _, name := range s.services() {
		offers = append(offers, s.pools[name].offers(at, name)...)
	}
	return offers
}

// services returns the services of the owned upstreams, ordered by name.
func (s *State) services() []model.ServiceName {
	names := make([]model.ServiceName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// offers returns the offers of the pool's service, one for each zone, ordered by
// zone.
func (p *pool) offers(at model.Time, name model.ServiceName) []message.Offer {
	var offers []message.Offer
	for _, u := range p.members {
		zone := u.Announcement.Zone
		i := sort.Search(len(offers), func(i int) bool { return offers[i].Zone >= zone })
		if i == len(offers) || offers[i].Zone != zone {
			offers = append(offers, message.Offer{})
			copy(offers[i+1:], offers[i:])
			offers[i] = message.Offer{Service: name, Zone: zone}
		}
		o := &offers[i]
		if !u.inService() {
			o.Draining++
			continue
		}
		o.Slots += u.Announcement.Slots
		if free := u.free(at); free > 0 && !u.health.suspect {
			o.Free += free
		}
	}
	return offers
}
