package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// holdTimeWeight is the weight of a new sample in the moving means of hold
// times.
const holdTimeWeight = 0.1

// service is the state of one service at this instance: its queue, its retry
// budget and observed times.
type service struct {
	queue  queue
	budget retryBudget
	// headerTimes are the times from dispatch to the response headers,
	// bodyTimes the times from the headers to the end of the response, and
	// holdTimes the times from dispatch to the end of the response.
	headerTimes histogram
	bodyTimes   histogram
	holdTimes   histogram
	// meanHoldTime and tenantHoldTimes are moving means in nanoseconds.
	meanHoldTime    float64
	tenantHoldTimes map[model.Tenant]float64
}

// service returns the state of a service and creates it if necessary.
func (s *State) service(at model.Time, name model.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			queue:           queue{tenants: map[model.Tenant]*tenantQueue{}},
			budget:          newBudget(at),
			tenantHoldTimes: map[model.Tenant]float64{},
		}
		s.services[name] = svc
	}
	return svc
}

// relativeCost returns the cost of a tenant's request in the fair queue: the
// tenant's mean hold time in units of the service's mean hold time.
func (svc *service) relativeCost(tenant model.Tenant) float64 {
	holdTime, ok := svc.tenantHoldTimes[tenant]
	if !ok || svc.meanHoldTime == 0 {
		return 1
	}
	return min(maxRelativeCost, max(1.0/maxRelativeCost, holdTime/svc.meanHoldTime))
}

// maxTenants limits the number of tenants whose hold times are tracked.
// Requests of further tenants have the cost 1.
const maxTenants = 10_000

// observeHoldTime records how long a completed request occupied its slot.
func (svc *service) observeHoldTime(tenant model.Tenant, d model.Duration) {
	svc.holdTimes.add(d)
	if svc.meanHoldTime == 0 {
		svc.meanHoldTime = float64(d)
	}
	svc.meanHoldTime += holdTimeWeight * (float64(d) - svc.meanHoldTime)
	old, ok := svc.tenantHoldTimes[tenant]
	switch {
	case ok:
		svc.tenantHoldTimes[tenant] = old + holdTimeWeight*(float64(d)-old)
	case len(svc.tenantHoldTimes) < maxTenants:
		svc.tenantHoldTimes[tenant] = float64(d)
	}
}

// isLikelyTooLate reports whether the request is unlikely to complete before
// its deadline. While several requests wait, the estimate is the p99 of the
// hold times instead of the median, so that the slot is used for a request that
// almost certainly completes.
func (svc *service) isLikelyTooLate(at model.Time, r *request) bool {
	estimate := svc.holdTimes.median
	if svc.queue.Len() > 1 {
		estimate = svc.holdTimes.p99
	}
	// The estimate is limited to half of the profile's timeout. Otherwise
	// samples from a slow period could cause all requests to be refused, and no
	// new sample would ever correct the estimate.
	estimate = min(estimate, r.profile.Timeout()/2)
	return at.Add(estimate) > r.deadline
}

// hedgeTimer identifies the attempt that is hedged if it has not answered when
// the timer fires.
type hedgeTimer struct {
	request model.RequestID
	attempt model.AttemptID
}

// scheduleHedge sets the timer of a hedge: a second attempt that is sent if the
// first one has not answered within the service's p95.
func (s *State) scheduleHedge(at model.Time, r *request, id model.AttemptID) {
	if !r.profile.Hedge || !r.idempotent || !r.arrival.Replayable || len(r.openAttempts) > 1 || r.attemptCount >= r.profile.MaxAttempts {
		return
	}
	p95 := s.service(at, r.arrival.Service).headerTimes.p95
	if p95 == 0 || at.Add(p95) >= r.deadline {
		return
	}
	s.hedgeTimers.Add(at.Add(p95), hedgeTimer{r.arrival.ID, id})
}

// sendDueHedges sends the hedges whose first attempt has still not answered.
func (s *State) sendDueHedges(at model.Time, out *event.Effects) {
	for {
		due, ok := s.hedgeTimers.Pop(at)
		if !ok {
			return
		}
		r := s.open[due.request]
		if r == nil || r.phase != running || r.relayedAttempt.Seq != 0 || len(r.openAttempts) != 1 || r.openAttempts[0].id != due.attempt || r.canceled {
			continue
		}
		s.hedge(at, r, out)
	}
}

// hedge sends a second attempt of the request to another upstream. Waiting
// requests have priority over hedges.
func (s *State) hedge(at model.Time, r *request, out *event.Effects) {
	svc := s.service(at, r.arrival.Service)
	if svc.queue.Len() > 0 || !svc.budget.spend(at) {
		return
	}
	id := s.nextAttempt()
	q := s.slotRequest(r, id)
	grant, ok := s.slots.Acquire(at, q, out)
	if !ok {
		q.FreeOnly = true
		if s.slots.RequestRemote(at, q, out) {
			r.pendingSlotAttempt = id
			s.pendingSlotRequests[id] = r
		}
		return
	}
	if grant.Upstream == r.openAttempts[0].upstream {
		s.slots.Release(at, id, out)
		return
	}
	s.send(at, r, id, grant, out)
}
