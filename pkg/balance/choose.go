package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// defaultRegionRoundTrip and defaultZoneRoundTrip are the assumed round-trip
	// times to a zone of another region and to another zone of the same region.
	// They apply until a round-trip time to the zone has been measured.
	defaultRegionRoundTrip = 100 * time.Millisecond
	defaultZoneRoundTrip   = 3 * time.Millisecond
	// uncachedCostFactor multiplies the additional work time on an uncached object
	// to estimate the cost to other requests: the work occupies a slot that
	// requests for cached objects could use, and another object is evicted from
	// the cache.
	uncachedCostFactor = 1.5
	// maxSmallRegionCost is the upper limit of the small-region cost. This cost is
	// added for upstreams in another region that has fewer slots of the service
	// than the mean of all regions. It is proportional to the difference from the
	// mean, and keeps requests of large regions away from small regions.
	maxSmallRegionCost = 300 * time.Millisecond
	// zoneTransferCost and regionTransferCost are the costs of transferring a
	// response of a few kilobytes between zones and between regions. The responses
	// of downloads are many times larger and have separate costs.
	zoneTransferCost           = 3 * time.Millisecond
	regionTransferCost         = 20 * time.Millisecond
	downloadZoneTransferCost   = 120 * time.Millisecond
	downloadRegionTransferCost = 300 * time.Millisecond
)

// Query describes the request for which an upstream is selected.
type Query struct {
	Service model.ServiceName
	// AffinityKey names the object that the request concerns, "" if the request
	// names none.
	AffinityKey string
	// Objective is the latency objective for a complete response, 0 if the route
	// has none.
	Objective model.Duration
	// Remaining is the time left until the deadline, 0 if there is no deadline.
	Remaining model.Duration
	// Download is true for requests with large responses.
	Download bool
	// HomeRegions lists the regions where the route permits the request to be
	// executed; empty permits all regions. They are unrelated to the home group of
	// this instance.
	HomeRegions []model.Region
	// Tried lists the upstreams to which the request was sent before. They are not
	// selected again.
	Tried []model.UpstreamID
}

// Choice is the selected upstream and the estimates for it.
type Choice struct {
	ID      model.UpstreamID
	StartMs int64
	Address string
	Zone    model.Zone
	// Cached is true if the upstream is expected to have the object of the request
	// in its cache.
	Cached     bool
	objectHash uint64
	// ResponseTime is the expected time until the response is complete. QueueTime
	// is the part of it before the upstream starts the work.
	ResponseTime model.Duration
	QueueTime    model.Duration
	// MeanWorkTime is the mean work time of all requests to the service, for
	// cached and uncached objects.
	MeanWorkTime model.Duration
	// Load is the estimated number of requests running and queued at the upstream.
	// ReportAge is the age of the upstream's latest load report, negative if there
	// is none.
	Load      float64
	ReportAge model.Duration
	// MaxConnections is the largest number of connections of this instance to the
	// upstream, 0 for no limit.
	MaxConnections int
	// MaxIdleTime is the longest idle time after which a connection to the
	// upstream is reused, 0 for no limit.
	MaxIdleTime model.Duration
	// cost is the value by which upstreams are compared, in nanoseconds: the
	// expected response time plus the costs of a transfer, of a small region and
	// to other requests.
	cost float64
}

// Choose selects the upstream with the lowest cost and reports whether there is
// one that can accept the request now. The assigned group is selected if it
// meets the objective; otherwise the other groups are compared with it. If its
// queue is too long, the primary of a group with free slots takes the request. Other
// regions whose share of the requests must not grow yet are considered only if
// there is no other upstream, and suspected upstreams come last.
func (s *State) Choose(at model.Time, q *Query) (Choice, bool) {
	svc := s.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	svc.initWorkTimes(q.Objective)
	s.regionShift.advance(at)
	p := s.placementOf(at, svc, q)
	s.countDemand(at, svc, p)
	assigned, found := s.cheapest(at, svc, q, p, candidateFilter{assignedOnly: true, meetsDeadline: true})
	if found && (q.Objective <= 0 || assigned.ResponseTime <= q.Objective) {
		return assigned, true
	}
	if found && QueueTooLong(assigned.ResponseTime, assigned.QueueTime, q.Objective) {
		if other, ok := s.cheapest(at, svc, q, p, candidateFilter{limitRegionShift: true, primaryOnly: true, meetsDeadline: true, freeSlots: true}); ok {
			return other, true
		}
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

// candidateFilter restricts which upstreams are compared.
type candidateFilter struct {
	// assignedOnly excludes all upstreams but the primary and secondary of the
	// assigned group. primaryOnly excludes all but the primary of each group.
	assignedOnly, primaryOnly bool
	// limitRegionShift excludes the upstreams of regions whose share of this
	// instance's requests must not grow now, so that requests do not move between
	// regions too fast.
	limitRegionShift bool
	// meetsDeadline excludes upstreams where the request is expected to miss its
	// deadline.
	meetsDeadline bool
	// freeSlots excludes the upstreams of groups that are busy.
	freeSlots bool
	// allowSuspected also includes suspected upstreams and those with an expired
	// lease.
	allowSuspected bool
}

// candidates returns the upstreams that the placement leaves to the filter, in the
// order of their identifiers: a few of them, where the filter names their place.
func (f *candidateFilter) candidates(svc *service, p *placement) []*target {
	var list []*target
	switch {
	case f.assignedOnly && p == nil:
		return nil
	case f.assignedOnly:
		list = p.assignedTargets()
	case f.primaryOnly && p != nil:
		for _, g := range p.groups {
			if !f.freeSlots || g.load < g.slots {
				list = append(list, g.primary)
			}
		}
	default:
		return svc.targets
	}
	slices.SortFunc(list, func(a, b *target) int { return strings.Compare(string(a.registration.ID), string(b.registration.ID)) })
	return list
}

// excludes reports whether the filter excludes an upstream because of the upstream's
// region.
func (f *candidateFilter) excludes(s *State, t *target) bool {
	return f.limitRegionShift && !s.regionShift.allows(t.region)
}

// cheapest returns the upstream with the lowest cost among those that may
// receive the request now and that the filter does not exclude, and whether
// there is one.
func (s *State) cheapest(at model.Time, svc *service, q *Query, p *placement, filter candidateFilter) (Choice, bool) {
	var best *target
	var bestCost float64
	var bestEstimate estimate
	for _, t := range filter.candidates(svc, p) {
		if !s.canReceiveNow(at, svc, t, q, filter.allowSuspected) || filter.excludes(s, t) {
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
		ID: best.registration.ID, StartMs: best.registration.StartTimeMs, Address: best.registration.Address, Zone: best.registration.Zone, Cached: s.isCached(at, p, best), objectHash: p.hash(),
		ResponseTime: model.Duration(bestEstimate.responseTime), QueueTime: model.Duration(bestEstimate.queueTime),
		MeanWorkTime: model.Duration(svc.meanTime), MaxConnections: s.maxConnections(svc), MaxIdleTime: s.maxIdleTime(at, best)}, true
}

// canReceiveNow reports whether an upstream may receive the request at this
// time.
func (s *State) canReceiveNow(at model.Time, svc *service, t *target, q *Query, allowSuspected bool) bool {
	switch {
	case t.evacuated || slices.Contains(q.Tried, t.registration.ID):
		return false
	case len(q.HomeRegions) > 0 && !slices.Contains(q.HomeRegions, t.region):
		return false
	case !allowSuspected && (t.suspected(at) || t.expired):
		return false
	}
	return t.pause.allows(at, t.inFlight) && s.mayPaceNow(at, svc, t)
}

// estimate holds the expected times of a request at an upstream and its cost to
// other requests, in nanoseconds.
type estimate struct {
	// responseTime is the time until the response is complete. queueTime is the
	// part of it before the work starts.
	responseTime, queueTime float64
	// costToOthers is the expected delay that the request causes for other
	// requests, 0 if its object is cached.
	costToOthers float64
}

// estimateFor estimates the times and costs of a request at an upstream.
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

// roundTrip returns the shortest measured round-trip time to the upstream's
// zone, or an assumed one if none has been measured.
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

// transferCost returns the cost of transferring the response from the
// upstream's zone to this instance, in nanoseconds.
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

// smallRegionCost returns the cost of an upstream in another region with fewer
// slots of the service than the mean of all regions, in nanoseconds.
func (s *State) smallRegionCost(svc *service, t *target) float64 {
	if t.region == s.self.Regions[s.self.Zone] {
		return 0
	}
	return float64(maxSmallRegionCost) * max(0, 1-svc.relativeSlots[t.region])
}

// maxConnections returns the largest number of connections that this instance
// may have to each upstream of the service, 0 for no limit. It is twice an
// equal share of the limit of an upstream, to allow for uneven traffic. The sum
// over all instances may therefore exceed that limit. In practice the
// connections stay below it, since the slots and the queue of the upstream
// bound the requests in flight.
func (s *State) maxConnections(svc *service) int {
	if svc.spec == nil || svc.spec.MaxConnections == 0 {
		return 0
	}
	return max(2, 2*svc.spec.MaxConnections/max(1, s.EntryInstances))
}
