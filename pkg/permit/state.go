package permit

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// DeadlineGrace is how long after its deadline an attempt may still hold its
	// slot at the upstream.
	DeadlineGrace = 250 * time.Millisecond
	// Validity is how long a permit may wait for its dispatch. A silent upstream
	// gets no new work after the ownership lease plus Validity.
	Validity = time.Second
	// resendInterval is how often an unanswered message is repeated.
	resendInterval = 200 * time.Millisecond
)

// Faults switch off one rule each. Tests use them to show that their checks
// notice a broken rule.
type Faults struct {
	// FreeOnTakeover counts no slot as used when an upstream changes its owner.
	FreeOnTakeover bool
	// NoValidity lets permits be dispatched however old their grant is.
	NoValidity bool
	// ExpireEarly ends permits after 100 ms instead of at the deadline.
	ExpireEarly bool
	// IgnoreShare grants shifted work beyond the share.
	IgnoreShare bool
	// NoForward loses releases of permits that were handed over, and their
	// entry in the handover.
	NoForward bool
}

// State is the slot accounting of an instance.
type State struct {
	Faults Faults

	self        model.InstanceID
	incarnation model.Incarnation

	accounts map[model.UpstreamID]*account
	permits  map[model.AttemptID]*permit
	byExpiry permitHeap
	// opens lists when accounts begin to grant or stop assuming used slots.
	accountTimers alarm.Queue[DispatchTrigger]
	// gained lists what may have gained a free slot.
	triggers      []DispatchTrigger
	takenTriggers []DispatchTrigger

	peerRequests     map[model.AttemptID]*queuedRequest
	requestQueues    map[queueKey]*requestQueue
	targets          map[model.ServiceName][]Target
	requestDeadlines alarm.Queue[model.AttemptID]

	remotePermits map[model.AttemptID]*remotePermit
	resendTimers  alarm.Queue[resendTimer]

	hints        map[model.ServiceName][]*Hint
	hintVersions map[model.InstanceID]*hintVersion
	shares       shares
	// farUsed counts the permits of each service that other regions hold.
	crossRegionPermits map[model.ServiceName]int
}

// New returns an empty state.
func New(self model.InstanceID, incarnation model.Incarnation) *State {
	return &State{
		self:               self,
		incarnation:        incarnation,
		accounts:           map[model.UpstreamID]*account{},
		permits:            map[model.AttemptID]*permit{},
		peerRequests:       map[model.AttemptID]*queuedRequest{},
		requestQueues:      map[queueKey]*requestQueue{},
		targets:            map[model.ServiceName][]Target{},
		remotePermits:      map[model.AttemptID]*remotePermit{},
		hints:              map[model.ServiceName][]*Hint{},
		hintVersions:       map[model.InstanceID]*hintVersion{},
		shares:             newShares(),
		crossRegionPermits: map[model.ServiceName]int{},
	}
}

// NextWake returns the earliest time at which Wake has something to do, 0 if
// there is none.
func (s *State) NextWake() model.Time {
	next := earliest(s.accountTimers.Next(), s.requestDeadlines.Next())
	next = earliest(next, s.resendTimers.Next())
	next = earliest(next, s.shares.timers.Next())
	if len(s.byExpiry) > 0 {
		next = earliest(next, s.byExpiry[0].expiresAt)
	}
	return next
}

func earliest(a, b model.Time) model.Time {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Wake ends expired permits and asks, and repeats unanswered messages.
func (s *State) Wake(at model.Time, latencies Latencies, out *event.Effects) {
	for len(s.byExpiry) > 0 && s.byExpiry[0].expiresAt <= at {
		s.endPermit(at, s.byExpiry[0])
	}
	for {
		g, ok := s.accountTimers.Pop(at)
		if !ok {
			break
		}
		s.addTrigger(g)
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

// Gain says that a service may have gained a free slot, at an upstream or, if
// that is "", because another request waits for one.
type DispatchTrigger struct {
	Upstream model.UpstreamID
	Service  model.ServiceName
}

func (s *State) addTrigger(g DispatchTrigger) { s.triggers = append(s.triggers, g) }

// TakeGained returns what may have gained a free slot since the last call. The
// result is valid until the next event.
func (s *State) TakeTriggers() []DispatchTrigger {
	g := s.triggers
	s.triggers, s.takenTriggers = s.takenTriggers[:0], g
	return g
}
