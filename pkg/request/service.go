package request

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// costWeight is the weight of a new sample in a tenant's mean service time.
const costWeight = 0.1

// service is what this instance keeps of one service.
type service struct {
	queue  queue
	budget budget
	// answers are the times from dispatch to the response headers, bodies those
	// from there to the end of the response, holds both together.
	answers times
	bodies  times
	holds   times
	// meanHold and tenantHold are moving means, in nanoseconds.
	meanHold   float64
	tenantHold map[model.Tenant]float64
}

func (s *State) service(at model.Time, name model.ServiceName) *service {
	v := s.services[name]
	if v == nil {
		v = &service{
			queue:      queue{tenants: map[model.Tenant]*tenantQueue{}},
			budget:     newBudget(at),
			tenantHold: map[model.Tenant]float64{},
		}
		s.services[name] = v
	}
	return v
}

// cost returns what a request of the tenant counts in the fair queue: its
// service time in units of the service's mean.
func (v *service) cost(tenant model.Tenant) float64 {
	hold, ok := v.tenantHold[tenant]
	if !ok || v.meanHold == 0 {
		return 1
	}
	return min(maxCost, max(1.0/maxCost, hold/v.meanHold))
}

// maxTenants bounds the tenants whose service time is remembered. Further ones
// count with the mean.
const maxTenants = 10_000

// held counts the time for which a completed request held its slot.
func (v *service) held(tenant model.Tenant, d model.Duration) {
	v.holds.add(d)
	if v.meanHold == 0 {
		v.meanHold = float64(d)
	}
	v.meanHold += costWeight * (float64(d) - v.meanHold)
	old, ok := v.tenantHold[tenant]
	switch {
	case ok:
		v.tenantHold[tenant] = old + costWeight*(float64(d)-old)
	case len(v.tenantHold) < maxTenants:
		v.tenantHold[tenant] = float64(d)
	}
}

// isTooLate reports whether the request can probably not finish in time. While
// others wait, the slot goes to one that almost surely finishes.
func (v *service) isTooLate(at model.Time, r *request) bool {
	need := v.holds.median
	if v.queue.Len() > 1 {
		need = v.holds.p99
	}
	// Not more than half of the profile's deadline: estimates from a time of
	// trouble must not refuse all work, or no newer ones would come.
	need = min(need, r.profile.Deadline()/2)
	return at.Add(need) > r.deadline
}

// hedgeDue is the alarm of a hedge.
type hedgeDue struct {
	request model.RequestID
	attempt model.AttemptID
}

// planHedge sets the time at which a slow first attempt gets a second one.
func (s *State) planHedge(at model.Time, r *request, id model.AttemptID) {
	if !r.profile.Hedge || !r.idempotent || !r.arrived.Replayable || len(r.attempts) > 1 || r.dispatched >= r.profile.MaxAttempts {
		return
	}
	p95 := s.service(at, r.arrived.Service).answers.p95
	if p95 == 0 || at.Add(p95) >= r.deadline {
		return
	}
	s.hedges.Add(at.Add(p95), hedgeDue{r.arrived.ID, id})
}

// wakeHedges sends second attempts where the first is slower than usual.
func (s *State) wakeHedges(at model.Time, out *event.Effects) {
	for {
		due, ok := s.hedges.Pop(at)
		if !ok {
			return
		}
		r := s.open[due.request]
		if r == nil || r.phase != running || r.relayed.Seq != 0 || len(r.attempts) != 1 || r.attempts[0].id != due.attempt || r.canceled {
			continue
		}
		s.hedge(at, r, out)
	}
}

func (s *State) hedge(at model.Time, r *request, out *event.Effects) {
	v := s.service(at, r.arrived.Service)
	if v.queue.Len() > 0 || !v.budget.take(at) {
		return
	}
	id := s.nextAttempt()
	q := s.slotRequest(r, id)
	grant, ok := s.slots.Acquire(at, q, out)
	if !ok {
		q.FreeOnly = true
		if s.slots.RequestRemote(at, q, out) {
			r.ask = id
			s.asks[id] = r
		}
		return
	}
	if grant.Upstream == r.attempts[0].upstream {
		s.slots.Release(at, id, out)
		return
	}
	s.send(at, r, id, grant, out)
}
