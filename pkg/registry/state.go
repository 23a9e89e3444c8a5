package registry

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// leaseIntervals is the number of heartbeat intervals without a heartbeat
	// after which an upstream is considered lost. Heartbeats can arrive seconds
	// late.
	leaseIntervals = 4
	// minNewColdRemaining is the shortest cold remaining time with which an upstream
	// that was not considered cold is announced to other instances as cold. It
	// exceeds the transmission time of a heartbeat.
	minNewColdRemaining = 250 * time.Millisecond
	// maxDeregistered bounds the number of retained registrations of deregistered
	// upstreams. They are retained so that late heartbeats of these upstreams have
	// no effect.
	maxDeregistered = 4096
)

// Entry is the registration of one upstream.
type Entry struct {
	model.Registration
	// ColdUntil is when the upstream stops being cold.
	ColdUntil model.Time
	// LastHeartbeat is when this or another instance last received a heartbeat of
	// the upstream, as far as this instance knows.
	LastHeartbeat model.Time
	// Confirmed is true if a majority of the control group has stored the state.
	Confirmed bool
}

// State holds the registrations of all upstreams.
type State struct {
	// Lease is the time without heartbeats after which an upstream is considered
	// lost.
	Lease model.Duration

	entries map[model.UpstreamID]*Entry
	// addressOwners holds the upstream that uses each address: the one with the
	// latest process start.
	addressOwners map[string]model.UpstreamID
	deregistered  []model.UpstreamID
	revision      uint64
}

// New returns an empty registry for upstreams with the given heartbeat
// interval.
func New(interval model.Duration) *State {
	return &State{
		Lease:         leaseIntervals * interval,
		entries:       map[model.UpstreamID]*Entry{},
		addressOwners: map[string]model.UpstreamID{},
	}
}

// Revision returns a number that increases with each change of a registration.
func (s *State) Revision() uint64 { return s.revision }

// Get returns an upstream, nil if it is unknown.
func (s *State) Get(id model.UpstreamID) *Entry { return s.entries[id] }

// Heartbeat processes a heartbeat that the upstream sent to this instance. It
// reports whether the registration changed and must be sent to other instances.
func (s *State) Heartbeat(at model.Time, r model.Registration) bool {
	e := s.entries[r.ID]
	if e == nil || r.StartTimeMs != e.StartTimeMs {
		return s.Merge(at, r)
	}
	if e.State == model.RegistrationDeregistered || r.Sequence < e.Sequence {
		return false
	}
	e.LastHeartbeat = at
	turnedCold := r.ColdRemaining > minNewColdRemaining && e.ColdUntil <= at
	if r.ColdRemaining > 0 {
		e.ColdUntil = at.Add(r.ColdRemaining)
	}
	if !turnedCold && sameContent(&r, &e.Registration) {
		return false
	}
	return s.Merge(at, r)
}

// sameContent reports whether a heartbeat repeats the current registration.
func sameContent(a, b *model.Registration) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State
}

// Merge stores a registration that was received from another instance or
// changed here, if it is newer than the current one, and reports whether it is.
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
	if r.State == model.RegistrationDeregistered && (existing == nil || existing.State != model.RegistrationDeregistered) {
		s.keepDeregistered(r.ID)
	}
	return true
}

// updateAddressOwner assigns an address to the upstream with the latest process
// start among those that announced it.
func (s *State) updateAddressOwner(e *Entry) {
	owner := s.entries[s.addressOwners[e.Address]]
	if owner == nil || owner.ID == e.ID || owner.Address != e.Address ||
		owner.State == model.RegistrationDeregistered || e.StartTimeMs >= owner.StartTimeMs {
		s.addressOwners[e.Address] = e.ID
	}
}

// keepDeregistered retains the registration of a deregistered upstream and
// drops the oldest one above maxDeregistered.
func (s *State) keepDeregistered(id model.UpstreamID) {
	s.deregistered = append(s.deregistered, id)
	if len(s.deregistered) <= maxDeregistered {
		return
	}
	oldest := s.deregistered[0]
	s.deregistered = s.deregistered[1:]
	if e := s.entries[oldest]; e != nil && e.State == model.RegistrationDeregistered {
		delete(s.entries, oldest)
	}
}

// Deregister marks an upstream as deregistered for the given process start, 0
// for the current one, and returns the registration to send to other instances.
// If the upstream is unknown here, the current time of this instance's clock is
// used as its process start, since the actual start was earlier.
func (s *State) Deregister(at model.Time, id model.UpstreamID, startTimeMs int64) (model.Registration, bool) {
	r := model.Registration{ID: id, StartTimeMs: at.UnixMilli()}
	if e := s.entries[id]; e != nil {
		r = e.Registration
	}
	if startTimeMs != 0 {
		r.StartTimeMs = startTimeMs
	}
	r.State = model.RegistrationDeregistered
	r.Sequence++
	changed := s.Merge(at, r)
	return s.entries[id].Registration, changed
}

// ForwardedHeartbeat records that another instance received a heartbeat of the
// upstream.
func (s *State) ForwardedHeartbeat(at model.Time, id model.UpstreamID) {
	if e := s.entries[id]; e != nil {
		e.LastHeartbeat = at
	}
}

// Usable reports whether an upstream accepts new requests, regardless of its
// lease.
func (s *State) Usable(e *Entry) bool {
	return e.State == model.RegistrationServing && s.addressOwners[e.Address] == e.ID
}

// Expired reports whether the lease of an upstream has expired.
func (s *State) Expired(at model.Time, e *Entry) bool {
	return at > e.LastHeartbeat.Add(s.Lease)
}

// Registrations returns all registrations in the order of their identifiers,
// each with its cold remaining time.
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

// RegistrationAt returns the registration with its cold remaining time at the
// given time.
func (e *Entry) RegistrationAt(at model.Time) model.Registration {
	r := e.Registration
	r.ColdRemaining = max(0, e.ColdUntil.Sub(at))
	return r
}
