package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// SlotRequest describes the slot that an attempt needs.
type SlotRequest struct {
	Attempt  model.AttemptID
	Service  model.ServiceName
	Deadline model.Time
	// Spill is how far from this instance's zone the upstream may be: one of
	// the model.Spill constants.
	Spill string
	// Avoid is an upstream to be used only if no other suitable upstream has a
	// free slot, "" for none.
	Avoid model.UpstreamID
	// PendingAttempt is the attempt for which a slot was already requested from
	// another instance, the zero value for none. A new slot request is then sent
	// only to a different instance, and only if that one has a free slot.
	PendingAttempt model.AttemptID
	// FreeOnly means that the slot is requested only from an instance that offers
	// a free one, so that the request does not wait in that instance's queue.
	FreeOnly bool
	// Shift is the identifier of the traffic shift in which the request takes part,
	// "" for none. Only upstreams in the target region of the shift are used.
	Shift string
}

// SlotGrant is a slot of an upstream that is reserved for one attempt.
type SlotGrant struct {
	Upstream       model.UpstreamID
	Incarnation    model.Incarnation
	Address        string
	Region         model.Region
	MaxConnections int
	// StartBy is the latest time at which sending the attempt to the upstream may
	// begin. Later the grant is no longer valid.
	StartBy model.Time
}

// Slots grants slots of upstreams to attempts.
type Slots interface {
	// Acquire reserves a free slot of an upstream that this instance owns. It
	// returns false if there is none, or if the request should use a free slot of
	// another instance instead.
	Acquire(at model.Time, r SlotRequest, out *event.Effects) (SlotGrant, bool)
	// RequestRemote requests a slot from another instance. It returns false if no
	// other instance is expected to have a suitable slot. The other instance's
	// answer is passed to State.Granted or State.Refused.
	RequestRemote(at model.Time, r SlotRequest, out *event.Effects) bool
	// Release frees the slot of an attempt or withdraws the attempt's pending slot
	// request. It reports whether there was a slot or a pending slot request.
	Release(at model.Time, attempt model.AttemptID, out *event.Effects) bool
	// Shift decides whether the next request of the service is shifted to another
	// region. It returns the identifier of the traffic shift, "" for none.
	Shift(service model.ServiceName) string
	// Observe records what an attempt has shown about its upstream, such as the
	// latency. The attempt must still hold its slot.
	Observe(at model.Time, attempt model.AttemptID, observed message.Observation)
	// MayServe reports whether the service has an upstream, or may have one that
	// is unknown to this instance at present.
	MayServe(at model.Time, service model.ServiceName) bool
}

// requestRemoteSlot requests a slot for a waiting request from another instance and
// reports whether it did. If a slot request for the waiting request is already
// pending, it is replaced only if a different instance offers a free slot.
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

// withdrawSlotRequest withdraws the pending slot request of a request, if any.
func (s *State) withdrawSlotRequest(at model.Time, r *request, out *event.Effects) {
	if r.pendingSlotAttempt.Seq == 0 {
		return
	}
	delete(s.pendingSlotRequests, r.pendingSlotAttempt)
	s.slots.Release(at, r.pendingSlotAttempt, out)
	r.pendingSlotAttempt = model.AttemptID{}
}

// Granted dispatches the request for which another instance granted a slot. If the
// request no longer needs the slot, Granted releases it.
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
		svc := s.services[r.arrival.Service]
		svc.queue.charge(r, svc.relativeCost(r.arrival.Tenant))
		svc.queue.remove(r)
	} else if len(r.openAttempts) != 1 || r.relayedAttempt.Seq != 0 || r.canceled || r.openAttempts[0].upstream == grant.Upstream {
		// The slot was for a hedge. The hedge is no longer needed, or the slot
		// belongs to the upstream of the slow first attempt.
		s.slots.Release(at, attempt, out)
		return
	}
	s.send(at, r, attempt, grant, out)
}

// Refused handles the refusal of a slot request. The loss of the connection to the
// other instance counts as a refusal. For a queued request, a slot is requested
// from another instance. A request that waited for a slot because of a traffic
// shift is admitted in this instance's region. A hedge is not sent.
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

// RequestMoreSlots requests slots for the waiting requests of a service after
// another instance has reported free slots.
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
