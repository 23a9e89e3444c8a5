package permit

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// DeadlineGrace is how long after its deadline an attempt may still hold
	// its slot at the upstream.
	DeadlineGrace = 250 * time.Millisecond
	// Validity is the maximum time from a grant to the dispatch of the attempt. An
	// upstream whose announcements stop receives no new requests later than
	// Validity after the ownership lease has expired.
	Validity = time.Second
	// resendInterval is the time after which an unanswered message is resent.
	resendInterval = 200 * time.Millisecond
)

// DisabledRules selects safety rules of this package to switch off. Only tests set
// it, to verify that their checks detect a violation of each rule.
type DisabledRules struct {
	// FreeOnTakeover treats all slots of an upstream as free after a change of
	// its owner.
	FreeOnTakeover bool
	// NoValidity accepts grants older than Validity.
	NoValidity bool
	// ExpireEarly ends each permit 100 ms (a tenth of Validity) after its grant
	// instead of DeadlineGrace after the deadline.
	ExpireEarly bool
	// IgnoreShare grants shifted requests in excess of the share of the cap.
	IgnoreShare bool
	// NoForward omits the permits from handovers and does not forward their
	// releases to the new owner.
	NoForward bool
}

// State is the slot accounting of an instance: the accounts of owned upstreams, the
// permits it granted, and the permits it requested from other instances.
type State struct {
	DisabledRules DisabledRules

	self        model.InstanceID
	incarnation model.Incarnation

	accounts map[model.UpstreamID]*account
	// permits holds the permits that exist at this instance as the owner.
	permits map[model.AttemptID]*permit
	// byExpiry holds the same permits ordered by expiry time.
	byExpiry permitHeap
	// accountTimers holds the times at which accounts begin to grant slots or
	// stop assuming that slots are in use.
	accountTimers alarm.Queue[DispatchTrigger]
	// triggers collects dispatch triggers for the next call of TakeTriggers.
	// takenTriggers is the slice that the last call returned. Each call swaps the
	// two slices to reuse their memory.
	triggers      []DispatchTrigger
	takenTriggers []DispatchTrigger

	// peerRequests holds the waiting peer requests, requestQueues the same
	// requests in the order of each queue.
	peerRequests  map[model.AttemptID]*queuedRequest
	requestQueues map[queueKey]*requestQueue
	// targets lists the targets of each service for which there is a queue.
	targets map[model.ServiceName][]Target
	// requestDeadlines holds the deadlines of peer requests.
	requestDeadlines alarm.Queue[model.AttemptID]

	remotePermits map[model.AttemptID]*remotePermit
	resendTimers  alarm.Queue[resendTimer]

	peerOffers           map[model.ServiceName][]*PeerOffer
	availabilityVersions map[model.InstanceID]*availabilityVersion
	shares               shares
	// crossRegionUsed counts the permits of each service that instances of
	// other regions hold.
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

// NextWake returns the earliest time at which Wake must be called, 0 if there is
// none.
func (s *State) NextWake() model.Time {
	next := earliest(s.accountTimers.Next(), s.requestDeadlines.Next())
	next = earliest(next, s.resendTimers.Next())
	next = earliest(next, s.shares.timers.Next())
	if len(s.byExpiry) > 0 {
		next = earliest(next, s.byExpiry[0].expiresAt)
	}
	return next
}

// earliest returns the earlier of two times. The time 0 stands for never.
func earliest(a, b model.Time) model.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Wake handles everything that is due: it ends expired permits, removes expired
// peer requests, resends unanswered messages and advances the ramps of traffic
// shifts.
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

// DispatchTrigger reports that a waiting request for Service may be ready for
// dispatch. A slot of Upstream may have become free or, if Upstream is "", a peer
// request has joined a queue.
type DispatchTrigger struct {
	Upstream model.UpstreamID
	Service  model.ServiceName
}

// addTrigger records a trigger for TakeTriggers.
func (s *State) addTrigger(t DispatchTrigger) { s.triggers = append(s.triggers, t) }

// TakeTriggers returns the triggers recorded since the last call. The result is
// valid until the next event.
func (s *State) TakeTriggers() []DispatchTrigger {
	taken := s.triggers
	s.triggers, s.takenTriggers = s.takenTriggers[:0], taken
	return taken
}
