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
	asking phase = iota
	granted
	releasing
)

// held is a permit that this instance asked of another.
type held struct {
	attempt model.AttemptID
	owner   model.InstanceID
	phase   phase
	request message.PermitRequest
	// deadline of the request.
	deadline model.Time
	// expires is when the owner has surely ended the permit itself.
	expires model.Time
	// use is told to the owner with the release.
	use message.Observation
	// due is when the last message is repeated.
	due model.Time
}

type resend struct {
	attempt model.AttemptID
	due     model.Time
}

// AskFor asks the owner for a slot.
func (s *State) RequestPermit(at model.Time, owner model.InstanceID, r message.PermitRequest, deadline model.Time, out *event.Effects) {
	h := &held{attempt: r.Attempt, owner: owner, phase: asking, request: r, deadline: deadline,
		expires: deadline.Add(DeadlineGrace + resendInterval)}
	s.held[r.Attempt] = h
	s.sendRequest(at, h, out)
}

func (s *State) sendRequest(at model.Time, h *held, out *event.Effects) {
	m := h.request
	m.SentAt = at
	m.Remaining = h.deadline.Sub(at)
	out.Add(event.Send{To: h.owner, Message: &m})
	s.schedule(at, h)
}

func (s *State) sendRelease(at model.Time, h *held, out *event.Effects) {
	out.Add(event.Send{To: h.owner, Message: &message.PermitRelease{Attempt: h.attempt, Observed: h.use}})
	s.schedule(at, h)
}

func (s *State) schedule(at model.Time, h *held) {
	h.due = at.Add(resendInterval)
	s.resends.Add(h.due, resend{h.attempt, h.due})
}

// resend repeats the messages that were not answered in time.
func (s *State) resend(at model.Time, out *event.Effects) {
	for {
		r, ok := s.resends.Pop(at)
		if !ok {
			return
		}
		h := s.held[r.attempt]
		if h == nil || h.due != r.due {
			continue
		}
		switch {
		case h.phase == asking && at < h.deadline:
			s.sendRequest(at, h, out)
		case h.phase == releasing && at < h.expires:
			s.sendRelease(at, h, out)
		default:
			delete(s.held, r.attempt)
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
	h := s.held[m.Attempt]
	if h == nil {
		// Withdrawn and acknowledged; a repeated request was granted afterwards.
		h = &held{attempt: m.Attempt, owner: from, phase: releasing, expires: at.Add(model.MaxDeadline)}
		s.held[m.Attempt] = h
		s.sendRelease(at, h, out)
		return false
	}
	if h.phase != asking || h.owner != from {
		return false
	}
	valid := at < m.SentAt.Add(m.QueueTime+Validity) || s.Faults.NoValidity
	if !valid || at >= h.deadline {
		s.giveBack(at, m.Attempt, out)
		return false
	}
	h.phase = granted
	h.due = h.expires
	s.resends.Add(h.due, resend{h.attempt, h.due})
	return true
}

// Note keeps what an attempt showed of its upstream for the owner. It reports
// whether another instance granted the permit.
func (s *State) RecordObservation(attempt model.AttemptID, use message.Observation) bool {
	h := s.held[attempt]
	if h == nil || h.phase != granted {
		return false
	}
	h.use.Latency = max(h.use.Latency, use.Latency)
	h.use.HoldTime = max(h.use.HoldTime, use.HoldTime)
	h.use.Unreachable = h.use.Unreachable || use.Unreachable
	return true
}

// giveBack releases a permit of another instance or withdraws the ask for it.
func (s *State) giveBack(at model.Time, attempt model.AttemptID, out *event.Effects) bool {
	h := s.held[attempt]
	if h == nil || h.phase == releasing {
		return false
	}
	h.phase = releasing
	s.sendRelease(at, h, out)
	return true
}

// ReceiveRefusal handles a refusal. It reports whether the ask was waiting.
func (s *State) ReceiveRefusal(from model.InstanceID, m *message.PermitRefusal) bool {
	h := s.held[m.Attempt]
	if h == nil || h.phase != asking || h.owner != from {
		return false
	}
	delete(s.held, m.Attempt)
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
	if h := s.held[m.Attempt]; h != nil && h.phase == releasing && h.owner == from {
		delete(s.held, m.Attempt)
	}
}

// AskedOf returns the instance that the attempt waits for, "" if there is none.
func (s *State) RequestedOwner(attempt model.AttemptID) model.InstanceID {
	if h := s.held[attempt]; h != nil && h.phase == asking {
		return h.owner
	}
	return ""
}

// AskedAt lists the attempts that wait at another instance.
func (s *State) PendingRequests(id model.InstanceID) []model.AttemptID {
	var list []model.AttemptID
	for attempt, h := range s.held {
		if h.owner == id && h.phase == asking {
			list = append(list, attempt)
		}
	}
	sort.Slice(list, func(i, j int) bool { return lessAttempt(list[i], list[j]) })
	return list
}
