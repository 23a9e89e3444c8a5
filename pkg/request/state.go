package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Ledger decides whether a request with an idempotency key may be executed.
type Ledger interface {
	// Claim claims the idempotency key of a request. The request must not be
	// executed before the claim is granted. The ledger's decision is passed to
	// State.ClaimDecided.
	Claim(at model.Time, r *event.RequestArrived, out *event.Effects)
	// Abandon withdraws the claim of a request that was certainly not executed.
	Abandon(at model.Time, id model.RequestID, out *event.Effects)
	// Record stores that a request with a claim was executed, together with its
	// response. A nil answer means that the response is not stored.
	Record(at model.Time, id model.RequestID, answer *model.Answer, out *event.Effects)
}

// ClaimDecision is the ledger's decision on a claim.
type ClaimDecision struct {
	Request model.RequestID
	// Code is result.Success if the claim is granted or Answer is set. Otherwise
	// it is the result code with which the request ends.
	Code result.Code
	// Answer is the stored response of an earlier request with the same key, nil
	// if there is none.
	Answer *model.Answer
}

// phase is the state of an open request.
type phase uint8

const (
	// awaitingClaim means that the request is new, or that it waits until the
	// ledger has decided whether to grant its claim of the idempotency key.
	awaitingClaim phase = iota
	// awaitingShift means that the request waits for a slot in the target region
	// of a traffic shift.
	awaitingShift
	// queued means that the request waits in the queue of its service.
	queued
	// running means that an attempt was dispatched and the request does not wait
	// for another attempt.
	running
)

// request is a request that has not ended.
type request struct {
	arrival    event.RequestArrived
	profile    *model.Profile
	deadline   model.Time
	phase      phase
	idempotent bool
	// attemptCount is the number of attempts dispatched so far.
	attemptCount int
	// mayHaveExecuted is set once an attempt was answered, or ended without proof
	// that the upstream did not execute it.
	mayHaveExecuted bool
	// relayedAttempt is the attempt whose response is relayed to the caller, the
	// zero value for none.
	relayedAttempt model.AttemptID
	openAttempts   []openAttempt
	// canceled is set once the caller has disconnected.
	canceled bool
	// queueIndex is the index of the request in the heap of its tenant's waiting
	// requests, -1 if the request does not wait there.
	queueIndex int
	// pendingSlotAttempt is the attempt for which a slot was requested from
	// another instance that has not answered yet, the zero value for none.
	pendingSlotAttempt model.AttemptID
	// lastUpstream is the upstream of the last attempt. The next attempt uses it
	// only if no other suitable upstream has a free slot.
	lastUpstream model.UpstreamID
}

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	id       model.AttemptID
	upstream model.UpstreamID
	sentAt   model.Time
	// headersAt is when the response headers arrived, 0 if they have not.
	headersAt model.Time
}

// needsClaim reports whether the request needs a claim of the ledger: it has an
// idempotency key and is not idempotent.
func (r *request) needsClaim() bool { return r.arrival.Key.Text != "" && !r.idempotent }

// DisabledRules selects safety rules of this package to switch off. Only tests set
// it, to verify that their checks detect a violation of each rule.
type DisabledRules struct {
	// RetryUnknownOutcome retries non-idempotent requests that may have been
	// executed.
	RetryUnknownOutcome bool
	// ReportNotExecuted reports failed requests as not executed although they
	// may have been.
	ReportNotExecuted bool
	// NeverExpire keeps requests in the queue beyond their deadline.
	NeverExpire bool
}

// State holds the open requests of this instance, the queues of its services and the
// timers of the requests.
type State struct {
	DisabledRules DisabledRules

	self        model.InstanceID
	incarnation model.Incarnation
	slots       Slots
	ledger      Ledger
	config      *model.Config
	// open holds the requests that have not ended.
	open     map[model.RequestID]*request
	services map[model.ServiceName]*service
	// pendingSlotRequests holds the requests for which a slot was requested from
	// another instance, by the attempt that needs the slot.
	pendingSlotRequests map[model.AttemptID]*request
	// queueDeadlines holds the deadlines of queued requests. A request that is
	// still queued at its deadline is ended.
	queueDeadlines alarm.Queue[model.RequestID]
	hedgeTimers    alarm.Queue[hedgeTimer]
	// shiftTimers holds the times at which requests stop waiting for a slot in
	// the target region of their shift.
	shiftTimers alarm.Queue[model.RequestID]
	// lastSeq is the sequence number of the latest attempt identifier.
	lastSeq uint64
}

// New returns an empty state.
func New(self model.InstanceID, incarnation model.Incarnation, slots Slots, ledger Ledger) *State {
	return &State{
		self:                self,
		incarnation:         incarnation,
		slots:               slots,
		ledger:              ledger,
		open:                map[model.RequestID]*request{},
		services:            map[model.ServiceName]*service{},
		pendingSlotRequests: map[model.AttemptID]*request{},
	}
}

// Configure replaces the configuration. Open requests keep the profile that was
// in force when they arrived.
func (s *State) Configure(c *model.Config) { s.config = c }

// OpenRequests returns the number of open requests.
func (s *State) OpenRequests() int { return len(s.open) }

// Arrive handles a new request: it claims the request's idempotency key if that is
// needed, and otherwise dispatches, queues or refuses the request.
func (s *State) Arrive(at model.Time, ev *event.RequestArrived, out *event.Effects) {
	if s.config == nil {
		out.Add(event.Finish{Request: ev.ID, Code: result.NoConfiguration})
		return
	}
	profile := s.config.ProfileOf(ev.Service)
	if profile == nil {
		out.Add(event.Finish{Request: ev.ID, Code: result.UnknownService})
		return
	}
	timeout := profile.Timeout()
	if ev.Timeout > 0 && ev.Timeout < timeout {
		timeout = ev.Timeout
	}
	r := &request{
		arrival:    *ev,
		profile:    profile,
		deadline:   at.Add(timeout),
		idempotent: isIdempotent(profile, ev.Method),
		queueIndex: -1,
	}
	s.open[ev.ID] = r
	s.service(at, ev.Service).budget.addRequest(at)
	if r.needsClaim() {
		r.phase = awaitingClaim
		s.ledger.Claim(at, &r.arrival, out)
		return
	}
	s.admit(at, r, out)
}

// isIdempotent reports whether a request with the method may be executed more than
// once: the method is GET, HEAD or OPTIONS, or the profile lists it as idempotent.
func isIdempotent(p *model.Profile, method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	for _, m := range p.IdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// ClaimDecided handles the ledger's decision on a claim: it admits the request, or
// ends it with the stored response or the result code of the decision.
func (s *State) ClaimDecided(at model.Time, d ClaimDecision, out *event.Effects) {
	r := s.open[d.Request]
	if r == nil || r.phase != awaitingClaim {
		return
	}
	switch {
	case d.Answer != nil:
		delete(s.open, d.Request)
		out.Add(event.ReplayAnswer{Request: d.Request, Answer: *d.Answer})
	case d.Code != result.Success:
		delete(s.open, d.Request)
		out.Add(event.Finish{Request: d.Request, Code: d.Code})
	case r.canceled:
		s.finish(at, r, result.CanceledByCaller, out)
	default:
		s.admit(at, r, out)
	}
}

// admit dispatches, queues or refuses the request. It is called for new requests,
// for retries, and for requests whose traffic shift did not succeed.
func (s *State) admit(at model.Time, r *request, out *event.Effects) {
	if at >= r.deadline {
		s.finish(at, r, result.DeadlineInQueue, out)
		return
	}
	if r.phase == awaitingClaim && s.tryShift(at, r, out) {
		return
	}
	svc := s.service(at, r.arrival.Service)
	if svc.isLikelyTooLate(at, r) {
		// A request with an idempotency key must not be refused here before the
		// ledger has decided on its claim. An earlier request with the same key may
		// have been executed, and the refusal states that it was not.
		s.finish(at, r, result.DeadlineTooShort, out)
		return
	}
	q := &svc.queue
	if q.Len() == 0 && s.dispatch(at, r, out) {
		return
	}
	if !s.slots.MayServe(at, r.arrival.Service) && r.attemptCount == 0 {
		s.finish(at, r, result.NoUpstream, out)
		return
	}
	if q.Len() >= r.profile.QueueLimit && !s.displaceQueued(at, q, r, out) {
		s.finish(at, r, result.QueueFull, out)
		return
	}
	r.phase = queued
	q.push(r)
	s.queueDeadlines.Add(r.deadline, r.arrival.ID)
	s.requestRemoteSlot(at, r, out)
}

// displaceQueued makes room in a full queue for the new request r. It refuses a
// waiting request of the tenant with the longest queue if that is fairer than
// refusing r, and reports whether it did.
func (s *State) displaceQueued(at model.Time, q *queue, r *request, out *event.Effects) bool {
	other := q.requestToDisplace(r.arrival.Tenant)
	if other == nil {
		return false
	}
	s.leaveQueue(at, other, out)
	s.finish(at, other, result.QueueFull, out)
	return true
}

// dispatch sends an attempt of the request to an upstream that this instance owns
// and that has a free slot. It returns false if there is none.
func (s *State) dispatch(at model.Time, r *request, out *event.Effects) bool {
	id := s.nextAttempt()
	grant, ok := s.slots.Acquire(at, s.slotRequest(r, id), out)
	if !ok {
		return false
	}
	s.withdrawSlotRequest(at, r, out)
	s.send(at, r, id, grant, out)
	return true
}

// nextAttempt returns a new, unique attempt identifier.
func (s *State) nextAttempt() model.AttemptID {
	s.lastSeq++
	return model.AttemptID{Instance: s.self, Incarnation: s.incarnation, Seq: s.lastSeq}
}

// slotRequest returns the slot request for a new attempt of the request.
func (s *State) slotRequest(r *request, id model.AttemptID) SlotRequest {
	return SlotRequest{
		Attempt:  id,
		Service:  r.arrival.Service,
		Deadline: r.deadline,
		Spill:    r.profile.Spill,
		Avoid:    r.lastUpstream,
	}
}

// send dispatches an attempt of the request to the upstream of the granted slot.
func (s *State) send(at model.Time, r *request, id model.AttemptID, grant SlotGrant, out *event.Effects) {
	r.phase = running
	r.attemptCount++
	r.openAttempts = append(r.openAttempts, openAttempt{id: id, upstream: grant.Upstream, sentAt: at})
	r.lastUpstream = grant.Upstream
	switch {
	case len(r.openAttempts) > 1:
		out.Add(event.Count{Counter: event.Hedges, Add: 1})
	case r.attemptCount > 1:
		out.Add(event.Count{Counter: event.Retries, Add: 1})
	}
	s.scheduleHedge(at, r, id)
	if r.attemptCount > 1 && r.mayHaveExecuted && !r.idempotent && !s.DisabledRules.RetryUnknownOutcome {
		out.Add(event.InvariantFailed{Name: "at_most_once", Detail: "a non-idempotent request that may have run was dispatched again"})
	}
	out.Add(event.Dispatch{
		Request:        r.arrival.ID,
		Attempt:        id,
		Upstream:       grant.Upstream,
		Incarnation:    grant.Incarnation,
		Address:        grant.Address,
		Region:         grant.Region,
		Class:          r.profile.WorkClass(),
		Deadline:       r.deadline,
		MaxConnections: grant.MaxConnections,
		StartBy:        grant.StartBy,
	})
}

// DispatchNext dispatches the next waiting request of the service if an upstream
// that this instance owns has a free slot. It reports whether it dispatched one.
// Before that, it refuses the requests that are unlikely to meet their deadline and
// would otherwise be dispatched first.
func (s *State) DispatchNext(at model.Time, service model.ServiceName, out *event.Effects) bool {
	svc := s.services[service]
	if svc == nil {
		return false
	}
	for svc.queue.Len() > 0 {
		r := svc.queue.next(svc.relativeCost)
		if svc.isLikelyTooLate(at, r) {
			s.leaveQueue(at, r, out)
			s.finish(at, r, result.DeadlineTooShort, out)
			continue
		}
		if !s.dispatch(at, r, out) {
			return false
		}
		svc.queue.charge(r, svc.relativeCost(r.arrival.Tenant))
		svc.queue.remove(r)
		return true
	}
	return false
}

// Waiting returns the number of requests in the queue of the service.
func (s *State) Waiting(service model.ServiceName) int {
	if svc := s.services[service]; svc != nil {
		return svc.queue.Len()
	}
	return 0
}

// Wake handles everything that is due: hedges, shifted requests that waited too
// long for a slot, and queued requests whose deadline has passed.
func (s *State) Wake(at model.Time, out *event.Effects) {
	s.sendDueHedges(at, out)
	s.endShiftWaits(at, out)
	for {
		id, ok := s.queueDeadlines.Pop(at)
		if !ok {
			return
		}
		r := s.open[id]
		if r == nil || r.phase != queued || s.DisabledRules.NeverExpire {
			continue
		}
		s.leaveQueue(at, r, out)
		s.finish(at, r, result.DeadlineInQueue, out)
	}
}

// leaveQueue removes a waiting request from its queue and withdraws its pending slot
// request, if any.
func (s *State) leaveQueue(at model.Time, r *request, out *event.Effects) {
	s.services[r.arrival.Service].queue.remove(r)
	s.withdrawSlotRequest(at, r, out)
}

// NextWake returns the earliest time at which Wake must be called, 0 if there is
// none.
func (s *State) NextWake() model.Time {
	next := s.queueDeadlines.Next()
	for _, t := range [...]model.Time{s.hedgeTimers.Next(), s.shiftTimers.Next()} {
		if next == 0 || t != 0 && t < next {
			next = t
		}
	}
	return next
}

// finish ends a request with a result code instead of an upstream's response. A code
// of the class NotRun states that the request was not executed. If an attempt may have
// been executed, finish therefore replaces such a code with UpstreamLost.
func (s *State) finish(at model.Time, r *request, code result.Code, out *event.Effects) {
	delete(s.open, r.arrival.ID)
	if s.DisabledRules.ReportNotExecuted {
		code = result.ConnectionFailed
	}
	notRun := code.Class() == result.NotRun
	if notRun && r.mayHaveExecuted && !s.DisabledRules.ReportNotExecuted {
		code = result.UpstreamLost
		notRun = false
	}
	if notRun && r.needsClaim() {
		s.ledger.Abandon(at, r.arrival.ID, out)
	}
	out.Add(event.Finish{Request: r.arrival.ID, Code: code})
}
