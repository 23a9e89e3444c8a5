package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// costWeight is the weight of a new sample in a tenant's mean service time.
const holdTimeWeight = 0.1

// service is what this instance keeps of one service.
type service struct {
	queue  queue
	budget retryBudget
	// answers are the times from dispatch to the response headers, bodies those
	// from there to the end of the response, holds both together.
	headerTimes histogram
	bodyTimes   histogram
	holdTimes   histogram
	// meanHold and tenantHold are moving means, in nanoseconds.
	meanHoldTime    float64
	tenantHoldTimes map[model.Tenant]float64
}

func (s *State) service(at model.Time, name model.ServiceName) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			queue:           queue{tenants: map[model.Tenant]*tenantQueue{}},
			budget:          newRetryBudget(at),
			tenantHoldTimes: map[model.Tenant]float64{},
		}
		s.services[name] = svc
	}
	return svc
}

// cost returns what a request of the tenant counts in the fair queue: its
// service time in units of the service's mean.
func (svc *service) relativeCost(tenant model.Tenant) float64 {
	hold, ok := svc.tenantHoldTimes[tenant]
	if !ok || svc.meanHoldTime == 0 {
		return 1
	}
	return min(maxRelativeCost, max(1.0/maxRelativeCost, hold/svc.meanHoldTime))
}

// maxTenants bounds the tenants whose service time is remembered. Further ones
// count with the mean.
const maxTenants = 10_000

// held counts the time for which a completed request held its slot.
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

// isTooLate reports whether the request can probably not finish in time. While
// others wait, the slot goes to one that almost surely finishes.
func (svc *service) willMissDeadline(at model.Time, r *request) bool {
	need := svc.holdTimes.median
	if svc.queue.Len() > 1 {
		need = svc.holdTimes.p99
	}
	// Not more than half of the profile's deadline: estimates from a time of
	// trouble must not refuse all work, or no newer ones would come.
	need = min(need, r.profile.Deadline()/2)
	return at.Add(need) > r.deadline
}

// hedgeDue is the alarm of a hedge.
type hedgeTimer struct {
	request model.RequestID
	attempt model.AttemptID
}

// planHedge sets the time at which a slow first attempt gets a second one.
func (s *State) scheduleHedge(at model.Time, r *request, id model.AttemptID) {
	if !r.profile.Hedge || !r.idempotent || !r.arrived.Replayable || len(r.openAttempts) > 1 || r.attemptCount >= r.profile.MaxAttempts {
		return
	}
	p95 := s.service(at, r.arrived.Service).headerTimes.p95
	if p95 == 0 || at.Add(p95) >= r.deadline {
		return
	}
	s.hedgeTimers.Add(at.Add(p95), hedgeTimer{r.arrived.ID, id})
}

// wakeHedges sends second attempts where the first is slower than usual.
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

func (s *State) hedge(at model.Time, r *request, out *event.Effects) {
	svc := s.service(at, r.arrived.Service)
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
