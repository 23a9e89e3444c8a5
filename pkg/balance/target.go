package balance

import (
	"math"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// minReportHalfLife is the least half-life of the weight of a load report. The
	// half-life is the mean work time of the service if that is longer, since the
	// load changes more slowly at services with long work times.
	minReportHalfLife = 300 * time.Millisecond
	// regionLoadWeight is the weight of one load report in the mean load of a
	// region. regionLoadHalfLife is the time in which that mean falls to half if
	// no reports arrive.
	regionLoadWeight   = 0.1
	regionLoadHalfLife = 2 * time.Second
	// maxLoadPerSlot bounds what one report adds to the mean load of a region, in
	// requests per slot of its upstream. One upstream that reports an impossible load
	// must not make all others seem busy.
	maxLoadPerSlot = 8
	// slowdownTTL is how long the slowdown in a load report applies. It is short
	// because the slowdown of an upstream changes many times a second.
	slowdownTTL = 500 * time.Millisecond
	// workTimeWeight is the weight of one response in the averages of the work
	// time.
	workTimeWeight = 0.1
	// observedSlowdownHalfLife is the time in which the excess of an observed
	// slowdown over 1 falls to half if no responses arrive, so that the upstream
	// receives requests again.
	observedSlowdownHalfLife = time.Second
	// observedSlowdownWeight is the weight of one response in the observed
	// slowdown of an upstream.
	observedSlowdownWeight = 0.3
	// refusalWeight is the weight of one response or refusal in an upstream's
	// refusal rate.
	refusalWeight = 0.25
	// refusalHalfLife is the time in which an upstream's refusal rate falls to
	// half if no further responses or refusals arrive.
	refusalHalfLife = time.Second
	// noResponseFactorMany and noResponseFactorFew multiply the work time on an
	// uncached object. The product is how long an upstream with requests in flight
	// may return no response before it is suspected. The first applies from
	// manyInFlight requests in flight on, the second to fewer: a single request
	// can take several times as long as the average.
	noResponseFactorMany = 1.1
	noResponseFactorFew  = 2.2
	manyInFlight         = 3
	// minNoResponseTimeoutMany is the least time without a response before an
	// upstream with manyInFlight or more requests in flight is suspected. With
	// fewer requests, the least time is longer by the ratio of the two factors.
	minNoResponseTimeoutMany = 450 * time.Millisecond
	// minSuspicionTime and maxSuspicionTime bound how long an upstream receives no
	// requests after a failed send. This time doubles with each consecutive
	// failure.
	minSuspicionTime = 300 * time.Millisecond
	maxSuspicionTime = 4 * time.Second
)

// target holds what this instance knows about one upstream and about its own
// requests to that upstream.
type target struct {
	registration model.Registration
	// idHash is the hash of the upstream's identifier.
	idHash uint64
	// recentObjects are the objects that this instance recently requested from the
	// upstream.
	recentObjects recentObjects
	region        model.Region
	// regionIndex and zoneIndex number the regions and zones of all upstreams.
	regionIndex, zoneIndex int
	service                *service
	regionLoad             *regionLoad
	evacuated              bool
	expired                bool

	coldUntil model.Time
	pacer     pacer
	limit     requestLimit
	pause     pause
	idleLimit idleLimit

	inFlight int
	report   model.LoadReport
	// reportAt is when the load report arrived, 0 if there is none. otherLoad is
	// the number of requests of other instances at the upstream according to the
	// report.
	reportAt  model.Time
	otherLoad float64

	// observedSlowdown is the moving average of the work time at the upstream
	// divided by the service's average, 0 before the first response.
	// observedSlowdownAt is when it was updated.
	observedSlowdown   float64
	observedSlowdownAt model.Time
	refusalAverage     float64
	refusalsAt         model.Time

	failures     int
	suspectUntil model.Time
	// noResponseSince is the time from which the no-response timeout counts: when
	// the last response arrived, or when a request was sent while no other was in
	// flight, whichever is later.
	noResponseSince model.Time
}

// requestStarted counts a request sent to the upstream.
func (t *target) requestStarted(at model.Time) {
	if t.inFlight == 0 {
		t.noResponseSince = at
	}
	t.inFlight++
}

// requestEnded records that a request to the upstream has ended. A response or
// a refusal restarts the no-response timeout.
func (t *target) requestEnded(at model.Time, r Result) {
	t.inFlight = max(0, t.inFlight-1)
	if r == Answered || r == Refused {
		t.noResponseSince = at
	}
}

// suspected reports whether the upstream should receive no requests: for some
// time after a failed send, and while it has requests in flight and has
// returned no response for too long. After a failed send it receives one
// request at a time until it responds.
func (t *target) suspected(at model.Time) bool {
	switch {
	case at < t.suspectUntil || t.failures > 0 && t.inFlight > 0:
		return true
	case t.inFlight >= manyInFlight:
		return at > t.noResponseSince.Add(t.service.noResponseTimeout(noResponseFactorMany))
	}
	return t.inFlight > 0 && at > t.noResponseSince.Add(t.service.noResponseTimeout(noResponseFactorFew))
}

// noResponseTimeout returns how long an upstream of the service with requests
// in flight may return no response before it is suspected. The factor is
// noResponseFactorMany or noResponseFactorFew.
func (s *service) noResponseTimeout(factor float64) model.Duration {
	return model.Duration(factor * max(s.workTime(false), float64(minNoResponseTimeoutMany)/noResponseFactorMany))
}

// load estimates the number of requests at the upstream. The load of other
// instances is taken from the upstream's load report. As the report ages, the
// mean load of the region replaces it: with many entry instances, each instance
// rarely receives a report of a particular upstream.
func (t *target) load(at model.Time) float64 {
	otherLoad := t.regionLoad.current(at)
	if t.reportAt != 0 {
		halfLife := max(minReportHalfLife, model.Duration(t.service.meanTime))
		otherLoad += (t.otherLoad - otherLoad) * decay(at.Sub(t.reportAt), halfLife)
	}
	return float64(t.inFlight) + otherLoad
}

// regionLoad is the mean load that the requests of other instances cause at the
// upstreams of a service in a region, according to the load reports. updatedAt
// is when the mean was updated.
type regionLoad struct {
	mean      float64
	updatedAt model.Time
	// now is the mean at nowAt, which current returned last. One selection asks for
	// the mean once for each upstream of the region.
	now   float64
	nowAt model.Time
}

// regionLoad returns the state of the load in a region and creates it if
// needed.
func (s *service) regionLoad(r model.Region) *regionLoad {
	l := s.regionLoads[r]
	if l == nil {
		l = &regionLoad{}
		s.regionLoads[r] = l
	}
	return l
}

// current returns the mean load at the given time. It decays if no reports
// arrive.
func (l *regionLoad) current(at model.Time) float64 {
	if at != l.nowAt {
		l.now, l.nowAt = l.mean*decay(at.Sub(l.updatedAt), regionLoadHalfLife), at
	}
	return l.now
}

// observe updates the mean with the load of other instances at an upstream
// according to its load report.
func (l *regionLoad) observe(at model.Time, otherLoad float64) {
	l.mean = l.current(at) + regionLoadWeight*(otherLoad-l.current(at))
	l.updatedAt, l.nowAt = at, 0
}

// slots returns the number of requests that the upstream executes concurrently,
// at least 1.
func (t *target) slots() float64 { return float64(max(1, t.registration.Slots)) }

// slowdown returns the ratio of the upstream's work time to the service's
// average: the larger of the reported and the observed slowdown, at least 0.5.
func (t *target) slowdown(at model.Time) float64 {
	slowdown := 1.0
	if t.reportAt != 0 && at < t.reportAt.Add(slowdownTTL) && t.report.Slowdown > 0 {
		slowdown = t.report.Slowdown
	}
	if t.observedSlowdown > 1 {
		observed := 1 + (t.observedSlowdown-1)*decay(at.Sub(t.observedSlowdownAt), observedSlowdownHalfLife)
		slowdown = max(slowdown, observed)
	}
	return max(slowdown, 0.5)
}

// refusalRate returns the moving average of the share of requests that the
// upstream refused.
func (t *target) refusalRate(at model.Time) float64 {
	return t.refusalAverage * decay(at.Sub(t.refusalsAt), refusalHalfLife)
}

// needsPacing reports whether the upstream must be treated as cold. This
// includes the time after a failure, since an upstream that restarted is cold
// before it reports so.
func (t *target) needsPacing(at model.Time) bool { return at < t.coldUntil || t.failures > 0 }

// decay returns the fraction, from 0 to 1, that remains of a value with the
// given half-life.
func decay(age, halfLife model.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// observeReport stores the load report of a response, if there is one.
func (t *target) observeReport(at model.Time, r *model.LoadReport) {
	if r == nil {
		return
	}
	t.report = *r
	t.reportAt = at
	// The request whose response carries the report is no longer running.
	t.otherLoad = max(0, float64(r.Running+r.Waiting-t.inFlight))
	t.regionLoad.observe(at, min(t.otherLoad, maxLoadPerSlot*t.slots()))
}

// observeRefusal updates the refusal rate. refused is 1 if the upstream refused
// the request, else 0.
func (t *target) observeRefusal(at model.Time, refused float64) {
	t.refusalAverage = t.refusalRate(at)*(1-refusalWeight) + refused*refusalWeight
	t.refusalsAt = at
}

// observeSlowdown updates the observed slowdown. ratio is the work time divided
// by the service's average.
func (t *target) observeSlowdown(at model.Time, ratio float64) {
	now := 1.0
	if t.observedSlowdown > 0 {
		now = 1 + (t.observedSlowdown-1)*decay(at.Sub(t.observedSlowdownAt), observedSlowdownHalfLife)
	}
	t.observedSlowdown = now*(1-observedSlowdownWeight) + ratio*observedSlowdownWeight
	t.observedSlowdownAt = at
}

// recordFailure makes the upstream suspected for a time that doubles with each
// consecutive failure.
func (t *target) recordFailure(at model.Time) {
	pause := min(maxSuspicionTime, minSuspicionTime<<min(t.failures, 8))
	t.failures++
	t.suspectUntil = at.Add(pause)
}
