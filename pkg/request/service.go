package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// holdTimeWeight is the weight of a new sample in the exponential moving means of
// hold times. The hold time of a request is how long it occupied its slot.
const holdTimeWeight = 0.1

// service is the state of one service at this instance: the queue of its waiting
// requests, its retry budget, and how long its requests took.
type service struct {
	queue  queue
	budget retryBudget
	// headerTimes counts the times from the dispatch of an attempt to its response
	// headers.
	headerTimes histogram
	// bodyTimes counts the times from the response headers to the end of a
	// complete response.
	bodyTimes histogram
	// holdTimes counts the times from the dispatch of an attempt to the end of its
	// complete response.
	holdTimes histogram
	// meanHoldTime is the moving mean of the hold time over all tenants, in
	// nanoseconds.
	meanHoldTime float64
	// tenantHoldTimes holds the moving mean of the hold time of each tenant, in
	// nanoseconds.
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

// relativeCost returns the cost of a tenant's request in the fair queue: the mean
// hold time of the tenant's requests divided by that of all requests of the
// service. It lies between 1/maxRelativeCost and maxRelativeCost, and is 1 if no
// hold time is known.
func (svc *service) relativeCost(tenant model.Tenant) float64 {
	holdTime, ok := svc.tenantHoldTimes[tenant]
	if !ok || svc.meanHoldTime == 0 {
		return 1
	}
	return min(maxRelativeCost, max(1.0/maxRelativeCost, holdTime/svc.meanHoldTime))
}

// maxTenants is the maximum number of tenants per service whose mean hold times are
// kept, which limits memory. Requests of further tenants have the cost 1.
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

// isLikelyTooLate reports whether the request, if dispatched now, is unlikely to
// complete before its deadline. Such a request is refused. The request is expected
// to take the median of the service's hold times. While several requests wait, the
// p99 is used instead, so that a free slot is used for a request that almost
// certainly completes.
//
// For routed requests, balance.WillMissDeadline answers the same question from the
// expected times of one upstream. Here no upstream is chosen yet.
func (svc *service) isLikelyTooLate(at model.Time, r *request) bool {
	estimate := svc.holdTimes.median
	if svc.queue.Len() > 1 {
		estimate = svc.holdTimes.p99
	}
	// The estimate is limited to half of the profile's timeout. Otherwise hold
	// times from a slow period could cause all requests to be refused. No request
	// would then complete, and no new hold time would ever correct the estimate.
	estimate = min(estimate, r.profile.Timeout()/2)
	return at.Add(estimate) > r.deadline
}

// hedgeTimer is the timer of a possible hedge. When it fires, a second attempt of the
// request is sent if no response headers have arrived for the given attempt.
type hedgeTimer struct {
	request model.RequestID
	attempt model.AttemptID
}

// scheduleHedge sets the timer for a hedge if the profile allows hedges of the
// request. A hedge is a second attempt, which is sent if no response headers have
// arrived for the first attempt within the service's p95 time to the headers.
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

// sendDueHedges handles the hedge timers that are due. It hedges the requests for
// whose first attempt no response headers have arrived yet.
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

// hedge sends a second attempt of the request to an upstream other than that of the
// first attempt, or requests a slot for the second attempt from another instance. It
// does nothing if the retry budget is spent, or while requests wait in the service's
// queue: the waiting requests have priority for free slots.
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
