package balance

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// farDelay and nearDelay stand for the round trips to another region and to
	// another zone until one has been observed.
	farDelay  = 100 * time.Millisecond
	nearDelay = 3 * time.Millisecond
	// coldUsePenalty weighs the slot time that work on an unknown object takes
	// from requests for known ones, and the known object that it displaces.
	coldUsePenalty = 1.5
	// smallRegionCost keeps requests of other regions away from regions with less
	// than their part of a service's slots, in proportion to what they lack.
	smallRegionCost = 300 * time.Millisecond
	// zoneCost and regionCost weigh bytes that cross zones and regions, for
	// responses of a few kilobytes; those of downloads are many times larger.
	zoneCost           = 3 * time.Millisecond
	regionCost         = 20 * time.Millisecond
	downloadZoneCost   = 120 * time.Millisecond
	downloadRegionCost = 300 * time.Millisecond
)

// Query asks for an upstream.
type Query struct {
	Service model.ServiceName
	// Object is what the request concerns, "" if nothing is known.
	Object string
	// Objective is the time within which a response should be complete, 0 if none
	// is stated.
	Objective model.Duration
	// Left is the time until the request's deadline, 0 if there is none.
	Left model.Duration
	// Download requests have large responses.
	Download bool
	// Homes are the only permitted regions; empty permits all.
	Homes []model.Region
	// Tried upstreams are left out.
	Tried []model.UpstreamID
}

// Choice is the selected upstream.
type Choice struct {
	ID      model.UpstreamID
	Address string
	Zone    model.Zone
	// Warm says that the upstream is one of those that know the object.
	Warm   bool
	object uint64
	// Expected is the expected time to a complete response, and Wait the part of
	// it before the work begins.
	Expected model.Duration
	Wait     model.Duration
	// Usual is the mean time of work of the service.
	Usual model.Duration
	// Load is the estimated number of requests at the upstream, and ReportAge the
	// age of its latest load report, negative if there is none.
	Load      float64
	ReportAge model.Duration
	// Connections bounds this instance's connections to the upstream.
	Connections int
	// MaxRest is how long a kept connection may have rested, 0 for no bound.
	MaxRest model.Duration
	// cost compares choices.
	cost float64
}

// Choose selects the upstream with the shortest expected time. It reports false
// if none may take the request now. Suspected upstreams and regions whose share
// must not grow yet are used only if there is no other.
func (s *State) Choose(at model.Time, q *Query) (Choice, bool) {
	svc := s.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	svc.expect(q.Objective)
	s.shares.advance(at)
	known := s.locate(at, svc, q)
	placed, found := s.cheapest(at, svc, q, known, limits{placed: true, timely: true})
	if found && (q.Objective <= 0 || placed.Expected <= q.Objective) {
		return placed, true
	}
	for _, l := range []limits{{regions: true, leaders: true, timely: true}, {regions: true, timely: true}, {regions: true}, {}, {suspects: true}} {
		other, ok := s.cheapest(at, svc, q, known, l)
		switch {
		case found && (!ok || placed.cost <= other.cost):
			return placed, true
		case ok:
			return other, true
		}
	}
	return Choice{}, false
}

// limits say which upstreams are left out.
type limits struct {
	// placed leaves out all but those where the object is placed, leaders all but
	// the first in rank of each group.
	placed, leaders bool
	// regions leaves out those in regions whose share must not grow yet.
	regions bool
	// timely leaves out those where the request would end after its deadline.
	timely bool
	// suspects lets in those that failed lately.
	suspects bool
}

// leavesOut reports whether an upstream that could take the request may not.
func (l *limits) leavesOut(s *State, known *copies, t *target) bool {
	switch {
	case l.placed && (known == nil || !known.isPlaced(t)):
		return true
	case l.leaders && !known.isLeader(t):
		return true
	}
	return l.regions && !s.shares.allows(t.region)
}

// cheapest selects among the permitted upstreams.
func (s *State) cheapest(at model.Time, svc *service, q *Query, known *copies, l limits) (Choice, bool) {
	var best *target
	var bestCost float64
	var bestTime estimate
	for _, t := range svc.targets {
		if !s.permitted(at, svc, t, q, l.suspects) || l.leavesOut(s, known, t) {
			continue
		}
		e := s.expected(at, svc, t, known)
		if l.timely && q.Left > 0 && TooLate(model.Duration(e.total), model.Duration(e.wait), model.Duration(svc.mean), q.Left) {
			continue
		}
		cost := e.total + e.penalty + s.byteCost(t, q.Download) + s.regionCost(svc, t)
		if best == nil || cost < bestCost {
			best, bestCost, bestTime = t, cost, e
		}
	}
	if best == nil {
		return Choice{}, false
	}
	age := model.Duration(-1)
	if best.reportAt != 0 {
		age = at.Sub(best.reportAt)
	}
	return Choice{
		cost: bestCost, Load: best.load(at), ReportAge: age,
		ID: best.registration.ID, Address: best.registration.Address, Zone: best.registration.Zone, Warm: s.isWarm(at, known, best), object: known.key(),
		Expected: model.Duration(bestTime.total), Wait: model.Duration(bestTime.wait),
		Usual: model.Duration(svc.mean), Connections: s.connections(svc), MaxRest: s.maxRest(at, best)}, true
}

// workCertainty is the part of the usual time of work that every request is
// taken to need. Some requests of a service take far less than others.
const workCertainty = 0.5

// TooLate reports whether a request would end after its deadline. Where others
// wait for a slot, usual work must fit in: work that is cut off at its deadline
// takes a slot from them, and its object stays unknown.
func TooLate(expected, wait, usual, left model.Duration) bool {
	work := expected - wait
	if wait > 0 {
		return wait+max(work, usual) > left
	}
	return model.Duration(workCertainty*float64(work)) > left
}

// permitted reports whether an upstream may take the request.
func (s *State) permitted(at model.Time, svc *service, t *target, q *Query, suspects bool) bool {
	switch {
	case t.evacuated || slices.Contains(q.Tried, t.registration.ID):
		return false
	case len(q.Homes) > 0 && !slices.Contains(q.Homes, t.region):
		return false
	case !suspects && (t.suspected(at) || t.expired):
		return false
	case svc.boundsCold() && t.needsTurns(at) && !t.cold.ready(at, s.coldPeriod(svc), coldPhase(s.self.ID, t)):
		return false
	}
	return true
}

// coldPeriod is the time between two requests of this instance at a cold
// upstream, at an even share of its rate.
func (s *State) coldPeriod(svc *service) model.Duration {
	return model.Duration(float64(max(1, s.Entries)) / svc.spec.ColdRequestRate * float64(time.Second))
}

// estimate is the expected time of a request at an upstream, in nanoseconds.
type estimate struct {
	// total is the time to a complete response, wait the part before the work
	// begins.
	total, wait float64
	// penalty is the cost to other requests.
	penalty float64
}

// expected estimates the time to a complete response, and the cost to others.
func (s *State) expected(at model.Time, svc *service, t *target, known *copies) estimate {
	warm := s.isWarm(at, known, t)
	pace := t.pace(at)
	work := svc.typical(warm) * pace
	e := estimate{wait: max(0, t.load(at)+1-t.slots()) / t.slots() * svc.mean * pace}
	e.total = float64(s.delay(t)) + e.wait + work*(1+2*t.refusalRate(at))
	if !warm {
		e.penalty = coldUsePenalty * (svc.typical(false) - svc.typical(true))
	}
	return e
}

func (s *State) delay(t *target) model.Duration {
	if d, ok := s.delays[t.registration.Zone]; ok {
		return d
	}
	switch {
	case t.registration.Zone == s.self.Zone:
		return 0
	case t.region == s.self.Regions[s.self.Zone]:
		return nearDelay
	}
	return farDelay
}

func (s *State) byteCost(t *target, download bool) float64 {
	zone, region := zoneCost, regionCost
	if download {
		zone, region = downloadZoneCost, downloadRegionCost
	}
	switch {
	case t.registration.Zone == s.self.Zone:
		return 0
	case t.region == s.self.Regions[s.self.Zone]:
		return float64(zone)
	}
	return float64(zone + region)
}

// regionCost keeps requests away from other regions that are small.
func (s *State) regionCost(svc *service, t *target) float64 {
	if t.region == s.self.Regions[s.self.Zone] {
		return 0
	}
	return float64(smallRegionCost) * max(0, 1-svc.parts[t.region])
}

// connections is this instance's part of an upstream's connections. Twice an
// even share allows for uneven traffic; the sum is reached by no upstream, since
// requests in flight are bounded by slots and queue.
func (s *State) connections(svc *service) int {
	if svc.spec == nil || svc.spec.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*svc.spec.MaxConnections/max(1, s.Entries))
}
