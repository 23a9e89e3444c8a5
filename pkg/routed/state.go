package routed

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// responseMargin is how long before the caller's deadline a request without a
	// response is ended, so that the rejection reaches the caller in time.
	responseMargin = 15 * time.Millisecond
	// minAttemptTime is the least remaining time of a request that may be sent to
	// an upstream.
	minAttemptTime = 30 * time.Millisecond
	// stopTimeFactor multiplies the expected response time of a request that is sent
	// while the process stops. It must end before the process does, since a request
	// that may not be repeated must not be cut.
	stopTimeFactor = 2
	// defaultTimeout is the timeout of requests for routes that have none.
	defaultTimeout = 30 * time.Second
	// minRetryAfter is the fixed part of the delay after which a rejected caller
	// should retry. Upstreams are expected to have free slots by then, as running
	// work completes. minRetryJitter is the least range of the random part of the
	// delay, which prevents callers from retrying at the same time.
	minRetryAfter  = 150 * time.Millisecond
	minRetryJitter = 350 * time.Millisecond
	// maxRetryAfter bounds the delay that follows from a pause of an upstream.
	maxRetryAfter = 30 * time.Second
	// maxBufferLimit is the largest buffer limit of a response, in bytes. While a
	// response is buffered, the caller has received nothing of it. If the response
	// then fails, the request can still be retried, or its outcome can be
	// reported.
	maxBufferLimit = 1 << 20
	// bufferTransferTime bounds the buffer limit at low bandwidths: a response
	// that takes longer to transfer at the network bandwidth of this instance is
	// streamed. A streamed response reaches the caller in half the time, since its
	// transfer to the caller starts before it is received completely.
	bufferTransferTime = 20 * time.Millisecond
	// minBufferLimit is the smallest buffer limit of a response, in bytes. It
	// applies at the lowest bandwidths.
	minBufferLimit = 16 << 10
)

// BufferLimit returns the buffer limit of a response in bytes.
// networkBytesPerSecond is the network bandwidth of the instance, 0 if it is
// not known.
func BufferLimit(networkBytesPerSecond int64) int {
	if networkBytesPerSecond <= 0 {
		return maxBufferLimit
	}
	return int(max(minBufferLimit, min(maxBufferLimit, float64(networkBytesPerSecond)*bufferTransferTime.Seconds())))
}

// Random supplies random numbers. They vary the delays after which rejected
// callers retry, and the service that receives the first request of a route.
type Random interface {
	Int64N(n int64) int64
	Float64() float64
}

// request is the state of one routed request. It is kept until the request has
// ended and no send is in progress.
type request struct {
	id          model.RequestID
	label       string
	route       catalog.NamedRoute
	service     model.ServiceName
	affinityKey string
	deadline    model.Time
	arrivedAt   model.Time
	attempts    int
	tried       []model.UpstreamID
	// mayHaveExecuted is true once a send has ended without proof that the
	// upstream did not execute the request.
	mayHaveExecuted bool
	replayable      bool
	sendInProgress  bool
	// choice is the upstream selected last, with the estimates for it.
	choice balance.Choice
	// deadlineReached is true if the deadline was reached during a send.
	deadlineReached bool
	// callerLeft is true if the caller disconnected during a send.
	callerLeft bool
	// ended is true once the caller has received a response.
	ended bool
}

// State is the sub-reducer of routed requests.
type State struct {
	balance      *balance.State
	budgetLimits RetryBudgetLimits
	random       Random
	// bufferLimit is the number of bytes up to which a response is buffered until
	// it is complete. A longer response is streamed.
	bufferLimit int
	requests    map[model.RequestID]*request
	budgets     map[model.ServiceName]*retryBudget
	splitters   map[string]*splitter
	alarms      alarm.Queue[model.RequestID]
	// stopAt is when this process stops, 0 if no stop was requested.
	stopAt model.Time
	// OpenRequests is the number of requests that have not ended.
	OpenRequests int
}

// New returns the sub-reducer. networkBytesPerSecond is the network bandwidth of
// the instance, 0 if it is not known.
func New(b *balance.State, limits RetryBudgetLimits, random Random, networkBytesPerSecond int64) *State {
	return &State{
		balance:      b,
		budgetLimits: limits,
		random:       random,
		bufferLimit:  BufferLimit(networkBytesPerSecond),
		requests:     map[model.RequestID]*request{},
		budgets:      map[model.ServiceName]*retryBudget{},
		splitters:    map[string]*splitter{},
	}
}

// Arrive accepts a new request and sends it, or rejects it if no route matches.
func (s *State) Arrive(at model.Time, ev *event.RoutedArrived, table *catalog.Table, out *event.Effects) {
	if table == nil {
		out.Add(event.Reject{Request: ev.ID, Code: result.NoConfiguration, RetryAfter: s.retryAfter(0)})
		return
	}
	route, ok := table.Route(ev.Host, ev.Path)
	if !ok {
		out.Add(event.Reject{Request: ev.ID, Code: result.NotFound})
		return
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if ev.Timeout > 0 {
		timeout = min(timeout, ev.Timeout)
	}
	r := &request{
		id: ev.ID, label: ev.Label, route: route, service: s.splitter(&route).next(route.Splits), arrivedAt: at,
		deadline: at.Add(timeout - responseMargin), replayable: ev.Replayable,
	}
	if route.UsesAffinity {
		r.affinityKey = ev.AffinityKey
	}
	s.requests[r.id] = r
	s.OpenRequests++
	s.budget(r.service).countRequest(at, s.budgetLimits.Window)
	s.alarms.Add(r.deadline, r.id)
	s.send(at, r, result.NoUpstream, out)
}

// budget returns the retry budget of a service and creates it if needed.
func (s *State) budget(name model.ServiceName) *retryBudget {
	b := s.budgets[name]
	if b == nil {
		b = &retryBudget{}
		s.budgets[name] = b
	}
	return b
}

// retryAfter returns the delay after which a rejected caller should retry. The
// random part ranges over the expected response time, since the work that
// occupies the upstreams completes over that time.
func (s *State) retryAfter(expected model.Duration) model.Duration {
	return minRetryAfter + model.Duration(s.random.Int64N(int64(max(minRetryJitter, expected))))
}

// send selects an upstream and forwards the request to it. If no upstream can
// serve the request in time, the request is rejected with the result code
// fallback, DeadlineTooShort or QueueFull. If an earlier attempt may have been executed,
// the request ends with an unknown outcome instead.
func (s *State) send(at model.Time, r *request, fallback result.Code, out *event.Effects) {
	s.limitToStop(r)
	remaining := r.deadline.Sub(at)
	choice, ok := s.balance.Choose(at, s.query(at, r))
	r.choice = choice
	if ok && !r.mayHaveExecuted && balance.WillMissDeadline(choice.ResponseTime, choice.QueueTime, choice.MeanWorkTime, remaining) {
		ok, fallback = false, result.DeadlineTooShort
	}
	if ok && !r.mayHaveExecuted && s.stopAt != 0 && stopTimeFactor*choice.ResponseTime > s.stopAt.Sub(at) {
		ok, fallback = false, result.Stopping
	}
	if ok && !r.mayHaveExecuted && balance.QueueTooLong(choice.ResponseTime, choice.QueueTime, r.route.Objective) {
		ok, fallback = false, result.QueueFull
	}
	if !ok || remaining < minAttemptTime {
		s.rejectWithRetryAfter(at, r, fallback, out)
		return
	}
	r.attempts++
	r.tried = append(r.tried, choice.ID)
	r.sendInProgress = true
	s.balance.Sent(at, &choice)
	out.Add(event.Forward{
		Request: r.id, Attempt: r.attempts, Upstream: choice.ID, UpstreamStartMs: choice.StartMs, Address: choice.Address,
		Deadline: r.deadline, Timeout: remaining, MaxConnections: choice.MaxConnections, MaxIdleTime: choice.MaxIdleTime, BufferLimit: s.bufferLimit,
	})
}

// StopAt tells that this process stops at the given time. Requests that are sent
// until then get it as their deadline, so that the upstream ends them in time.
func (s *State) StopAt(at model.Time) { s.stopAt = at }

// limitToStop moves the deadline of a request to the time when this process stops
// if that is earlier.
func (s *State) limitToStop(r *request) {
	if s.stopAt != 0 && s.stopAt < r.deadline {
		r.deadline = s.stopAt
		s.alarms.Add(r.deadline, r.id)
	}
}

// EndAll ends all open requests as if their deadlines had been reached.
func (s *State) EndAll(at model.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		s.endAtDeadline(at, id, out)
	}
}

// rejectWithRetryAfter ends a request for which no upstream returned a
// response. If the request may have been executed, its outcome is unknown: the
// code is replaced by UpstreamLost. Otherwise the rejection states when to
// retry.
func (s *State) rejectWithRetryAfter(at model.Time, r *request, code result.Code, out *event.Effects) {
	var retryAfter model.Duration
	if r.mayHaveExecuted {
		code = result.UpstreamLost
	} else {
		retryAfter = max(s.roomIn(at, r), s.retryAfter(r.choice.ResponseTime)+balance.ExcessQueueTime(r.choice.QueueTime, r.route.Objective))
	}
	s.reject(at, r, code, retryAfter, out)
}

// roomIn returns how long it takes until an upstream may receive the request, as
// far as the upstreams have stated it. A random part keeps callers that wait for
// the same upstream from returning together.
func (s *State) roomIn(at model.Time, r *request) model.Duration {
	wait := min(maxRetryAfter, s.balance.RoomAt(at, s.query(at, r)).Sub(at))
	if wait <= 0 {
		return 0
	}
	return wait + model.Duration(s.random.Int64N(int64(minRetryJitter)))
}

// query returns the query for an upstream for the request.
func (s *State) query(at model.Time, r *request) *balance.Query {
	return &balance.Query{
		Service: r.service, AffinityKey: r.affinityKey, Objective: r.route.Objective, Remaining: r.deadline.Sub(at), Download: r.route.Kind == model.Download,
		HomeRegions: r.route.HomeRegions, Tried: r.tried}
}

// reject ends a request with an error response of this instance. retryAfter is
// the delay after which the caller should retry, 0 if none is advised.
func (s *State) reject(at model.Time, r *request, code result.Code, retryAfter model.Duration, out *event.Effects) {
	constraints := s.balance.Constraints(at, r.service)
	out.Add(event.Reject{Request: r.id, Code: code, RetryAfter: retryAfter})
	out.Add(event.Log{Code: logevent.RequestRejected, Fields: []logevent.Field{
		logevent.F("request", r.label), logevent.F("number", r.id), logevent.F("route", r.route.Name), logevent.F("version", r.route.Version),
		logevent.F("service", r.service), logevent.F("code", int(code)), logevent.F("attempts", r.attempts),
		logevent.F("tried", r.tried), logevent.F("ms", at.Sub(r.arrivedAt).Milliseconds()),
		logevent.F("left_ms", r.deadline.Sub(at).Milliseconds()), logevent.F("upstream", r.choice.ID),
		logevent.F("expected_ms", r.choice.ResponseTime.Milliseconds()), logevent.F("load", math.Round(r.choice.Load)),
		logevent.F("report_age_ms", r.choice.ReportAge.Milliseconds()), logevent.F("advice_ms", retryAfter.Milliseconds()),
		logevent.F("paused", constraints.Paused), logevent.F("limited", constraints.Limited)}})
	s.closeRequest(r)
}

// closeRequest marks a request as ended. Its state is deleted once no send is
// in progress.
func (s *State) closeRequest(r *request) {
	if !r.ended {
		r.ended = true
		s.OpenRequests--
	}
	if !r.sendInProgress {
		delete(s.requests, r.id)
	}
}

// Canceled ends a request whose caller has disconnected. If a send is in progress, it is
// canceled; it then ends with an outcome that states whether the request may have been
// executed. A caller that has only ended its sending side still reads the response.
func (s *State) Canceled(id model.RequestID, out *event.Effects) {
	r := s.requests[id]
	if r == nil || r.ended || r.callerLeft {
		return
	}
	r.callerLeft = true
	if r.sendInProgress {
		out.Add(event.CancelSend{Request: id})
		return
	}
	s.endCanceled(r, out)
}

// endCanceled ends a request whose caller has disconnected and that got no response.
func (s *State) endCanceled(r *request, out *event.Effects) {
	code := result.CanceledByCaller
	if r.mayHaveExecuted {
		code = result.CanceledAfterDispatch
	}
	out.Add(event.Reject{Request: r.id, Code: code})
	s.closeRequest(r)
}

// Ended handles the end of a send: the response is delivered, or the request is
// retried or rejected.
func (s *State) Ended(at model.Time, ev *event.SendEnded, out *event.Effects) {
	r := s.requests[ev.Request]
	end := balance.End{Result: sendResult(r, ev), ResponseTime: ev.ResponseTime, ConnectTime: ev.ConnectTime, IdleTime: ev.IdleTime, Load: ev.Load, ColdRemaining: ev.ColdRemaining,
		Responded: ev.Responded, Statement: ev.Statement, StartMs: ev.UpstreamStartMs}
	if r != nil {
		end.Cached, end.QueueTime = r.choice.Cached, r.choice.QueueTime
	}
	s.balance.Ended(at, ev.Upstream, &end)
	if r == nil {
		return
	}
	r.sendInProgress = false
	if r.ended {
		s.closeRequest(r)
		return
	}
	switch ev.Outcome {
	case event.SendAnswered, event.SendStreamed:
		out.Add(event.Deliver{Request: r.id})
		s.closeRequest(r)
		return
	case event.SendLost, event.SendCanceled:
		r.mayHaveExecuted = true
	}
	if r.callerLeft {
		s.endCanceled(r, out)
		return
	}
	if r.deadlineReached {
		s.expire(at, r, out)
		return
	}
	if !s.mayRetry(at, r, ev) {
		s.rejectWithRetryAfter(at, r, rejectionCode(ev.Outcome), out)
		return
	}
	out.Add(event.Log{Code: logevent.RequestRepeated, Fields: []logevent.Field{
		logevent.F("request", r.label), logevent.F("number", r.id), logevent.F("upstream", ev.Upstream),
		logevent.F("outcome", ev.Outcome.String()), logevent.F("attempt", ev.Attempt)}})
	out.Add(event.Count{Counter: event.Retries, Add: 1})
	s.send(at, r, rejectionCode(ev.Outcome), out)
}

// sendResult converts the outcome of a send to a balance.Result.
func sendResult(r *request, ev *event.SendEnded) balance.Result {
	if r != nil && r.deadlineReached && ev.Outcome == event.SendCanceled {
		return balance.TimedOut
	}
	if ev.Truncated {
		return balance.Failed
	}
	switch ev.Outcome {
	case event.SendAnswered, event.SendStreamed:
		return balance.Answered
	case event.SendNotExecuted:
		return balance.Refused
	case event.SendMisdirected:
		return balance.Misdirected
	case event.SendCanceled:
		return balance.Abandoned
	}
	return balance.Failed
}

// rejectionCode returns the result code of a request that is rejected after a
// send with the given outcome.
func rejectionCode(o event.SendOutcome) result.Code {
	switch o {
	case event.SendConnectFailed:
		return result.ConnectionFailed
	case event.SendNotExecuted, event.SendMisdirected:
		return result.RefusedByUpstream
	}
	return result.UpstreamLost
}

// mayRetry reports whether a request may be sent to another upstream.
func (s *State) mayRetry(at model.Time, r *request, ev *event.SendEnded) bool {
	switch {
	case r.mayHaveExecuted && r.route.Kind == model.NonIdempotent:
		return false
	case !r.replayable && ev.Outcome != event.SendConnectFailed:
		return false
	case r.attempts >= r.route.MaxAttempts || r.deadline.Sub(at) < minAttemptTime:
		return false
	case ev.Outcome == event.SendConnectFailed:
		// The upstream received nothing, so the next send does not count as a retry.
		return true
	}
	return s.budget(r.service).tryRetry(at, s.budgetLimits, s.balance.EntryInstances)
}

// NextWake returns the time of the earliest deadline, at which Wake must be
// called.
func (s *State) NextWake() model.Time { return s.alarms.Next() }

// Wake ends the requests whose deadline has been reached.
func (s *State) Wake(at model.Time, out *event.Effects) {
	for {
		id, ok := s.alarms.Pop(at)
		if !ok {
			return
		}
		s.endAtDeadline(at, id, out)
	}
}

// endAtDeadline ends a request that is open. If a send is in progress, it is
// canceled; it then ends with an outcome that states whether the request may have
// been executed.
func (s *State) endAtDeadline(at model.Time, id model.RequestID, out *event.Effects) {
	r := s.requests[id]
	if r == nil || r.ended || r.callerLeft {
		return
	}
	r.deadlineReached = true
	if r.sendInProgress {
		out.Add(event.CancelSend{Request: id})
		return
	}
	s.expire(at, r, out)
}

// expire ends a request whose deadline has been reached without a response.
func (s *State) expire(at model.Time, r *request, out *event.Effects) {
	code := result.DeadlineInQueue
	if r.mayHaveExecuted {
		code = result.DeadlineAfterDispatch
	}
	s.reject(at, r, code, 0, out)
}
