package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// SlotRequest says what an attempt needs.
type SlotRequest struct {
	Attempt  model.AttemptID
	Service  model.ServiceName
	Deadline model.Time
	// Spill is how far the request may leave its zone.
	Spill string
	// Avoid is an upstream to be used only if there is no other, "" for none.
	Avoid model.UpstreamID
	// Asked says that another instance was asked already; the request is moved
	// only to one that has a free slot.
	PendingAttempt model.AttemptID
	// FreeOnly asks only an instance that has a free slot.
	FreeOnly bool
	// Shift is the traffic shift that the request is part of, "" for none. It
	// goes to the target region of the shift only.
	Shift string
}

// SlotGrant is a slot of an upstream, held for one attempt.
type SlotGrant struct {
	Upstream       model.UpstreamID
	Incarnation    model.Incarnation
	Address        string
	Region         model.Region
	MaxConnections int
	// StartBy is when the attempt must have begun to go out.
	StartBy model.Time
}

// Slots grants slots of upstreams.
type Slots interface {
	// Acquire binds a free slot of this instance to the attempt, if there is one
	// that the request should use now.
	Acquire(at model.Time, r SlotRequest, out *event.Effects) (SlotGrant, bool)
	// Ask asks another instance for a slot, if that is worth while. It is
	// answered by State.Granted or State.Refused.
	RequestRemote(at model.Time, r SlotRequest, out *event.Effects) bool
	// Release ends the hold of an attempt, or withdraws what was asked for it. It
	// reports whether there was anything.
	Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool
	// Shift decides whether the next request of the service is part of a traffic
	// shift, and returns its identifier or "".
	Shift(service model.ServiceName) string
	// Observe tells what an attempt that still holds its slot showed of its
	// upstream.
	Observe(at model.Time, attempt model.AttemptID, use message.Observation)
	// MayServe reports whether an upstream of the service is known, or may be but
	// is not known yet.
	MayServe(at model.Time, service model.ServiceName) bool
}

// askFor asks another instance for a slot for a waiting request. A request that
// was asked for before moves to a better instance, if there is one.
func (s *State) requestRemoteSlot(at model.Time, r *request, out *event.Effects) bool {
	q := s.slotRequest(r, s.nextAttempt())
	q.PendingAttempt = r.pendingSlotAttempt
	q.FreeOnly = r.pendingSlotAttempt.Seq != 0
	if !s.slots.RequestRemote(at, q, out) {
		return false
	}
	s.withdrawSlotRequest(at, r, out)
	r.pendingSlotAttempt = q.Attempt
	s.pendingSlotRequests[q.Attempt] = r
	return true
}

// withdraw takes back what was asked for a request.
func (s *State) withdrawSlotRequest(at model.Time, r *request, out *event.Effects) {
	if r.pendingSlotAttempt.Seq == 0 {
		return
	}
	delete(s.pendingSlotRequests, r.pendingSlotAttempt)
	s.slots.Release(at, r.pendingSlotAttempt, out)
	r.pendingSlotAttempt = model.AttemptID{}
}

// Granted dispatches the request for which another instance granted a slot.
func (s *State) Granted(at model.Time, attempt model.AttemptID, grant SlotGrant, out *event.Effects) {
	r := s.pendingSlotRequests[attempt]
	if r == nil || at >= r.deadline {
		s.slots.Release(at, attempt, out)
		return
	}
	delete(s.pendingSlotRequests, attempt)
	r.pendingSlotAttempt = model.AttemptID{}
	if r.phase == awaitingShift {
		r.queueIndex = -1
	} else if r.phase == queued {
		svc := s.services[r.arrived.Service]
		svc.queue.charge(r, svc.relativeCost(r.arrived.Tenant))
		svc.queue.remove(r)
	} else if len(r.openAttempts) != 1 || r.relayedAttempt.Seq != 0 || r.canceled || r.openAttempts[0].upstream == grant.Upstream {
		// The hedge is not needed any more or would go to the slow upstream.
		s.slots.Release(at, attempt, out)
		return
	}
	s.send(at, r, attempt, grant, out)
}

// Refused handles an instance that grants no slot or was lost: the next one is
// asked.
func (s *State) Refused(at model.Time, attempt model.AttemptID, out *event.Effects) {
	r := s.pendingSlotRequests[attempt]
	if r == nil {
		return
	}
	delete(s.pendingSlotRequests, attempt)
	r.pendingSlotAttempt = model.AttemptID{}
	switch r.phase {
	case queued:
		s.requestRemoteSlot(at, r, out)
	case awaitingShift:
		s.admit(at, r, out)
	}
}

// AskMore asks for slots for waiting requests after other instances said what
// they have.
func (s *State) RequestMoreSlots(at model.Time, service model.ServiceName, out *event.Effects) {
	svc := s.services[service]
	if svc == nil {
		return
	}
	for _, t := range svc.queue.active {
		for _, r := range t.heap {
			if !s.requestRemoteSlot(at, r, out) {
				return
			}
		}
	}
}
