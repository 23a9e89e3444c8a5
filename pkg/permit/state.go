package permit

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// DeadlineGrace is how long after the deadline of an attempt its permit still
	// exists, because the rest of a response is accepted until shortly after the
	// deadline.
	DeadlineGrace = 250 * time.Millisecond
	// Validity is the maximum time from the grant of a slot to the dispatch of the
	// attempt. An older grant is not used. Therefore an upstream whose
	// announcements stop receives no new requests later than Validity after the
	// ownership lease has expired.
	Validity = time.Second
	// resendInterval is the time after which a permit request or a release without
	// an answer is resent.
	resendInterval = 200 * time.Millisecond
)

// DisabledRules selects safety rules of this package to switch off. Only tests set
// it, to verify that their checks detect a violation of each rule.
type DisabledRules struct {
	// FreeOnTakeover treats all slots of an upstream as free after a change of its
	// owner, although attempts of the former owner may still use them.
	FreeOnTakeover bool
	// NoValidity uses grants that are older than Validity.
	NoValidity bool
	// ExpireEarly ends each permit 100 ms (a tenth of Validity) after its grant, if
	// that is earlier than DeadlineGrace after the deadline.
	ExpireEarly bool
	// IgnoreShare grants permits to shifted requests beyond this instance's share
	// of the traffic shift's cap.
	IgnoreShare bool
	// NoForward omits the permits from handovers. It also does not forward releases
	// of these permits to the new owner of the upstream.
	NoForward bool
}

// State is the slot accounting of an instance: the accounts of owned upstreams, the
// permits it granted, and the permits it requested from other instances.
type State struct {
	DisabledRules DisabledRules

	self        model.InstanceID
	incarnation model.Incarnation

	accounts map[model.UpstreamID]*account
	// permits holds the permits that this instance granted or took over and that
	// have not ended.
	permits map[model.AttemptID]*permit
	// byExpiry holds the same permits as the field permits, ordered by expiry time.
	byExpiry permitHeap
	// accountTimers holds the times at which an account begins to grant slots or
	// stops assuming that slots are in use.
	accountTimers alarm.Queue[DispatchTrigger]
	// triggers collects the dispatch triggers for the next call of TakeTriggers.
	// takenTriggers is the slice that the previous call returned. Each call swaps
	// the two slices to reuse their memory.
	triggers      []DispatchTrigger
	takenTriggers []DispatchTrigger

	// peerRequests holds the waiting peer requests by attempt. requestQueues holds
	// the same requests in the order in which they are to be granted.
	peerRequests  map[model.AttemptID]*queuedRequest
	requestQueues map[queueKey]*requestQueue
	// targets lists, for each service, the targets that have a request queue.
	targets map[model.ServiceName][]Target
	// requestDeadlines holds the times at which waiting peer requests are removed
	// because their deadline has passed.
	requestDeadlines alarm.Queue[model.AttemptID]

	remotePermits map[model.AttemptID]*remotePermit
	resendTimers  alarm.Queue[resendTimer]

	peerOffers           map[model.ServiceName][]*PeerOffer
	availabilityVersions map[model.InstanceID]*availabilityVersion
	shares               shares
	// crossRegionUsed counts, for each service, the permits that instances of other
	// regions hold.
	crossRegionUsed map[model.ServiceName]int
}

// New returns an empty state.
func New(self model.InstanceID, incarnation model.Incarnation) *State {
	return &State{
		self:                 self,
		incarnation:          incarnation,
		accounts:             map[model.UpstreamID]*account{},
		permits:              map[model.AttemptID]*permit{},
		peerRequests:         map[model.AttemptID]*queuedRequest{},
		requestQueues:        map[queueKey]*requestQueue{},
		targets:              map[model.ServiceName][]Target{},
		remotePermits:        map[model.AttemptID]*remotePermit{},
		peerOffers:           map[model.ServiceName][]*PeerOffer{},
		availabilityVersions: map[model.InstanceID]*availabilityVersion{},
		shares:               newShares(),
		crossRegionUsed:      map[model.ServiceName]int{},
	}
}

// NextWake returns the earliest time at which Wake must be called, 0 if no call is
// needed.
func (s *State) NextWake() model.Time {
	next := earliest(s.accountTimers.Next(), s.requestDeadlines.Next())
	next = earliest(next, s.resendTimers.Next())
	next = earliest(next, s.shares.timers.Next())
	if len(s.byExpiry) > 0 {
		next = earliest(next, s.byExpiry[0].expiresAt)
	}
	return next
}

// earliest returns the earlier of two times. The time 0 means that there is none.
func earliest(a, b model.Time) model.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Wake does everything that is due: it ends expired permits, removes expired peer
// requests, resends unanswered messages, and raises the limits of shares.
func (s *State) Wake(at model.Time, latencies Latencies, out *event.Effects) {
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= at {
		s.endPermit(at, s.byExpiry[0])
	}
	for {
		t, ok := s.accountTimers.Pop(at)
		if !ok {
			break
		}
		s.addTrigger(t)
	}
	for {
		attempt, ok := s.requestDeadlines.Pop(at)
		if !ok {
			break
		}
		s.expirePeerRequest(attempt, at)
	}
	s.resendUnanswered(at, out)
	s.advanceRamps(at, latencies)
}

// DispatchTrigger reports that a request for Service that waits for a slot may now
// get one. Either a slot of Upstream may have become free or, if Upstream is "", a
// peer request has joined a queue.
type DispatchTrigger struct {
	Upstream model.UpstreamID
	Service  model.ServiceName
}

// addTrigger records a trigger for TakeTriggers.
func (s *State) addTrigger(t DispatchTrigger) { s.triggers = append(s.triggers, t) }

// TakeTriggers returns the triggers recorded since the previous call. The returned
// slice is valid until the next event.
func (s *State) TakeTriggers() []DispatchTrigger {
	taken := s.triggers
	s.triggers, s.takenTriggers = s.takenTriggers[:0], taken
	return taken
}
