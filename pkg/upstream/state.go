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
	// TakeoverWait is how long a new owner waits before it grants slots. By
	// then the lease of the former owner has expired, and so have its grants
	// that are not yet dispatched.
	TakeoverWait = LeaseDuration + permit.Validity + 500*time.Millisecond
	// retentionTime is how long the slot count of an upstream is kept after its
	// last announcement. No other instance grants its slots before
	// TakeoverWait, so the count is exact until then and can be handed over or
	// continued.
	retentionTime = LeaseDuration + permit.Validity
	// drainGuardTime is how long after a draining announcement an announcement
	// of model.Serving is ignored, since it may have been sent earlier and
	// delayed.
	drainGuardTime = 3 * time.Second
)

// SlotAccounting is the part of the slot accounting that this package needs.
type SlotAccounting interface {
	// OpenAccount starts the accounting of an upstream.
	OpenAccount(permit.Account) permit.Usage
	// Renew extends the time in which slots may be granted.
	Renew(id model.UpstreamID, until model.Time)
	// Resize changes the number of slots.
	Resize(id model.UpstreamID, slots int)
	// CloseAccount ends the accounting of an upstream.
	CloseAccount(id model.UpstreamID)
	// HandOver ends the accounting and returns the permits. It returns false
	// and does nothing if the count is not exact.
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

// Deployment is the information about the configuration and the other instances
// that this package needs.
type Deployment interface {
	// Placement returns the placement of an upstream.
	Placement(a *model.Announcement) Placement
	// PreferredOwner returns the instance that should own the upstream, with
	// its address. The identifier is "" for this instance.
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
	// retainUntil is when the slot count is dropped if no further announcement
	// arrives.
	retainUntil model.Time
	// confirmUntil is the end of the confirmWindow of a first registration that
	// is not confirmed yet, 0 otherwise.
	confirmUntil model.Time
	// tenure identifies this ownership in handover messages. It is 0 once no
	// handover is needed any more.
	tenure               uint64
	requestHandoverUntil model.Time
	drainReportedAt      model.Time
	// readyIndex is the position in the pool's ready list, -1 if the upstream
	// is not in it.
	readyIndex int
	pool       *pool
	health     health
}

// DisabledRules disables rules of this package. Tests use it to verify that their
// checks detect a violation of each rule.
type DisabledRules struct {
	// IgnoreDrain continues to use draining upstreams.
	IgnoreDrain bool
	// IgnoreTenure accepts handovers without comparing the tenure.
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
	// pools lists the owned upstreams of each service.
	pools           map[model.ServiceName]*pool
	retentionTimers alarm.Queue[*Upstream]

	lastTenure     uint64
	handoverTimers alarm.Queue[*Upstream]
	sentHandovers  map[model.UpstreamID]*sentHandover
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
	// serving is the number of members in service, slots the number of their
	// slots.
	serving int
	slots   int
	// suspects is the number of suspect members.
	suspects int
	// medianLatency is the median latency of the members, 0 if unknown.
	medianLatency float64
}

// New returns an empty state. Tenures are numbered from the incarnation on, so
// that an ownership of an earlier process is never mistaken for one of this
// process. The seed initializes the random choice of samples.
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

// addToPool adds an upstream to the owned ones.
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

// recount recomputes the number of members in service and of their slots.
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

// removeFromPool ends the ownership of an upstream and keeps its account open
// for the next ownership.
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

// addReady adds an upstream in service to the ready list.
func (p *pool) addReady(u *Upstream) {
	if u.readyIndex >= 0 || !u.inService() {
		return
	}
	list := &p.ready[u.Placement.Distance]
	u.readyIndex = len(*list)
	*list = append(*list, u)
}

// removeReady removes an upstream from the ready list.
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

// Reconfigure updates the placement of all upstreams after a configuration
// change.
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

// NextWake returns the earliest time at which Wake has something to do, 0 if
// there is none.
func (s *State) NextWake() model.Time {
	next := s.retentionTimers.Next()
	if h := s.handoverTimers.Next(); next == 0 || h != 0 && h < next {
		next = h
	}
	return next
}

// Wake handles everything that is due: it removes the upstreams whose retention
// time has passed and sends unanswered handover requests again.
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
// in service.
func (s *State) Serves(service model.ServiceName) bool {
	p := s.pools[service]
	return p != nil && p.serving > 0
}

// Slots returns the number of slots of the owned upstreams of the service that
// are in service.
func (s *State) Slots(service model.ServiceName) int {
	if p := s.pools[service]; p != nil {
		return p.slots
	}
	return 0
}

// Offers returns the totals of the owned upstreams for each service and zone,
// ordered by service and zone.
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
