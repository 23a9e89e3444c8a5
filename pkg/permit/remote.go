package permit

import (
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// phase is the stage of a permit of another instance.
type phase uint8

const (
	requested phase = iota
	granted
	releasing
)

// held is a permit that this instance asked of another.
type remotePermit struct {
	attempt model.AttemptID
	owner   model.InstanceID
	phase   phase
	request message.PermitRequest
	// deadline of the request.
	deadline model.Time
	// expires is when the owner has surely ended the permit itself.
	expiresAt model.Time
	// use is told to the owner with the release.
	observed message.Observation
	// due is when the last message is repeated.
	timerAt model.Time
}

type resendTimer struct {
	attempt model.AttemptID
	at      model.Time
}

// AskFor asks the owner for a slot.
func (s *State) RequestPermit(at model.Time, owner model.InstanceID, r message.PermitRequest, deadline model.Time, out *event.Effects) {
	h := &remotePermit{attempt: r.Attempt, owner: owner, phase: requested, request: r, deadline: deadline,
		expiresAt: deadline.Add(DeadlineGrace + resendInterval)}
	s.remotePermits[r.Attempt] = h
	s.sendRequest(at, h, out)
}

func (s *State) sendRequest(at model.Time, h *remotePermit, out *event.Effects) {
	m := h.request
	m.SentAt = at
	m.Remaining = h.deadline.Sub(at)
	out.Add(event.Send{To: h.owner, Message: &m})
	s.scheduleResend(at, h)
}

func (s *State) sendRelease(at model.Time, h *remotePermit, out *event.Effects) {
	out.Add(event.Send{To: h.owner, Message: &message.PermitRelease{Attempt: h.attempt, Observed: h.observed}})
	s.scheduleResend(at, h)
}

func (s *State) scheduleResend(at model.Time, h *remotePermit) {
	h.timerAt = at.Add(resendInterval)
	s.resendTimers.Add(h.timerAt, resendTimer{h.attempt, h.timerAt})
}

// resend repeats the messages that were not answered in time.
func (s *State) resendUnanswered(at model.Time, out *event.Effects) {
	for {
		r, ok := s.resendTimers.Pop(at)
		if !ok {
			return
		}
		h := s.remotePermits[r.attempt]
		if h == nil || h.timerAt != r.at {
			continue
		}
		switch {
		case h.phase == requested && at < h.deadline:
			s.sendRequest(at, h, out)
		case h.phase == releasing && at < h.expiresAt:
			s.sendRelease(at, h, out)
		default:
			delete(s.remotePermits, r.attempt)
		}
	}
}

// ReceiveGrant handles a grant. It reports whether the attempt may be
// dispatched now; otherwise the slot goes back at once.
func (s *State) ReceiveGrant(at model.Time, from model.InstanceID, m *message.PermitGrant, out *event.Effects) bool {
	if m.Attempt.Incarnation != s.incarnation {
		// A former process of this instance may have dispatched on the permit, and
		// the upstream may still be at work.
		return false
	}
	h := s.remotePermits[m.Attempt]
	if h == nil {
		// Withdrawn and acknowledged; a repeated request was granted afterwards.
		h = &remotePermit{attempt: m.Attempt, owner: from, phase: releasing, expiresAt: at.Add(model.MaxDeadline)}
		s.remotePermits[m.Attempt] = h
		s.sendRelease(at, h, out)
		return false
	}
	if h.phase != requested || h.owner != from {
		return false
	}
	valid := at < m.SentAt.Add(m.QueueTime+Validity) || s.Faults.NoValidity
	if !valid || at >= h.deadline {
		s.releaseRemote(at, m.Attempt, out)
		return false
	}
	h.phase = granted
	h.timerAt = h.expiresAt
	s.resendTimers.Add(h.timerAt, resendTimer{h.attempt, h.timerAt})
	return true
}

// Note keeps what an attempt showed of its upstream for the owner. It reports
// whether another instance granted the permit.
func (s *State) RecordObservation(attempt model.AttemptID, use message.Observation) bool {
	h := s.remotePermits[attempt]
	if h == nil || h.phase != granted {
		return false
	}
	h.observed.Latency = max(h.observed.Latency, use.Latency)
	h.observed.HoldTime = max(h.observed.HoldTime, use.HoldTime)
	h.observed.Unreachable = h.observed.Unreachable || use.Unreachable
	return true
}

// giveBack releases a permit of another instance or withdraws the ask for it.
func (s *State) releaseRemote(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	h := s.remotePermits[attempt]
	if h == nil || h.phase == releasing {
		return false
	}
	h.phase = releasing
	s.sendRelease(at, h, out)
	return true
}

// ReceiveRefusal handles a refusal. It reports whether the ask was waiting.
func (s *State) ReceiveRefusal(from model.InstanceID, m *message.PermitRefusal) bool {
	h := s.remotePermits[m.Attempt]
	if h == nil || h.phase != requested || h.owner != from {
		return false
	}
	delete(s.remotePermits, m.Attempt)
	for _, hint := range s.hints[h.request.Service] {
		if hint.Instance == from {
			// The hint was out of date; a newer one replaces it.
			hint.Free, hint.FreeCrossRegion, hint.Slots = 0, 0, 0
		}
	}
	return true
}

// ReceiveReleased handles the acknowledgment of a release.
func (s *State) ReceiveReleaseAck(from model.InstanceID, m *message.PermitReleaseAck) {
	if h := s.remotePermits[m.Attempt]; h != nil && h.phase == releasing && h.owner == from {
		delete(s.remotePermits, m.Attempt)
	}
}

// AskedOf returns the instance that the attempt waits for, "" if there is none.
func (s *State) RequestedOwner(attempt model.AttemptID) model.InstanceID {
	if h := s.remotePermits[attempt]; h != nil && h.phase == requested {
		return h.owner
	}
	return ""
}

// AskedAt lists the attempts that wait at another instance.
func (s *State) PendingRequests(id model.InstanceID) []model.AttemptID {
	var list []model.AttemptID
	for attempt, h := range s.remotePermits {
		if h.owner == id && h.phase == requested {
			list = append(list, attempt)
		}
	}
	sort.Slice(list, func(i, j int) bool { return lessAttempt(list[i], list[j]) })
	return list
}
