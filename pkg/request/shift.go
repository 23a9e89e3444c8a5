package request

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// shiftPatience is how long a shifted request waits for a slot in the target
// region before it is served at home.
const maxShiftWait = 500 * time.Millisecond

// shift sends a part of the requests to the target region of a traffic shift, as
// far as that has free slots. It reports whether this is one of them.
func (s *State) tryShift(at model.Time, r *request, out *event.Effects) bool {
	id := s.slots.Shift(r.arrived.Service)
	if id == "" {
		return false
	}
	q := s.slotRequest(r, s.nextAttempt())
	q.Shift = id
	q.FreeOnly = true
	if !s.slots.RequestRemote(at, q, out) {
		return false
	}
	r.phase = awaitingShift
	r.pendingSlotAttempt = q.Attempt
	s.pendingSlotRequests[q.Attempt] = r
	patience := min(maxShiftWait, r.deadline.Sub(at)/2)
	s.shiftTimers.Add(at.Add(patience), r.arrived.ID)
	return true
}

// wakeShifts serves at home what the target region had no slot for.
func (s *State) endShiftWaits(at model.Time, out *event.Effects) {
	for {
		id, ok := s.shiftTimers.Pop(at)
		if !ok {
			return
		}
		if r := s.open[id]; r != nil && r.phase == awaitingShift {
			s.withdrawSlotRequest(at, r, out)
			s.admit(at, r, out)
		}
	}
}

// P95 returns the observed p95 latency of the service at this instance, 0 if it
// is unknown.
func (s *State) P95(name model.ServiceName) model.Duration {
	if svc := s.services[name]; svc != nil {
		return svc.headerTimes.p95
	}
	return 0
}
