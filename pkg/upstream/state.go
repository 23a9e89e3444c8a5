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
	// LeaseDuration is how long an announcement keeps the ownership of an
	// upstream. It bounds how long a silent upstream gets new work.
	LeaseDuration = 2 * time.Second
	// AnnounceInterval is how often an upstream should announce itself.
	AnnounceInterval = 500 * time.Millisecond
	// grantMargin is the end of a lease in which no slot is granted, so that the
	// delay of the last announcement and of the last dispatch stay within the 3 s
	// after which a silent or draining upstream gets no new work.
	grantMargin = 300 * time.Millisecond
	// TakeoverWait is how long a new owner waits for the lease of the former
	// owner and the permits it granted to run out before it grants slots.
	TakeoverWait = LeaseDuration + permit.Validity + 500*time.Millisecond
	// retention is how long the count of a silent upstream is kept after its last
	// announcement. Nobody else grants its slots before TakeoverWait, so until
	// then the count is exact and can be handed over or continued.
	retentionTime = LeaseDuration + permit.Validity
	// drainHold is how long a drain counts against an announcement of "serving"
	// that may have been sent before it and come late.
	drainGuardTime = 3 * time.Second
)

// Slots is what this package needs of the slot accounting.
type SlotAccounting interface {
	OpenAccount(permit.Account) permit.Usage
	// Renew extends the time in which slots may be granted.
	Renew(id model.UpstreamID, until model.Time)
	// Resize changes the number of slots.
	Resize(id model.UpstreamID, slots int)
	// Disown ends the accounting.
	CloseAccount(id model.UpstreamID)
	// HandOver ends the accounting and returns the permits if the count is exact.
	HandOver(at model.Time, id model.UpstreamID, to model.InstanceID) ([]message.HeldPermit, bool)
	// TakeOver replaces assumed slots by the former owner's permits.
	TakeOver(at model.Time, id model.UpstreamID, permits []message.HeldPermit)
}

// Site is what the configuration says of the place of an upstream.
type Placement struct {
	Region model.Region
	// Distance is 0 in this instance's zone, 1 in its region and 2 elsewhere.
	Distance int
	// Drained upstreams were taken out of service by operators.
	Drained bool
	// Connections bounds the connections of this instance.
	MaxConnections int
}

// Distances is the number of values of Site.Distance.
const NumDistances = 3

// Deployment is what this package needs of the configuration and the other
// instances.
type Deployment interface {
	// Site places an upstream.
	Placement(a *model.Announcement) Placement
	// PreferredOwner returns the instance that should own the upstream, with its
	// address. The identifier is "" for this instance.
	PreferredOwner(a *model.Announcement) (model.InstanceID, string)
	// Peers lists the reachable instances in identifier order.
	Peers() []model.InstanceID
	// LongestDeadline bounds the deadlines that the service has had.
	LongestDeadline(service model.ServiceName) model.Duration
}

// Upstream is one upstream that this instance owns.
type Upstream struct {
	Announcement model.Announcement
	Placement    Placement
	Usage        permit.Usage
	// forgetAt is when the count is dropped without another announcement.
	retainUntil model.Time
	// candidateUntil is set while a first registration waits for the proof that
	// its answer arrived.
	confirmUntil model.Time
	// tenure identifies this ownership in handover messages; 0 once the count is
	// not wanted any more.
	tenure               uint64
	requestHandoverUntil model.Time
	drainReportedAt      model.Time
	// readyIndex is the position among the ready upstreams of the pool, -1 if it
	// is not there.
	readyIndex int
	pool       *pool
	health     health
}

// Faults switch off one rule each. Tests use them to show that their checks
// notice a broken rule.
type Faults struct {
	// IgnoreDrain goes on to use draining upstreams.
	IgnoreDrain bool
	// AnyTenure takes a handover without comparing the tenure.
	AnyTenure bool
	// KeepAfterHandover goes on to grant slots that were handed over.
	KeepAfterHandover bool
}

// State holds the upstreams that this instance owns.
type State struct {
	Policy Policy
	Faults Faults

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
	// askedAt is when another instance last asked for a handover.
	lastHandoverRequestAt model.Time
	redirects             map[model.UpstreamID]*redirect

	// Buffers of Choose and Sweep.
	candidates     []*Upstream
	scratch        []float64
	raisedServices []model.ServiceName
}

// pool holds the owned upstreams of one service.
type pool struct {
	// members are in identifier order.
	members []*Upstream
	// ready lists, for each distance, those that may have a free slot.
	ready   [NumDistances][]*Upstream
	serving int
	// slots counts the slots of the serving members.
	slots int
	// suspects counts the suspect members. median is that of their latencies, 0
	// if unknown.
	suspects      int
	medianLatency float64
}

// New returns an empty state that accounts for slots in slots.
//
// The incarnation numbers the ownerships, so that none of an earlier process is
// taken for one of this.
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

// count brings the number of serving members up to date.
func (p *pool) recount() {
	p.serving, p.slots = 0, 0
	for _, m := range p.members {
		if m.inService() {
			p.serving++
			p.slots += m.Announcement.Slots
		}
	}
}

// takesWork reports whether the upstream is in service.
func (u *Upstream) inService() bool {
	return u.Announcement.State == model.Serving && !u.Placement.Drained
}

// remove ends the ownership of an upstream and its accounting.
func (s *State) disown(u *Upstream) {
	s.slots.CloseAccount(u.Announcement.Upstream)
	s.removeFromPool(u)
}

// unlist ends the ownership and keeps the accounting for the next one.
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

// MarkReady notes that an upstream may have gained a free slot.
func (s *State) MarkReady(id model.UpstreamID) {
	if u := s.owned[id]; u != nil {
		s.pools[u.Announcement.Service].addReady(u)
	}
}

func (p *pool) addReady(u *Upstream) {
	if u.readyIndex >= 0 || !u.inService() {
		return
	}
	list := &p.ready[u.Placement.Distance]
	u.readyIndex = len(*list)
	*list = append(*list, u)
}

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

// Reconfigure places all upstreams anew after a change of the configuration.
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

// Wake removes the upstreams whose lease ran out, and repeats requests for
// handovers.
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
	s.repeatHandoverRequests(at, out)
}

func (s *State) expire(u *Upstream, out *event.Effects) {
	s.disown(u)
	out.Add(event.Log{Code: logevent.UpstreamExpired, Fields: []logevent.Field{logevent.F("upstream", u.Announcement.Upstream)}})
}

// Owned returns the number of owned upstreams.
func (s *State) OwnedCount() int { return len(s.owned) }

// Serves reports whether this instance owns a serving upstream of the service.
func (s *State) Serves(service model.ServiceName) bool {
	p := s.pools[service]
	return p != nil && p.serving > 0
}

// Slots returns the number of slots of the owned serving upstreams.
func (s *State) Slots(service model.ServiceName) int {
	if p := s.pools[service]; p != nil {
		return p.slots
	}
	return 0
}

// Offers sums up the owned upstreams by service and zone, in that order.
func (s *State) Offers(at model.Time) []message.Offer {
	var offers []message.Offer
	for _, name := range s.services() {
		offers = append(offers, s.pools[name].offers(at, name)...)
	}
	return offers
}

// services lists the services of owned upstreams in name order.
func (s *State) services() []model.ServiceName {
	names := make([]model.ServiceName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

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
