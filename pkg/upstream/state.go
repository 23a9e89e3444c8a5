package upstream

import (
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// LeaseDuration is how long an announcement keeps the ownership of an
	// upstream. It bounds how long a silent upstream gets new work.
	LeaseDuration = 2 * time.Second
	// AnnounceInterval is how often an upstream should announce itself.
	AnnounceInterval = 500 * time.Millisecond
	// PermitValidity is how long a permit may wait for its dispatch. A silent
	// upstream gets no new work after LeaseDuration plus PermitValidity.
	PermitValidity = time.Second
	// TakeoverWait is how long a new owner waits for the lease of the former
	// owner and the permits it granted to run out before it grants slots.
	TakeoverWait = LeaseDuration + PermitValidity + 500*time.Millisecond
)

// Slots is what this package needs of the slot accounting.
type Slots interface {
	// Own starts the accounting of an upstream with the given number of slots,
	// of which assumed are counted as used until the given time.
	Own(id model.UpstreamID, slots, assumed int, until model.Time)
	// Resize changes the number of slots.
	Resize(id model.UpstreamID, slots int)
	// Disown ends the accounting.
	Disown(id model.UpstreamID)
	// Free returns the number of free slots at the time.
	Free(id model.UpstreamID, at model.Time) int
	// Used returns the number of slots in use.
	Used(id model.UpstreamID) int
}

// Upstream is one upstream that this instance owns.
type Upstream struct {
	Announcement model.Announcement
	// LeaseUntil is when ownership ends without another announcement.
	LeaseUntil model.Time
	// GrantFrom is when this instance may first grant slots.
	GrantFrom model.Time
}

// State holds the upstreams that this instance owns.
type State struct {
	slots  Slots
	policy Policy
	owned  map[model.UpstreamID]*Upstream
	// pools lists the owned upstreams of each service in identifier order.
	pools map[model.ServiceName]*pool
}

type pool struct {
	members []*Upstream
	// candidates is reused by Choose.
	candidates []*Upstream
	// next is where the round-robin tie break continues.
	next int
}

// New returns an empty state that accounts for slots in slots.
func New(slots Slots, policy Policy) *State {
	return &State{
		slots:  slots,
		policy: policy,
		owned:  map[model.UpstreamID]*Upstream{},
		pools:  map[model.ServiceName]*pool{},
	}
}

// Announce handles an announcement. maxDeadline is the longest deadline of the
// service's profile: work that a former owner dispatched ends by then. It
// reports whether the service may have gained free slots.
func (s *State) Announce(at model.Time, ev event.UpstreamAnnounced, maxDeadline model.Duration, out *event.Effects) bool {
	a := ev.Announcement
	if err := a.Validate(); err != nil {
		out.Add(event.AnnounceReply{Call: ev.Call, Code: result.MalformedAnnouncement})
		return false
	}
	u := s.owned[a.Upstream]
	if u != nil && a.Incarnation < u.Announcement.Incarnation {
		// A delayed announcement of an earlier process says nothing about the
		// present one.
		out.Add(event.AnnounceReply{Call: ev.Call, Code: result.MalformedAnnouncement})
		return false
	}
	out.Add(event.AnnounceReply{Call: ev.Call, Code: result.Answered, Owner: true})
	if u != nil && (u.Announcement.Service != a.Service || u.Announcement.Incarnation != a.Incarnation) {
		s.remove(u)
		u = nil
	}
	if u == nil {
		if a.State == model.Leaving {
			return false
		}
		u = s.add(at, a, maxDeadline, out)
	}
	s.update(at, u, a, out)
	return a.State == model.Serving
}

func (s *State) add(at model.Time, a model.Announcement, maxDeadline model.Duration, out *event.Effects) *Upstream {
	u := &Upstream{Announcement: a, GrantFrom: at}
	if a.First {
		s.slots.Own(a.Upstream, a.Slots, 0, at)
		out.Add(event.Log{Code: logevent.UpstreamRegistered, Fields: []logevent.Field{
			logevent.F("upstream", a.Upstream), logevent.F("service", a.Service)}})
	} else {
		u.GrantFrom = at.Add(TakeoverWait)
		s.slots.Own(a.Upstream, a.Slots, a.Slots, u.GrantFrom.Add(maxDeadline))
		out.Add(event.Log{Code: logevent.UpstreamTakenOver, Fields: []logevent.Field{
			logevent.F("upstream", a.Upstream), logevent.F("service", a.Service)}})
	}
	s.owned[a.Upstream] = u
	p := s.pools[a.Service]
	if p == nil {
		p = &pool{}
		s.pools[a.Service] = p
	}
	i := sort.Search(len(p.members), func(i int) bool { return p.members[i].Announcement.Upstream >= a.Upstream })
	p.members = append(p.members, nil)
	copy(p.members[i+1:], p.members[i:])
	p.members[i] = u
	return u
}

func (s *State) update(at model.Time, u *Upstream, a model.Announcement, out *event.Effects) {
	was := u.Announcement
	u.Announcement = a
	u.LeaseUntil = at.Add(LeaseDuration)
	if was.Slots != a.Slots {
		s.slots.Resize(a.Upstream, a.Slots)
	}
	if was.State != a.State && a.State == model.Draining {
		out.Add(event.Log{Code: logevent.UpstreamDraining, Fields: []logevent.Field{logevent.F("upstream", a.Upstream)}})
	}
	if a.State == model.Leaving {
		s.remove(u)
		out.Add(event.Log{Code: logevent.UpstreamLeft, Fields: []logevent.Field{logevent.F("upstream", a.Upstream)}})
	}
}

func (s *State) remove(u *Upstream) {
	a := u.Announcement
	delete(s.owned, a.Upstream)
	s.slots.Disown(a.Upstream)
	p := s.pools[a.Service]
	for i, m := range p.members {
		if m == u {
			p.members = append(p.members[:i], p.members[i+1:]...)
			break
		}
	}
	if len(p.members) == 0 {
		delete(s.pools, a.Service)
	}
}

// NextWake returns when the next lease runs out, 0 if none does.
func (s *State) NextWake() model.Time {
	var next model.Time
	for _, u := range s.owned {
		if next == 0 || u.LeaseUntil < next {
			next = u.LeaseUntil
		}
	}
	return next
}

// Wake removes the upstreams whose lease ran out.
func (s *State) Wake(at model.Time, out *event.Effects) {
	var expired []*Upstream
	for _, u := range s.owned {
		if u.LeaseUntil <= at {
			expired = append(expired, u)
		}
	}
	sort.Slice(expired, func(i, j int) bool {
		return expired[i].Announcement.Upstream < expired[j].Announcement.Upstream
	})
	for _, u := range expired {
		s.remove(u)
		out.Add(event.Log{Code: logevent.UpstreamExpired, Fields: []logevent.Field{logevent.F("upstream", u.Announcement.Upstream)}})
	}
}

// Owned returns the number of owned upstreams.
func (s *State) Owned() int { return len(s.owned) }

// Serves reports whether this instance owns a serving upstream of the service.
func (s *State) Serves(service model.ServiceName) bool {
	p := s.pools[service]
	if p == nil {
		return false
	}
	for _, u := range p.members {
		if u.Announcement.State == model.Serving {
			return true
		}
	}
	return false
}
