package permit

import (
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// phase is the state of a remotePermit.
type phase uint8

const (
	requested phase = iota
	granted
	// releasing means that this instance has released the permit, or withdrawn the
	// permit request, and that the owner has not acknowledged this yet.
	releasing
)

// remotePermit tracks a permit for an upstream that another instance owns. Either
// this instance requested the permit for an attempt, or this instance granted the
// permit, then handed the upstream over, and now forwards the release to the new
// owner.
type remotePermit struct {
	attempt model.AttemptID
	// owner is the instance that owns the upstream. It receives the request and the
	// release.
	owner model.InstanceID
	phase phase
	// request is the permit request, which is resent until the owner answers. It is
	// empty if this instance only forwards a release.
	request message.PermitRequest
	// deadline is the deadline of the attempt.
	deadline model.Time
	// expiresAt is the time at which the owner has certainly ended the permit by
	// itself, so that the release need not be sent any more.
	expiresAt model.Time
	// observed holds the latency and hold time of the attempt as measured by this
	// instance, and whether the upstream was unreachable. The release carries the
	// observation to the owner.
	observed message.Observation
	// timerDueAt is the time of the next action. In the phases requested and
	// releasing, the unanswered message is then resent. In the phase granted, the
	// permit has then expired and is deleted.
	timerDueAt model.Time
}

// resendTimer is an entry of State.resendTimers. It is obsolete if the timerDueAt
// of the attempt's remotePermit no longer equals dueAt.
type resendTimer struct {
	attempt model.AttemptID
	dueAt   model.Time
}

// RequestPermit requests a permit for an attempt from another instance, which owns
// upstreams of the service.
func (s *State) RequestPermit(at model.Time, owner model.InstanceID, r message.PermitRequest, deadline model.Time, out *event.Effects) {
	rp := &remotePermit{attempt: r.Attempt, owner: owner, phase: requested, request: r, deadline: deadline,
		expiresAt: deadline.Add(DeadlineGrace + resendInterval)}
	s.remotePermits[r.Attempt] = rp
	s.sendRequest(at, rp, out)
}

// sendRequest sends the permit request of rp. SentAt is the present time, and
// Remaining is the time left until the attempt's deadline.
func (s *State) sendRequest(at model.Time, rp *remotePermit, out *event.Effects) {
	m := rp.request
	m.SentAt = at
	m.Remaining = rp.deadline.Sub(at)
	out.Add(event.Send{To: rp.owner, Message: &m})
	s.scheduleResend(at, rp)
}

// sendRelease sends the message that releases the permit or withdraws the permit
// request.
func (s *State) sendRelease(at model.Time, rp *remotePermit, out *event.Effects) {
	out.Add(event.Send{To: rp.owner, Message: &message.PermitRelease{Attempt: rp.attempt, Observed: rp.observed}})
	s.scheduleResend(at, rp)
}

// scheduleResend sets the time at which the message that was just sent is sent
// again if there is no answer.
func (s *State) scheduleResend(at model.Time, rp *remotePermit) {
	rp.timerDueAt = at.Add(resendInterval)
	s.resendTimers.Add(rp.timerDueAt, resendTimer{rp.attempt, rp.timerDueAt})
}

// resendUnanswered resends the requests and releases whose answer is overdue, and
// deletes the remote permits that have expired.
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

// ReceiveGrant handles a grant from the owner of an upstream and reports whether
// the attempt may be dispatched. If the grant arrives too late to be used, or after
// the permit request was withdrawn, the permit is released immediately.
func (s *State) ReceiveGrant(at model.Time, from model.InstanceID, m *message.PermitGrant, out *event.Effects) bool {
	if m.Attempt.Incarnation != s.incarnation {
		// Ignore the grant and do not release the slot: the previous process of
		// this instance may have dispatched the attempt, and the upstream may still
		// be executing it.
		return false
	}
	rp := s.remotePermits[m.Attempt]
	if rp == nil {
		// Release the slot, which is not needed. The permit request was withdrawn
		// and the owner acknowledged the withdrawal. Later a resent copy of the
		// request arrived at the owner, which granted it.
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

// RecordObservation stores what this instance measured for an attempt that holds a
// permit of another instance. The release of the permit carries the observation to
// the owner of the upstream. RecordObservation returns false and stores nothing if
// the attempt holds no such permit.
func (s *State) RecordObservation(attempt model.AttemptID, observed message.Observation) bool {
	rp := s.remotePermits[attempt]
	if rp == nil || rp.phase != granted {
		return false
	}
	rp.observed.Latency = max(rp.observed.Latency, observed.Latency)
	rp.observed.HoldTime = max(rp.observed.HoldTime, observed.HoldTime)
	rp.observed.Unreachable = rp.observed.Unreachable || observed.Unreachable
	if observed.Incarnation != 0 {
		rp.observed.Incarnation, rp.observed.Stated = observed.Incarnation, observed.Stated
	}
	return true
}

// releaseRemote releases a permit that another instance granted, or withdraws the
// request for it. It returns false if there is neither, or if the release was
// already sent.
func (s *State) releaseRemote(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	rp := s.remotePermits[attempt]
	if rp == nil || rp.phase == releasing {
		return false
	}
	rp.phase = releasing
	s.sendRelease(at, rp, out)
	return true
}

// ReceiveRefusal handles the refusal of a permit request. It returns false if the
// request is not waiting for an answer of that instance.
func (s *State) ReceiveRefusal(from model.InstanceID, m *message.PermitRefusal) bool {
	rp := s.remotePermits[m.Attempt]
	if rp == nil || rp.phase != requested || rp.owner != from {
		return false
	}
	delete(s.remotePermits, m.Attempt)
	for _, offer := range s.peerOffers[rp.request.Service] {
		if offer.Instance == from {
			// The offer was out of date, because the instance refused a request.
			// Treat the offer as empty until the next Availability message replaces
			// it.
			offer.Free, offer.FreeCrossRegion, offer.Slots = 0, 0, 0
		}
	}
	return true
}

// ReceiveReleaseAck handles the acknowledgement of a release, which is then no
// longer resent.
func (s *State) ReceiveReleaseAck(from model.InstanceID, m *message.PermitReleaseAck) {
	if rp := s.remotePermits[m.Attempt]; rp != nil && rp.phase == releasing && rp.owner == from {
		delete(s.remotePermits, m.Attempt)
	}
}

// RequestedOwner returns the instance that has not yet answered the permit request
// of the attempt, "" if the attempt has no unanswered request.
func (s *State) RequestedOwner(attempt model.AttemptID) model.InstanceID {
	if rp := s.remotePermits[attempt]; rp != nil && rp.phase == requested {
		return rp.owner
	}
	return ""
}

// PendingRequests returns the attempts whose permit request the given instance has
// not answered yet, ordered by attempt identifier.
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
