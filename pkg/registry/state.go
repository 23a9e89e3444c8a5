package registry

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// leaseIntervals is the duration of a lease in heartbeat intervals. It is more
	// than one because heartbeats can arrive seconds late.
	leaseIntervals = 4
	// minNewColdRemaining is the cold remaining time above which a heartbeat means
	// that an upstream has become cold again. The registration then changes and is
	// sent to other instances. The value exceeds the transmission time of a
	// heartbeat, so that a late heartbeat from the end of a cold period is not
	// taken for a new one.
	minNewColdRemaining = 250 * time.Millisecond
	// maxDeregistered is the largest number of deregistered upstreams whose
	// registrations are retained. They are retained so that late heartbeats of
	// these upstreams have no effect.
	maxDeregistered = 4096
)

// Entry is the registration of one upstream and what else this instance knows
// about the upstream.
type Entry struct {
	model.Registration
	// ColdUntil is when the upstream stops being cold.
	ColdUntil model.Time
	// LastHeartbeat is when this instance received the latest heartbeat of the
	// upstream, or learned that another instance received one.
	LastHeartbeat model.Time
	// Confirmed is true if a majority of the control group has stored the
	// registration.
	Confirmed bool
	// Invalid is true if the registration contains an invalid value. It is retained,
	// so that all instances hold the same records, but its upstream is not usable.
	Invalid bool
}

// State holds the registrations of all upstreams.
type State struct {
	// Lease is the duration of a lease: the time from the last heartbeat of an
	// upstream until its lease expires.
	Lease model.Duration

	entries map[model.UpstreamID]*Entry
	// addressOwners holds, for each address, the upstream that uses it now: the
	// one with the latest process start.
	addressOwners map[string]model.UpstreamID
	// keys holds the upstream of each record key.
	keys         map[uint64]model.UpstreamID
	deregistered []model.UpstreamID
	revision     uint64
	digest       uint64
}

// New returns an empty registry for upstreams with the given heartbeat
// interval.
func New(interval model.Duration) *State {
	return &State{
		Lease:         leaseIntervals * interval,
		entries:       map[model.UpstreamID]*Entry{},
		addressOwners: map[string]model.UpstreamID{},
		keys:          map[uint64]model.UpstreamID{},
	}
}

// Digest returns a hash of the versions of all registrations.
func (s *State) Digest() uint64 { return s.digest }

// versionHash returns the contribution of a registration to the digest.
func versionHash(r *model.Registration) uint64 { return message.RegistrationVersion(r).Hash() }

// Revision returns a number that increases with each change of a registration.
func (s *State) Revision() uint64 { return s.revision }

// Get returns the entry of an upstream, nil if the upstream is unknown.
func (s *State) Get(id model.UpstreamID) *Entry { return s.entries[id] }

// Heartbeat processes a heartbeat that the upstream sent to this instance. It
// returns true if the registration changed and must be sent to other instances.
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

// sameContent reports whether two registrations of the same process differ at
// most in their sequence numbers and cold remaining times.
func sameContent(a, b *model.Registration) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State
}

// Merge stores a registration if it supersedes the current one, and reports
// whether it does. The registration was received from another instance or
// changed at this one.
func (s *State) Merge(at model.Time, r model.Registration) bool {
	existing := s.entries[r.ID]
	if existing != nil && !r.Supersedes(&existing.Registration) {
		_, marked := s.MarkLeaving(r.ID, r.StartTimeMs, r.Leaving)
		return marked
	}
	if existing != nil && existing.StartTimeMs == r.StartTimeMs {
		r.Leaving = r.Leaving || existing.Leaving
	}
	e := &Entry{Registration: r, ColdUntil: at.Add(r.ColdRemaining), LastHeartbeat: at,
		Invalid: r.Validate() != nil || r.ValidateStart(at) != nil}
	e.ColdRemaining = 0
	if existing != nil {
		s.digest ^= versionHash(&existing.Registration)
	}
	s.digest ^= versionHash(&e.Registration)
	s.entries[r.ID] = e
	s.keys[message.RegistrationKey(r.ID)] = r.ID
	s.revision++
	if !e.Invalid {
		s.updateAddressOwner(at, e)
	}
	if r.State == model.RegistrationDeregistered && (existing == nil || existing.State != model.RegistrationDeregistered) {
		s.retainDeregistered(r.ID)
	}
	return true
}

// MarkLeaving records that the given process of an upstream has stated that it is
// about to end, if leaving is true. It returns the registration to send to other
// instances and whether it changed.
func (s *State) MarkLeaving(id model.UpstreamID, startTimeMs int64, leaving bool) (model.Registration, bool) {
	e := s.entries[id]
	if e == nil || !leaving || e.Leaving || e.StartTimeMs != startTimeMs {
		return model.Registration{}, false
	}
	s.digest ^= versionHash(&e.Registration)
	e.Leaving = true
	s.digest ^= versionHash(&e.Registration)
	s.revision++
	return e.Registration, true
}

// updateAddressOwner makes the upstream the owner of its address unless another
// upstream with a later process start owns it. Of two with the same start, the one that
// is known already remains the owner until its lease expires: an entry that repeats what an
// upstream said under another identifier must not take its place. Start times that are
// not stated do not count as the same.
func (s *State) updateAddressOwner(at model.Time, e *Entry) {
	owner := s.entries[s.addressOwners[e.Address]]
	if owner == nil || owner.ID == e.ID || owner.Address != e.Address || owner.State == model.RegistrationDeregistered ||
		e.StartTimeMs > owner.StartTimeMs || e.StartTimeMs == owner.StartTimeMs && (e.StartTimeMs == 0 || s.Expired(at, owner)) {
		s.addressOwners[e.Address] = e.ID
	}
}

// retainDeregistered adds an upstream to the deregistered upstreams whose
// registrations are retained. If there are more than maxDeregistered of them,
// the registration of the earliest one is deleted.
func (s *State) retainDeregistered(id model.UpstreamID) {
	if i := slices.Index(s.deregistered, id); i >= 0 {
		// It has started again since.
		s.deregistered = slices.Delete(s.deregistered, i, i+1)
	}
	s.deregistered = append(s.deregistered, id)
	if len(s.deregistered) <= maxDeregistered {
		return
	}
	oldest := s.deregistered[0]
	s.deregistered = s.deregistered[1:]
	if e := s.entries[oldest]; e != nil && e.State == model.RegistrationDeregistered {
		s.digest ^= versionHash(&e.Registration)
		delete(s.keys, message.RegistrationKey(oldest))
		delete(s.entries, oldest)
	}
}

// Deregister marks the given process start of an upstream as deregistered, or
// the current one if startTimeMs is 0. It returns the registration to send to
// other instances and whether it changed. If this instance does not know the
// upstream, the current time is used as the process start, since the actual
// start was earlier.
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
// upstream with the record key.
func (s *State) ForwardedHeartbeat(at model.Time, key uint64) {
	if e := s.entries[s.keys[key]]; e != nil {
		e.LastHeartbeat = at
	}
}

// Usable reports whether an upstream accepts new requests: it is serving and not
// leaving, and no other upstream has taken over its address. It does not check
// whether the lease has expired.
func (s *State) Usable(e *Entry) bool {
	return e.State == model.RegistrationServing && !e.Leaving && !e.Invalid && s.addressOwners[e.Address] == e.ID
}

// Expired reports whether the lease of an upstream has expired.
func (s *State) Expired(at model.Time, e *Entry) bool { return at > e.LastHeartbeat.Add(s.Lease) }

// Registrations returns all registrations in the order of their identifiers,
// each with its cold remaining time at the given time.
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
