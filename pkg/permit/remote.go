package permit

import (
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// phase is the state of a permit that this instance requested from another.
type phase uint8

const (
	requested phase = iota
	granted
	// releasing permits wait for the acknowledgement of their release.
	releasing
)

// remotePermit is a permit that this instance requested from another instance,
// or whose release it forwards to a new owner.
type remotePermit struct {
	attempt model.AttemptID
	owner   model.InstanceID
	phase   phase
	request message.PermitRequest
	// deadline is the deadline of the attempt.
	deadline model.Time
	// expiresAt is when the owner has ended the permit even without a release.
	expiresAt model.Time
	// observed is reported to the owner with the release.
	observed message.Observation
	// timerDueAt is when the last message is sent again or, once the permit is
	// granted, when the entry is dropped.
	timerDueAt model.Time
}

// resendTimer is one alarm of a remote permit. It is obsolete if its time is
// not the permit's timerDueAt any more.
type resendTimer struct {
	attempt model.AttemptID
	dueAt   model.Time
}

// RequestPermit requests a permit for an attempt from the owner of upstreams.
func (s *State) RequestPermit(at model.Time, owner model.InstanceID, r message.PermitRequest, deadline model.Time, out *event.Effects) {
	rp := &remotePermit{attempt: r.Attempt, owner: owner, phase: requested, request: r, deadline: deadline,
		expiresAt: deadline.Add(DeadlineGrace + resendInterval)}
	s.remotePermits[r.Attempt] = rp
	s.sendRequest(at, rp, out)
}

// sendRequest sends the permit request with the present time and remaining
// time.
func (s *State) sendRequest(at model.Time, rp *remotePermit, out *event.Effects) {
	m := rp.request
	m.SentAt = at
	m.Remaining = rp.deadline.Sub(at)
	out.Add(event.Send{To: rp.owner, Message: &m})
	s.scheduleResend(at, rp)
}

// sendRelease sends the release of the permit, or the withdrawal of its
// request.
func (s *State) sendRelease(at model.Time, rp *remotePermit, out *event.Effects) {
	out.Add(event.Send{To: rp.owner, Message: &message.PermitRelease{Attempt: rp.attempt, Observed: rp.observed}})
	s.scheduleResend(at, rp)
}

// scheduleResend sets the timer for an unanswered message.
func (s *State) scheduleResend(at model.Time, rp *remotePermit) {
	rp.timerDueAt = at.Add(resendInterval)
	s.resendTimers.Add(rp.timerDueAt, resendTimer{rp.attempt, rp.timerDueAt})
}

// resendUnanswered sends the requests and releases again that were not answered
// in time, and drops the permits that have expired.
func (s *State) resendUnanswered(at model.Time, out *event.Effects) {
	for {
		r, ok := s.resendTimers.Pop(at)
		if !ok {
			return
		}
		rp := s.remotePermits[r.attempt]
		if rp == nil || rp.timerDueAt != r.dueAt {
			continue
		}
		switch {
		case rp.phase == requested && at < rp.deadline:
			s.sendRequest(at, rp, out)
		case rp.phase == releasing && at < rp.expiresAt:
			s.sendRelease(at, rp, out)
		default:
			delete(s.remotePermits, r.attempt)
		}
	}
}

// ReceiveGrant handles a grant. It reports whether the attempt may be
// dispatched. A grant that arrives too late, or after its request was
// withdrawn, is released immediately.
func (s *State) ReceiveGrant(at model.Time, from model.InstanceID, m *message.PermitGrant, out *event.Effects) bool {
	if m.Attempt.Incarnation != s.incarnation {
		// The previous process of this instance may have dispatched an attempt
		// with the permit, and the upstream may still be executing it.
		return false
	}
	rp := s.remotePermits[m.Attempt]
	if rp == nil {
		// The request was withdrawn and the withdrawal acknowledged, but a
		// resent copy of the request arrived later and was granted.
		rp = &remotePermit{attempt: m.Attempt, owner: from, phase: releasing, expiresAt: at.Add(model.MaxTimeout)}
		s.remotePermits[m.Attempt] = rp
		s.sendRelease(at, rp, out)
		return false
	}
	if rp.phase != requested || rp.owner != from {
		return false
	}
	valid := at < m.SentAt.Add(m.QueueTime+Validity) || s.DisabledRules.NoValidity
	if !valid || at >= rp.deadline {
		s.releaseRemote(at, m.Attempt, out)
		return false
	}
	rp.phase = granted
	rp.timerDueAt = rp.expiresAt
	s.resendTimers.Add(rp.timerDueAt, resendTimer{rp.attempt, rp.timerDueAt})
	return true
}

// RecordObservation stores an observation of an attempt, which is sent to the
// owner of the upstream with the release. It reports whether another instance
// granted the permit.
func (s *State) RecordObservation(attempt model.AttemptID, observed message.Observation) bool {
	rp := s.remotePermits[attempt]
	if rp == nil || rp.phase != granted {
		return false
	}
	rp.observed.Latency = max(rp.observed.Latency, observed.Latency)
	rp.observed.HoldTime = max(rp.observed.HoldTime, observed.HoldTime)
	rp.observed.Unreachable = rp.observed.Unreachable || observed.Unreachable
	return true
}

// releaseRemote releases a permit that another instance granted, or withdraws
// the request for it. It reports whether there was one to release.
func (s *State) releaseRemote(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	rp := s.remotePermits[attempt]
	if rp == nil || rp.phase == releasing {
		return false
	}
	rp.phase = releasing
	s.sendRelease(at, rp, out)
	return true
}

// ReceiveRefusal handles a refusal. It reports whether the request was still
// waiting for an answer.
func (s *State) ReceiveRefusal(from model.InstanceID, m *message.PermitRefusal) bool {
	rp := s.remotePermits[m.Attempt]
	if rp == nil || rp.phase != requested || rp.owner != from {
		return false
	}
	delete(s.remotePermits, m.Attempt)
	for _, offer := range s.peerOffers[rp.request.Service] {
		if offer.Instance == from {
			// The offer was out of date. The next Availability message
			// replaces it.
			offer.Free, offer.FreeCrossRegion, offer.Slots = 0, 0, 0
		}
	}
	return true
}

// ReceiveReleaseAck handles the acknowledgement of a release.
func (s *State) ReceiveReleaseAck(from model.InstanceID, m *message.PermitReleaseAck) {
	if rp := s.remotePermits[m.Attempt]; rp != nil && rp.phase == releasing && rp.owner == from {
		delete(s.remotePermits, m.Attempt)
	}
}

// RequestedOwner returns the instance whose answer to a permit request the
// attempt waits for, "" if there is none.
func (s *State) RequestedOwner(attempt model.AttemptID) model.InstanceID {
	if rp := s.remotePermits[attempt]; rp != nil && rp.phase == requested {
		return rp.owner
	}
	return ""
}

// PendingRequests returns the attempts that wait for another instance to answer
// their permit request, in order.
func (s *State) PendingRequests(id model.InstanceID) []model.AttemptID {
	var list []model.AttemptID
	for attempt, rp := range s.remotePermits {
		if rp.owner == id && rp.phase == requested {
			list = append(list, attempt)
		}
	}
	sort.Slice(list, func(i, j int) bool { return lessAttempt(list[i], list[j]) })
	return list
}
