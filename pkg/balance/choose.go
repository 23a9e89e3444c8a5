package balance

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// farDelay and nearDelay stand for the round trips to another region and to
	// another zone until one has been observed.
	defaultRegionRoundTrip = 100 * time.Millisecond
	defaultZoneRoundTrip   = 3 * time.Millisecond
	// coldUsePenalty weighs the slot time that work on an unknown object takes
	// from requests for known ones, and the known object that it displaces.
	uncachedPenalty = 1.5
	// smallRegionCost keeps requests of other regions away from regions with less
	// than their part of a service's slots, in proportion to what they lack.
	smallRegionCost = 300 * time.Millisecond
	// zoneCost and regionCost weigh bytes that cross zones and regions, for
	// responses of a few kilobytes; those of downloads are many times larger.
	zoneTransferCost           = 3 * time.Millisecond
	regionTransferCost         = 20 * time.Millisecond
	downloadZoneTransferCost   = 120 * time.Millisecond
	downloadRegionTransferCost = 300 * time.Millisecond
)

// Query asks for an upstream.
type Query struct {
	Service model.ServiceName
	// Object is what the request concerns, "" if nothing is known.
	AffinityKey string
	// Objective is the time within which a response should be complete, 0 if none
	// is stated.
	Objective model.Duration
	// Left is the time until the request's deadline, 0 if there is none.
	Remaining model.Duration
	// Download requests have large responses.
	Download bool
	// Homes are the only permitted regions; empty permits all.
	HomeRegions []model.Region
	// Tried upstreams are left out.
	Tried []model.UpstreamID
}

// Choice is the selected upstream.
type Choice struct {
	ID      model.UpstreamID
	Address string
	Zone    model.Zone
	// Warm says that the upstream is one of those that know the object.
	Cached     bool
	objectHash uint64
	// Expected is the expected time to a complete response, and Wait the part of
	// it before the work begins.
	ResponseTime model.Duration
	QueueTime    model.Duration
	// Usual is the mean time of work of the service.
	MeanWorkTime model.Duration
	// Load is the estimated number of requests at the upstream, and ReportAge the
	// age of its latest load report, negative if there is none.
	Load      float64
	ReportAge model.Duration
	// Connections bounds this instance's connections to the upstream.
	MaxConnections int
	// MaxRest is how long a kept connection may have rested, 0 for no bound.
	MaxIdleTime model.Duration
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
	svc.initWorkTimes(q.Objective)
	s.regionShift.advance(at)
	p := s.placementOf(at, svc, q)
	assigned, found := s.cheapest(at, svc, q, p, candidateFilter{assignedOnly: true, meetsDeadline: true})
	if found && (q.Objective <= 0 || assigned.ResponseTime <= q.Objective) {
		return assigned, true
	}
	for _, filter := range []candidateFilter{
		{limitRegionShift: true, primaryOnly: true, meetsDeadline: true},
		{limitRegionShift: true, meetsDeadline: true},
		{limitRegionShift: true},
		{},
		{allowSuspected: true},
	} {
		other, ok := s.cheapest(at, svc, q, p, filter)
		switch {
		case found && (!ok || assigned.cost <= other.cost):
			return assigned, true
		case ok:
			return other, true
		}
	}
	return Choice{}, false
}

// limits say which upstreams are left out.
type candidateFilter struct {
	// placed leaves out all but those where the object is placed, leaders all but
	// the first in rank of each group.
	assignedOnly, primaryOnly bool
	// regions leaves out those in regions whose share must not grow yet.
	limitRegionShift bool
	// timely leaves out those where the request would end after its deadline.
	meetsDeadline bool
	// suspects lets in those that failed lately.
	allowSuspected bool
}

// leavesOut reports whether an upstream that could take the request may not.
func (f *candidateFilter) excludes(s *State, p *placement, t *target) bool {
	switch {
	case f.assignedOnly && (p == nil || !p.isAssigned(t)):
		return true
	case f.primaryOnly && !p.isPrimary(t):
		return true
	}
	return f.limitRegionShift && !s.regionShift.allows(t.region)
}

// cheapest selects among the permitted upstreams.
func (s *State) cheapest(at model.Time, svc *service, q *Query, p *placement, filter candidateFilter) (Choice, bool) {
	var best *target
	var bestCost float64
	var bestEstimate estimate
	for _, t := range svc.targets {
		if !s.permitted(at, svc, t, q, filter.allowSuspected) || filter.excludes(s, p, t) {
			continue
		}
		e := s.estimateFor(at, svc, t, p)
		if filter.meetsDeadline && q.Remaining > 0 && MissesDeadline(model.Duration(e.responseTime), model.Duration(e.queueTime), model.Duration(svc.meanTime), q.Remaining) {
			continue
		}
		cost := e.responseTime + e.penalty + s.transferCost(t, q.Download) + s.smallRegionPenalty(svc, t)
		if best == nil || cost < bestCost {
			best, bestCost, bestEstimate = t, cost, e
		}
	}
	if best == nil {
		return Choice{}, false
	}
	reportAge := model.Duration(-1)
	if best.reportAt != 0 {
		reportAge = at.Sub(best.reportAt)
	}
	return Choice{
		cost: bestCost, Load: best.load(at), ReportAge: reportAge,
		ID: best.registration.ID, Address: best.registration.Address, Zone: best.registration.Zone, Cached: s.isCached(at, p, best), objectHash: p.hash(),
		ResponseTime: model.Duration(bestEstimate.responseTime), QueueTime: model.Duration(bestEstimate.queueTime),
		MeanWorkTime: model.Duration(svc.meanTime), MaxConnections: s.maxConnections(svc), MaxIdleTime: s.maxIdleTime(at, best)}, true
}

// workCertainty is the part of the usual time of work that every request is
// taken to need. Some requests of a service take far less than others.
const minWorkFraction = 0.5

// TooLate reports whether a request would end after its deadline. Where others
// wait for a slot, usual work must fit in: work that is cut off at its deadline
// takes a slot from them, and its object stays unknown.
func MissesDeadline(responseTime, queueTime, meanWork, remaining model.Duration) bool {
	work := responseTime - queueTime
	if queueTime > 0 {
		return queueTime+max(work, meanWork) > remaining
	}
	return model.Duration(minWorkFraction*float64(work)) > remaining
}

// permitted reports whether an upstream may take the request.
func (s *State) permitted(at model.Time, svc *service, t *target, q *Query, allowSuspected bool) bool {
	switch {
	case t.evacuated || slices.Contains(q.Tried, t.registration.ID):
		return false
	case len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, t.region):
		return false
	case !allowSuspected && (t.suspected(at) || t.expired):
		return false
	case svc.limitsColdRate() && t.needsPacing(at) && !t.pacer.allows(at, s.coldInterval(svc), pacingPhase(s.self.ID, t)):
		return false
	}
	return true
}

// coldPeriod is the time between two requests of this instance at a cold
// upstream, at an even share of its rate.
func (s *State) coldInterval(svc *service) model.Duration {
	return model.Duration(float64(max(1, s.EntryInstances)) / svc.spec.ColdRequestRate * float64(time.Second))
}

// estimate is the expected time of a request at an upstream, in nanoseconds.
type estimate struct {
	// total is the time to a complete response, wait the part before the work
	// begins.
	responseTime, queueTime float64
	// penalty is the cost to other requests.
	penalty float64
}

// expected estimates the time to a complete response, and the cost to others.
func (s *State) estimateFor(at model.Time, svc *service, t *target, p *placement) estimate {
	cached := s.isCached(at, p, t)
	slowdown := t.slowdown(at)
	work := svc.workTime(cached) * slowdown
	e := estimate{queueTime: max(0, t.load(at)+1-t.slots()) / t.slots() * svc.meanTime * slowdown}
	e.responseTime = float64(s.roundTrip(t)) + e.queueTime + work*(1+2*t.refusalRate(at))
	if !cached {
		e.penalty = uncachedPenalty * (svc.workTime(false) - svc.workTime(true))
	}
	return e
}

func (s *State) roundTrip(t *target) model.Duration {
	if d, ok := s.roundTrips[t.registration.Zone]; ok {
		return d
	}
	switch {
	case t.registration.Zone == s.self.Zone:
		return 0
	case t.region == s.self.Regions[s.self.Zone]:
		return defaultZoneRoundTrip
	}
	return defaultRegionRoundTrip
}

func (s *State) transferCost(t *target, download bool) float64 {
	zone, region := zoneTransferCost, regionTransferCost
	if download {
		zone, region = downloadZoneTransferCost, downloadRegionTransferCost
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
func (s *State) smallRegionPenalty(svc *service, t *target) float64 {
	if t.region == s.self.Regions[s.self.Zone] {
		return 0
	}
	return float64(smallRegionCost) * max(0, 1-svc.relativeSlots[t.region])
}

// connections is this instance's part of an upstream's connections. Twice an
// even share allows for uneven traffic; the sum is reached by no upstream, since
// requests in flight are bounded by slots and queue.
func (s *State) maxConnections(svc *service) int {
	if svc.spec == nil || svc.spec.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*svc.spec.MaxConnections/max(1, s.EntryInstances))
}
