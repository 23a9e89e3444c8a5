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
	// announcement. It limits how long an upstream whose announcements stop
	// receives new requests.
	LeaseDuration = 2 * time.Second
	// AnnounceInterval is how often an upstream should announce itself.
	AnnounceInterval = 500 * time.Millisecond
	// grantMargin is the time at the end of a lease in which no slot is
	// granted. It compensates for the delays of the last announcement and of
	// the last dispatch, so that an upstream receives no new requests later
	// than 3 s after it began to drain or its announcements stopped.
	grantMargin = 300 * time.Millisecond
	// TakeoverWait is how long a new owner waits before it grants slots. By then
	// the lease of the former owner has expired, and attempts to which the former
	// owner granted slots are either dispatched or no longer allowed to be.
	TakeoverWait = LeaseDuration + permit.Validity + 500*time.Millisecond
	// retentionTime is how long the slot count of an upstream is kept after the
	// last announcement. Another instance that takes the upstream over grants no
	// slots before TakeoverWait. Until then the count is exact and can be handed
	// over or continued.
	retentionTime = LeaseDuration + permit.Validity
	// drainGuardTime is the time after a draining announcement in which the state
	// model.Serving of another announcement is ignored, because that announcement
	// may have been sent earlier and delayed.
	drainGuardTime = 3 * time.Second
)

// SlotAccounting is the part of the slot accounting that this package needs.
// Package permit describes accounts and permits.
type SlotAccounting interface {
	// OpenAccount starts the accounting of an upstream.
	OpenAccount(permit.Account) permit.Usage
	// Renew changes the time until which slots of the upstream may be granted.
	Renew(id model.UpstreamID, until model.Time)
	// Resize changes the number of slots of the upstream.
	Resize(id model.UpstreamID, slots int)
	// CloseAccount ends the accounting of an upstream.
	CloseAccount(id model.UpstreamID)
	// HandOver ends the accounting of an upstream and returns its permits for the
	// new owner. It returns false and does nothing if the count is not exact.
	HandOver(at model.Time, id model.UpstreamID, to model.InstanceID) ([]message.HeldPermit, bool)
	// TakeOver replaces the slots that are assumed to be in use by the permits
	// of the former owner.
	TakeOver(at model.Time, id model.UpstreamID, permits []message.HeldPermit)
}

// Placement holds what the configuration specifies for an upstream: its location
// and whether it may be used.
type Placement struct {
	Region model.Region
	// Distance is 0 in this instance's zone, 1 in its region and 2 elsewhere.
	Distance int
	// Drained is true if an operator has drained the upstream, its zone or its
	// region.
	Drained bool
	// MaxConnections limits the connections of this instance to the upstream.
	MaxConnections int
}

// NumDistances is the number of values of Placement.Distance.
const NumDistances = 3

// Deployment provides what this package needs to know about the configuration and
// about other instances.
type Deployment interface {
	// Placement returns the placement of an upstream.
	Placement(a *model.Announcement) Placement
	// PreferredOwner returns the identifier and the address of the instance that
	// should own the upstream. Both are "" for this instance.
	PreferredOwner(a *model.Announcement) (model.InstanceID, string)
	// Peers lists the reachable instances in identifier order.
	Peers() []model.InstanceID
	// LongestTimeout returns the longest timeout that the service has had.
	LongestTimeout(service model.ServiceName) model.Duration
}

// Upstream is an upstream that this instance owns.
type Upstream struct {
	Announcement model.Announcement
	Placement    Placement
	Usage        permit.Usage
	// retainUntil is when the ownership ends and the slot count is dropped if no
	// further announcement arrives.
	retainUntil model.Time
	// confirmUntil is the end of the confirmWindow of a first registration that
	// is not confirmed yet, 0 otherwise.
	confirmUntil model.Time
	// tenure is the number of the present tenure, which handover messages carry.
	// It is 0 once no handover is needed any more.
	tenure uint64
	// requestHandoverUntil is when resending of unanswered handover requests
	// ends.
	requestHandoverUntil model.Time
	// drainReportedAt is the time of the last draining announcement.
	drainReportedAt model.Time
	// readyIndex is the position in the pool's ready list, -1 if the upstream
	// is not in it.
	readyIndex int
	pool       *pool
	health     health
}

// DisabledRules selects safety rules of this package to switch off. Only tests set
// it, to verify that their checks detect a violation of each rule.
type DisabledRules struct {
	// IgnoreDrain continues to use draining upstreams.
	IgnoreDrain bool
	// IgnoreTenure accepts handovers for any tenure, also for earlier ones.
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
	// pools holds the owned upstreams by service.
	pools map[model.ServiceName]*pool
	// retentionTimers holds the times at which the slot counts of upstreams may
	// be dropped.
	retentionTimers alarm.Queue[*Upstream]

	// lastTenure is the number of the latest tenure of this instance.
	lastTenure uint64
	// handoverTimers holds the times at which handover requests are resent.
	handoverTimers alarm.Queue[*Upstream]
	// sentHandovers holds the last handover of each upstream that this instance
	// handed over and has not owned since.
	sentHandovers map[model.UpstreamID]*sentHandover
	// lastHandoverRequestAt is when another instance last requested a handover,
	// 0 if none has.
	lastHandoverRequestAt model.Time
	redirects             map[model.UpstreamID]*redirect

	// candidates, scratch and raisedServices are reusable buffers of Choose and
	// Sweep.
	candidates     []*Upstream
	scratch        []float64
	raisedServices []model.ServiceName
}

// pool holds the owned upstreams of one service.
type pool struct {
	// members are in identifier order.
	members []*Upstream
	// ready lists the members that may have a free slot, for each distance.
	ready [NumDistances][]*Upstream
	// serving is the number of members in service.
	serving int
	// slots is the total number of slots of the members in service.
	slots int
	// suspects is the number of suspect members.
	suspects int
	// medianLatency is the median latency of the members in nanoseconds, 0 if
	// unknown.
	medianLatency float64
}

// New returns an empty state. Tenures are numbered from the incarnation on, so that
// a tenure of an earlier process is never mistaken for one of this process. The
// seed initializes the random choice of samples.
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

// addToPool makes this instance the owner of an upstream. It opens no account.
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

// recount recomputes the number of members in service and their number of slots.
func (p *pool) recount() {
	p.serving, p.slots = 0, 0
	for _, m := range p.members {
		if m.inService() {
			p.serving++
			p.slots += m.Announcement.Slots
		}
	}
}

// inService reports whether the upstream is serving and not drained.
func (u *Upstream) inService() bool {
	return u.Announcement.State == model.Serving && !u.Placement.Drained
}

// endOwnership ends the ownership of an upstream and closes its account.
func (s *State) endOwnership(u *Upstream) {
	s.slots.CloseAccount(u.Announcement.Upstream)
	s.removeFromPool(u)
}

// removeFromPool ends the ownership of an upstream but leaves the account open, so
// that the next ownership can continue it.
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

// MarkReady notifies the state that a slot of an upstream may have become free.
func (s *State) MarkReady(id model.UpstreamID) {
	if u := s.owned[id]; u != nil {
		s.pools[u.Announcement.Service].addReady(u)
	}
}

// addReady adds an upstream to the ready list if it is in service and not in the
// list yet.
func (p *pool) addReady(u *Upstream) {
	if u.readyIndex >= 0 || !u.inService() {
		return
	}
	list := &p.ready[u.Placement.Distance]
	u.readyIndex = len(*list)
	*list = append(*list, u)
}

// removeReady removes an upstream from the ready list if it is in the list.
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

// Reconfigure updates the placement of all owned upstreams after a change of the
// configuration.
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

// NextWake returns the earliest time at which Wake must be called, 0 if there is
// none.
func (s *State) NextWake() model.Time {
	next := s.retentionTimers.Next()
	if h := s.handoverTimers.Next(); next == 0 || h != 0 && h < next {
		next = h
	}
	return next
}

// Wake handles everything that is due: it removes the upstreams whose retention
// time has passed and resends unanswered handover requests.
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

// expire removes an upstream whose announcements have stopped.
func (s *State) expire(u *Upstream, out *event.Effects) {
	s.endOwnership(u)
	out.Add(event.Log{Code: logevent.UpstreamExpired, Fields: []logevent.Field{logevent.F("upstream", u.Announcement.Upstream)}})
}

// OwnedCount returns the number of owned upstreams.
func (s *State) OwnedCount() int { return len(s.owned) }

// Serves reports whether this instance owns an upstream of the service that is
// serving and not drained.
func (s *State) Serves(service model.ServiceName) bool {
	p := s.pools[service]
	return p != nil && p.serving > 0
}

// Slots returns the total number of slots of the owned upstreams of the service
// that are serving and not drained.
func (s *State) Slots(service model.ServiceName) int {
	if p := s.pools[service]; p != nil {
		return p.slots
	}
	return 0
}

// Offers returns one offer for each service and zone with owned upstreams: the
// totals of their slots, free slots and draining upstreams. The offers are ordered
// by service and zone.
func (s *State) Offers(at model.Time) []message.Offer {
	var offers []message.Offer
	for _, name := range s.services() {
		offers = append(offers, s.pools[name].offers(at, name)...)
	}
	return offers
}

// services returns the services of the owned upstreams ordered by name.
func (s *State) services() []model.ServiceName {
	names := make([]model.ServiceName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// offers returns the offers of one service, ordered by zone.
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
