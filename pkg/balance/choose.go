package balance

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// defaultRegionRoundTrip and defaultZoneRoundTrip are the assumed round-trip
	// times to another region and to another zone until one has been measured.
	defaultRegionRoundTrip = 100 * time.Millisecond
	defaultZoneRoundTrip   = 3 * time.Millisecond
	// uncachedCostFactor is the factor for the additional work on an uncached object.
	// It accounts for the slot time taken from requests for cached objects and for
	// the cached object that is evicted.
	uncachedCostFactor = 1.5
	// maxSmallRegionCost is added for upstreams of another region that has less than
	// the mean number of slots of the service, in proportion to the difference. It
	// keeps requests of large regions away from small ones.
	maxSmallRegionCost = 300 * time.Millisecond
	// zoneTransferCost and regionTransferCost are the costs of transferring a
	// response of a few kilobytes between zones and regions. Downloads are many
	// times larger and have costs of their own.
	zoneTransferCost           = 3 * time.Millisecond
	regionTransferCost         = 20 * time.Millisecond
	downloadZoneTransferCost   = 120 * time.Millisecond
	downloadRegionTransferCost = 300 * time.Millisecond
)

// Query describes the request for which an upstream is selected.
type Query struct {
	Service model.ServiceName
	// AffinityKey names the object that the request concerns, "" if it is unknown.
	AffinityKey string
	// Objective is the latency objective for a complete response, 0 if the route
	// has none.
	Objective model.Duration
	// Remaining is the time left until the deadline, 0 if there is none.
	Remaining model.Duration
	// Download is true for requests with large responses.
	Download bool
	// HomeRegions are the only permitted regions; empty permits all.
	HomeRegions []model.Region
	// Tried lists the upstreams to skip because the request was sent to them
	// before.
	Tried []model.UpstreamID
}

// Choice is the selected upstream and the estimates for it.
type Choice struct {
	ID      model.UpstreamID
	Address string
	Zone    model.Zone
	// Cached is true if the upstream is expected to have the object in its cache.
	Cached     bool
	objectHash uint64
	// ResponseTime is the expected time to a complete response, and QueueTime the
	// expected part of it before the upstream starts the work.
	ResponseTime model.Duration
	QueueTime    model.Duration
	// MeanWorkTime is the mean time of work on requests of the service.
	MeanWorkTime model.Duration
	// Load is the estimated number of requests at the upstream, and ReportAge the
	// age of its latest load report, negative if there is none.
	Load      float64
	ReportAge model.Duration
	// MaxConnections bounds this instance's connections to the upstream.
	MaxConnections int
	// MaxIdleTime is the longest idle time after which a connection is reused, 0
	// for no bound.
	MaxIdleTime model.Duration
	// cost is the expected response time plus all penalties, in nanoseconds.
	cost float64
}

// Choose selects the upstream with the lowest cost. It reports false if no
// upstream can accept the request now. Suspected upstreams, and regions that
// must not receive a larger share of the requests yet, are used only if there
// is no other upstream.
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

// candidateFilter states which upstreams are considered.
type candidateFilter struct {
	// assignedOnly permits only the primary and secondary of the group that
	// handles the object, primaryOnly only the primary of each group.
	assignedOnly, primaryOnly bool
	// limitRegionShift excludes regions whose share of the requests must not grow
	// yet.
	limitRegionShift bool
	// meetsDeadline excludes upstreams where the request would miss its deadline.
	meetsDeadline bool
	// allowSuspected includes upstreams that failed recently or do not respond.
	allowSuspected bool
}

// excludes reports whether the filter excludes a permitted upstream because of
// its placement or region.
func (f *candidateFilter) excludes(s *State, p *placement, t *target) bool {
	switch {
	case f.assignedOnly && (p == nil || !p.isAssigned(t)):
		return true
	case f.primaryOnly && !p.isPrimary(t):
		return true
	}
	return f.limitRegionShift && !s.regionShift.allows(t.region)
}

// cheapest returns the upstream with the lowest cost among those that the
// filter includes.
func (s *State) cheapest(at model.Time, svc *service, q *Query, p *placement, filter candidateFilter) (Choice, bool) {
	var best *target
	var bestCost float64
	var bestEstimate estimate
	for _, t := range svc.targets {
		if !s.canReceiveNow(at, svc, t, q, filter.allowSuspected) || filter.excludes(s, p, t) {
			continue
		}
		e := s.estimateFor(at, svc, t, p)
		if filter.meetsDeadline && q.Remaining > 0 && WillMissDeadline(model.Duration(e.responseTime), model.Duration(e.queueTime), model.Duration(svc.meanTime), q.Remaining) {
			continue
		}
		cost := e.responseTime + e.costToOthers + s.transferCost(t, q.Download) + s.smallRegionCost(svc, t)
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

// minWorkFraction is the fraction of the expected work that every request is
// assumed to need. Some requests of a service take far less time than others.
const minWorkFraction = 0.5

// WillMissDeadline reports whether a request would end after its deadline. If it
// has to wait for a slot, the mean work must fit into the remaining time: work
// that is aborted at its deadline takes the slot from other requests and leaves
// its object uncached.
func WillMissDeadline(responseTime, queueTime, meanWorkTime, remaining model.Duration) bool {
	work := responseTime - queueTime
	if queueTime > 0 {
		return queueTime+max(work, meanWorkTime) > remaining
	}
	return model.Duration(minWorkFraction*float64(work)) > remaining
}

// canReceiveNow reports whether an upstream can accept the request now.
func (s *State) canReceiveNow(at model.Time, svc *service, t *target, q *Query, allowSuspected bool) bool {
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

// coldInterval is the time between two requests of this instance to a cold
// upstream: each instance uses an equal share of the upstream's rate.
func (s *State) coldInterval(svc *service) model.Duration {
	return model.Duration(float64(max(1, s.EntryInstances)) / svc.spec.ColdRequestRate * float64(time.Second))
}

// estimate is the expected response time at an upstream, in nanoseconds.
type estimate struct {
	// responseTime is the time to a complete response, queueTime the part of it
	// before the work starts.
	responseTime, queueTime float64
	// costToOthers is the cost to other requests.
	costToOthers float64
}

// estimateFor estimates the response time at an upstream and the cost to other
// requests.
func (s *State) estimateFor(at model.Time, svc *service, t *target, p *placement) estimate {
	cached := s.isCached(at, p, t)
	slowdown := t.slowdown(at)
	work := svc.workTime(cached) * slowdown
	e := estimate{queueTime: max(0, t.load(at)+1-t.slots()) / t.slots() * svc.meanTime * slowdown}
	e.responseTime = float64(s.roundTrip(t)) + e.queueTime + work*(1+2*t.refusalRate(at))
	if !cached {
		e.costToOthers = uncachedCostFactor * (svc.workTime(false) - svc.workTime(true))
	}
	return e
}

// roundTrip returns the round-trip time to an upstream's zone, or the assumed
// one if none has been measured.
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

// transferCost returns the cost of transferring the response between zones or
// regions.
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

// smallRegionCost returns the cost of using another region that has fewer
// slots of the service than the mean region.
func (s *State) smallRegionCost(svc *service, t *target) float64 {
	if t.region == s.self.Regions[s.self.Zone] {
		return 0
	}
	return float64(maxSmallRegionCost) * max(0, 1-svc.relativeSlots[t.region])
}

// maxConnections returns this instance's bound on connections to an upstream.
// Twice an equal share allows for uneven traffic. The sum over all instances
// may exceed the upstream's limit, but it is not reached, since slots and queue
// bound the requests in flight.
func (s *State) maxConnections(svc *service) int {
	if svc.spec == nil || svc.spec.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*svc.spec.MaxConnections/max(1, s.EntryInstances))
}
