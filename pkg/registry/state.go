package registry

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// leaseIntervals is how many heartbeat intervals an upstream may be silent
	// before it counts as lost. Heartbeats can arrive seconds late.
	leaseIntervals = 4
	// minColdNews is the shortest cold time that is spread anew for an upstream
	// that counted as warm. The time of one heartbeat to arrive lies below it.
	minColdChange = 250 * time.Millisecond
	// maxDeparted bounds the departed registrations that are kept so that late
	// heartbeats of theirs change nothing.
	maxDeregistered = 4096
)

// Entry is one upstream.
type Entry struct {
	model.Registration
	// ColdUntil is when the upstream stops being cold.
	ColdUntil model.Time
	// HeardAt is when the upstream was last known to send heartbeats.
	LastHeartbeat model.Time
	// Confirmed says that a majority of the control group holds the state.
	Confirmed bool
}

// State holds the registrations.
type State struct {
	// Lease is how long an upstream may be silent before it counts as lost.
	Lease model.Duration

	entries map[model.UpstreamID]*Entry
	// holders names the upstream that uses each address: the newest start.
	addressOwners map[string]model.UpstreamID
	deregistered  []model.UpstreamID
	revision      uint64
}

// New returns an empty registry for heartbeats of the given interval.
func New(interval model.Duration) *State {
	return &State{
		Lease:         leaseIntervals * interval,
		entries:       map[model.UpstreamID]*Entry{},
		addressOwners: map[string]model.UpstreamID{},
	}
}

// Revision changes with each change of a registration.
func (s *State) Revision() uint64 { return s.revision }

// Get returns an upstream, nil if it is unknown.
func (s *State) Get(id model.UpstreamID) *Entry { return s.entries[id] }

// Heartbeat takes an upstream's own announcement. It reports whether the
// registration changed, so that it must be spread.
func (s *State) Heartbeat(at model.Time, r model.Registration) bool {
	e := s.entries[r.ID]
	if e == nil || r.StartTimeMs != e.StartTimeMs {
		return s.Merge(at, r)
	}
	if e.State == model.RegistrationDeparted || r.Sequence < e.Sequence {
		return false
	}
	e.LastHeartbeat = at
	turnedCold := r.ColdRemaining > minColdChange && e.ColdUntil <= at
	if r.ColdRemaining > 0 {
		e.ColdUntil = at.Add(r.ColdRemaining)
	}
	if !turnedCold && sameContent(&r, &e.Registration) {
		return false
	}
	return s.Merge(at, r)
}

// sameContent reports whether a heartbeat repeats what is registered.
func sameContent(a, b *model.Registration) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State
}

// Merge takes a registration from another instance, or a changed one. It reports
// whether it is newer than the one held.
func (s *State) Merge(at model.Time, r model.Registration) bool {
	existing := s.entries[r.ID]
	if existing != nil && !r.Supersedes(&existing.Registration) {
		return false
	}
	e := &Entry{Registration: r, ColdUntil: at.Add(r.ColdRemaining), LastHeartbeat: at}
	e.ColdRemaining = 0
	s.entries[r.ID] = e
	s.revision++
	s.updateAddressOwner(e)
	if r.State == model.RegistrationDeparted && (existing == nil || existing.State != model.RegistrationDeparted) {
		s.keepDeregistered(r.ID)
	}
	return true
}

// updateHolder gives an address to the newest start that announced it.
func (s *State) updateAddressOwner(e *Entry) {
	holder := s.entries[s.addressOwners[e.Address]]
	if holder == nil || holder.ID == e.ID || holder.Address != e.Address ||
		holder.State == model.RegistrationDeparted || e.StartTimeMs >= holder.StartTimeMs {
		s.addressOwners[e.Address] = e.ID
	}
}

func (s *State) keepDeregistered(id model.UpstreamID) {
	s.deregistered = append(s.deregistered, id)
	if len(s.deregistered) <= maxDeregistered {
		return
	}
	oldest := s.deregistered[0]
	s.deregistered = s.deregistered[1:]
	if e := s.entries[oldest]; e != nil && e.State == model.RegistrationDeparted {
		delete(s.entries, oldest)
	}
}

// Depart marks a start of an upstream as departed, the present one if born is 0,
// and returns the registration to spread. An upstream that is not known here is
// departed as of now by this instance's clock, which lies after its start.
func (s *State) Deregister(at model.Time, id model.UpstreamID, startTimeMs int64) (model.Registration, bool) {
	r := model.Registration{ID: id, StartTimeMs: at.UnixMilli()}
	if e := s.entries[id]; e != nil {
		r = e.Registration
	}
	if startTimeMs != 0 {
		r.StartTimeMs = startTimeMs
	}
	r.State = model.RegistrationDeparted
	r.Sequence++
	changed := s.Merge(at, r)
	return s.entries[id].Registration, changed
}

// Heard notes that another instance had a heartbeat of the upstream.
func (s *State) ForwardedHeartbeat(at model.Time, id model.UpstreamID) {
	if e := s.entries[id]; e != nil {
		e.LastHeartbeat = at
	}
}

// Usable reports whether an upstream takes new requests, apart from its lease.
func (s *State) Usable(e *Entry) bool {
	return e.State == model.RegistrationServing && s.addressOwners[e.Address] == e.ID
}

// Expired reports whether an upstream has been silent for longer than its lease.
func (s *State) Expired(at model.Time, e *Entry) bool { return at > e.LastHeartbeat.Add(s.Lease) }

// Registrations returns all registrations in the order of their identifiers,
// with the cold time that is left.
func (s *State) Registrations(at model.Time) []model.Registration {
	list := make([]model.Registration, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e.RegistrationAt(at))
	}
	slices.SortFunc(list, func(a, b model.Registration) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// At returns the registration with the cold time that is left.
func (e *Entry) RegistrationAt(at model.Time) model.Registration {
	r := e.Registration
	r.ColdRemaining = max(0, e.ColdUntil.Sub(at))
	return r
}
