package request

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxShiftWait is how long a request that takes part in a traffic shift waits for a
// slot in the target region before it is admitted in its own region instead. A request
// waits for at most half of the time remaining until its deadline.
const maxShiftWait = 500 * time.Millisecond

// tryShift requests a slot in another region if the request is selected for a
// traffic shift and an instance in the target region has a free slot. It reports
// whether the request now waits for that slot.
func (s *State) tryShift(at model.Time, r *request, out *event.Effects) bool {
	id := s.slots.Shift(r.arrival.Service)
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
	maxWait := min(maxShiftWait, r.deadline.Sub(at)/2)
	s.shiftTimers.Add(at.Add(maxWait), r.arrival.ID)
	return true
}

// endShiftWaits handles the requests that have waited too long for a slot in the
// target region of their shift. It admits them in this instance's region.
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

// P95 implements permit.Latencies. It returns the p95 of the times from dispatch to
// the response headers that this instance observed for the service, 0 if it has
// observed too few.
func (s *State) P95(name model.ServiceName) model.Duration {
	if svc := s.services[name]; svc != nil {
		return svc.headerTimes.p95
	}
	return 0
}
