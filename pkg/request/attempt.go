package request

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Answered handles the response headers of an attempt. The response of the first
// attempt with response headers is relayed to the caller; the other attempts of
// the request are canceled.
func (s *State) Answered(at model.Time, ev *event.AttemptAnswered, out *event.Effects) {
	s.observeStatement(at, ev.Attempt, &ev.Stated)
	r := s.open[ev.Request]
	if r == nil || !r.isOpenAttempt(ev.Attempt) || r.relayedAttempt.Seq != 0 {
		out.Add(event.Count{Counter: event.UnmatchedAttemptEvents, Add: 1})
		return
	}
	r.relayedAttempt = ev.Attempt
	r.mayHaveExecuted = true
	s.withdrawSlotRequest(at, r, out)
	relay := event.Relay{Request: ev.Request, Attempt: ev.Attempt, Deadline: r.deadline.Add(relayGraceTime)}
	for i := range r.openAttempts {
		if a := &r.openAttempts[i]; a.id == ev.Attempt {
			a.headersAt = at
			if s.bodyMayMissDeadline(at, r, a) {
				relay.BufferLimit = maxBufferedBodyBytes
			}
		}
	}
	out.Add(relay)
	for _, a := range r.openAttempts {
		if a.id != ev.Attempt {
			out.Add(event.CancelAttempt{Request: ev.Request, Attempt: a.id})
			continue
		}
		s.service(at, r.arrival.Service).headerTimes.add(at.Sub(a.sentAt))
		s.slots.Observe(at, a.id, message.Observation{Latency: at.Sub(a.sentAt)})
	}
}

const (
	// relayGraceTime is how long after the deadline the rest of a response is
	// still accepted once the response has begun. It is less than
	// permit.DeadlineGrace, the 250 ms for which the slot is kept after the
	// deadline, so that the response ends before its slot is granted again.
	relayGraceTime = 200 * time.Millisecond
	// maxBufferedBodyBytes is the buffer limit for a response that may miss its
	// deadline and is therefore buffered (see bodyMayMissDeadline).
	maxBufferedBodyBytes = 1 << 20
	// bodyTimeFactor is a safety margin: a response is buffered if the time
	// remaining until its deadline is less than this multiple of the expected
	// transfer time of its body.
	bodyTimeFactor = 2
)

// bodyMayMissDeadline reports whether the body of a response may be incomplete at
// the deadline, so that the response must be buffered. It is called when the
// headers arrive. Before dispatch, isLikelyTooLate estimates whether the whole
// request may miss the deadline.
//
// The expected transfer time of the body is the p99 of the transfer times that this
// instance measured for the service. If the time to the headers of this attempt was
// longer than the p99, the time to the headers is used instead: an upstream that is
// slow to send the headers is also slow to send the body.
func (s *State) bodyMayMissDeadline(at model.Time, r *request, a *openAttempt) bool {
	expected := max(at.Sub(a.sentAt), s.service(at, r.arrival.Service).bodyTimes.p99)
	return at.Add(bodyTimeFactor*expected) > r.deadline
}

// Ended handles the end of an attempt. It releases the attempt's slot only if the
// result proves that the slot is free. Otherwise the attempt is canceled at the
// upstream unless it has been canceled before, and the slot is kept until the
// upstream confirms the cancellation or the permit for the slot expires.
func (s *State) Ended(at model.Time, ev *event.AttemptEnded, out *event.Effects) {
	s.observeEnd(at, ev)
	if isSlotFree(ev.Result) {
		s.slots.Release(at, ev.Attempt, out)
	} else if ev.Result != event.Canceled {
		out.Add(event.CancelAttempt{Request: ev.Request, Attempt: ev.Attempt})
	}
	r := s.open[ev.Request]
	if r == nil {
		out.Add(event.Count{Counter: event.UnmatchedAttemptEvents, Add: 1})
		return
	}
	a, ok := r.removeAttempt(ev.Attempt)
	if !ok {
		out.Add(event.Count{Counter: event.UnmatchedAttemptEvents, Add: 1})
		return
	}
	if ev.Result == event.Completed {
		svc := s.service(at, r.arrival.Service)
		svc.observeHoldTime(r.arrival.Tenant, at.Sub(a.sentAt))
		if a.headersAt != 0 {
			svc.bodyTimes.add(at.Sub(a.headersAt))
		}
	}
	if r.relayedAttempt == ev.Attempt {
		s.endRelayedRequest(at, r, ev, out)
		return
	}
	if r.relayedAttempt.Seq != 0 {
		return
	}
	s.retryOrFinish(at, r, ev.Result, out)
}

// observeEnd reports what the end of an attempt shows about the upstream: after a
// failed connection, that the upstream is unreachable, and after a completed
// response, how long the attempt held its slot. Other ends are not reported.
func (s *State) observeEnd(at model.Time, ev *event.AttemptEnded) {
	s.observeStatement(at, ev.Attempt, &ev.Stated)
	switch ev.Result {
	case event.ConnectFailed:
		s.slots.Observe(at, ev.Attempt, message.Observation{Unreachable: true})
	case event.Completed:
		r := s.open[ev.Request]
		if r == nil {
			return
		}
		for _, a := range r.openAttempts {
			if a.id == ev.Attempt {
				s.slots.Observe(at, a.id, message.Observation{HoldTime: at.Sub(a.sentAt)})
			}
		}
	}
}

// observeStatement reports what the upstream of an attempt has stated about itself,
// also if nobody waits for its response any more.
func (s *State) observeStatement(at model.Time, attempt model.AttemptID, stated *event.UpstreamStatement) {
	if stated.Incarnation != 0 {
		s.slots.Observe(at, attempt, message.Observation{Incarnation: stated.Incarnation, Stated: stated.Statement})
	}
}

// isSlotFree reports whether the result of an attempt proves that its slot at the
// upstream is free.
func isSlotFree(res event.AttemptResult) bool {
	switch res {
	case event.Completed, event.ConnectFailed, event.RefusedBeforeExecution:
		return true
	}
	return false
}

// endRelayedRequest ends a request after the attempt whose response is relayed to
// the caller has ended. If the response is truncated and may be resumed, the
// request stays open and gets another attempt.
func (s *State) endRelayedRequest(at model.Time, r *request, ev *event.AttemptEnded, out *event.Effects) {
	if ev.Result == event.Truncated {
		if s.mayResume(at, r, ev) {
			r.relayedAttempt = model.AttemptID{}
			s.admit(at, r, out)
			return
		}
		code := result.UpstreamLost
		if at >= r.deadline {
			code = result.DeadlineAfterDispatch
		}
		out.Add(event.Finish{Request: r.arrival.ID, Code: code})
	}
	delete(s.open, r.arrival.ID)
	if r.needsClaim() {
		s.ledger.Record(at, r.arrival.ID, ev.Answer, out)
	}
}

// mayResume reports whether another attempt may fetch the missing part of a
// truncated response. If so, it takes a token from the retry budget. If nothing was
// relayed, the missing part is the whole response. Otherwise the missing part is
// the rest of the response, and the upstream must support range requests.
func (s *State) mayResume(at model.Time, r *request, ev *event.AttemptEnded) bool {
	return r.idempotent && (ev.RelayedBytes == 0 || ev.Resumable) && at < r.deadline &&
		s.mayRetry(r, result.UpstreamLost) && s.service(at, r.arrival.Service).budget.spend(at)
}

// retryOrFinish handles a failed attempt: it retries the request if the profile
// and the retry budget allow that, and ends it otherwise.
func (s *State) retryOrFinish(at model.Time, r *request, res event.AttemptResult, out *event.Effects) {
	code := failureCode(res)
	if code.Class() != result.NotRun {
		r.mayHaveExecuted = true
	}
	if len(r.openAttempts) > 0 {
		return
	}
	s.withdrawSlotRequest(at, r, out)
	if at < r.deadline && s.mayRetry(r, code) && s.service(at, r.arrival.Service).budget.spend(at) {
		s.admit(at, r, out)
		return
	}
	s.finish(at, r, code, out)
}

// mayRetry reports whether the profile allows another attempt after the last one
// failed with the result code. It does not check the retry budget.
func (s *State) mayRetry(r *request, code result.Code) bool {
	if r.canceled || !r.arrival.Replayable || r.attemptCount >= r.profile.MaxAttempts {
		return false
	}
	if s.DisabledRules.RetryUnknownOutcome {
		return true
	}
	switch r.profile.Repeat {
	case model.RetryNever:
		return false
	case model.RetryIfNotRun:
		return code.Class() == result.NotRun && !r.mayHaveExecuted
	}
	return r.idempotent || !r.mayHaveExecuted
}

// failureCode returns the result code for a request whose only attempt failed with
// the given result.
func failureCode(res event.AttemptResult) result.Code {
	switch res {
	case event.ConnectFailed:
		return result.ConnectionFailed
	case event.RefusedBeforeExecution:
		return result.RefusedByUpstream
	case event.TimedOut:
		return result.DeadlineAfterDispatch
	}
	return result.UpstreamLost
}

// CancelConfirmed handles the result of a cancellation at an upstream. It releases
// the attempt's slot unless the result is unknown.
func (s *State) CancelConfirmed(at model.Time, ev *event.CancelConfirmed, out *event.Effects) {
	if ev.State == event.CancelUnknown {
		return
	}
	if !s.slots.Release(at, ev.Attempt, out) {
		out.Add(event.Count{Counter: event.UnmatchedAttemptEvents, Add: 1})
	}
}

// Canceled handles the disconnect of a caller. A request that waits for a slot is
// ended. The attempts of a running request are canceled only if the request is
// idempotent. A running request that is not idempotent is allowed to complete, so
// that its outcome can be recorded.
func (s *State) Canceled(at model.Time, id model.RequestID, out *event.Effects) {
	r := s.open[id]
	if r == nil {
		return
	}
	r.canceled = true
	switch r.phase {
	case awaitingShift:
		s.withdrawSlotRequest(at, r, out)
		s.finish(at, r, result.CanceledByCaller, out)
	case queued:
		s.leaveQueue(at, r, out)
		s.finish(at, r, result.CanceledByCaller, out)
	case running:
		if !r.idempotent {
			return
		}
		for _, a := range r.openAttempts {
			out.Add(event.CancelAttempt{Request: id, Attempt: a.id})
		}
	}
}

// isOpenAttempt reports whether the attempt belongs to the request and has not
// ended.
func (r *request) isOpenAttempt(id model.AttemptID) bool {
	for _, a := range r.openAttempts {
		if a.id == id {
			return true
		}
	}
	return false
}

// removeAttempt removes an attempt from the request's open attempts and returns it.
// It returns false if the attempt is not one of the open attempts.
func (r *request) removeAttempt(id model.AttemptID) (openAttempt, bool) {
	for i, a := range r.openAttempts {
		if a.id == id {
			r.openAttempts = append(r.openAttempts[:i], r.openAttempts[i+1:]...)
			return a, true
		}
	}
	return openAttempt{}, false
}
