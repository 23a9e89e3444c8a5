package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// minReportHalfLife is the least age at which the weight of a load report is
	// halved. Where the mean work takes longer, load changes more slowly, so the
	// half-life is the mean time of work.
	minReportHalfLife = 300 * time.Millisecond
	// regionLoadWeight is the weight of one report in the mean load of a region,
	// and regionLoadHalfLife the time in which the mean is halved without new
	// reports.
	regionLoadWeight   = 0.1
	regionLoadHalfLife = 2 * time.Second
	// slowdownTTL is how long a reported slowdown applies. Upstreams change it
	// many times a second.
	slowdownTTL = 500 * time.Millisecond
	// workTimeWeight is the weight of one response in the averages of work time.
	workTimeWeight = 0.1
	// observedSlowdownHalfLife is the time in which an upstream's observed slowness is
	// halved without new responses, so that the upstream receives requests again.
	observedSlowdownHalfLife = time.Second
	// observedSlowdownWeight is the weight of one response in an upstream's slowness.
	observedSlowdownWeight = 0.3
	// refusalWeight is the weight of one response in an upstream's refusal rate.
	refusalWeight = 0.25
	// refusalHalfLife is the time in which the refusal rate is halved.
	refusalHalfLife = time.Second
	// noResponseFactorMany and noResponseFactorFew are how long an upstream may
	// return no response before it is suspected, as multiples of the time of work
	// on an uncached object: the first with at least manyInFlight requests in
	// flight, the second with fewer. Single requests can take several times as
	// long as the average.
	noResponseFactorMany = 1.1
	noResponseFactorFew  = 2.2
	manyInFlight         = 3
	// minNoResponseTimeoutMany is the least such time with many requests in flight. The
	// least time with fewer is longer by the ratio of the two factors.
	minNoResponseTimeoutMany = 450 * time.Millisecond
	// minSuspicionTime and maxSuspicionTime bound how long an upstream receives no
	// requests after a failed send. The time doubles with each consecutive
	// failure.
	minSuspicionTime = 300 * time.Millisecond
	maxSuspicionTime = 4 * time.Second
)

// target is this instance's state of one upstream.
type target struct {
	registration model.Registration
	// idHash is the hash of the identifier.
	idHash uint64
	// recentObjects are the objects that this instance requested recently.
	recentObjects recentObjects
	region        model.Region
	service       *service
	regionLoad    *regionLoad
	evacuated     bool
	expired       bool

	coldUntil model.Time
	pacer     coldPacer
	idleLimit idleLimit

	inFlight int
	report   model.LoadReport
	// reportAt is when the load report arrived, 0 for none. otherLoad is the
	// number of requests of other instances according to the report.
	reportAt  model.Time
	otherLoad float64

	// observedSlowdown is the average ratio of the time of work to the service's average.
	observedSlowdown   float64
	observedSlowdownAt model.Time
	refusalAverage     float64
	refusalsAt         model.Time

	failures     int
	suspectUntil model.Time
	// respondedAt is the later of the last response and the time when the first of
	// the requests in flight was sent.
	respondedAt model.Time
}

// requestStarted counts a request sent to the upstream.
func (t *target) requestStarted(at model.Time) {
	if t.inFlight == 0 {
		t.respondedAt = at
	}
	t.inFlight++
}

// requestEnded removes a request from those in flight.
func (t *target) requestEnded(at model.Time, r Result) {
	t.inFlight = max(0, t.inFlight-1)
	if r == Answered || r == Refused {
		t.respondedAt = at
	}
}

// suspected reports whether the upstream should receive no requests, because it
// failed or because it has returned no response for too long with requests in
// flight. After a failure it receives one request at a time until it responds.
func (t *target) suspected(at model.Time) bool {
	switch {
	case at < t.suspectUntil || t.failures > 0 && t.inFlight > 0:
		return true
	case t.inFlight >= manyInFlight:
		return at > t.respondedAt.Add(t.service.noResponseTimeout(noResponseFactorMany))
	}
	return t.inFlight > 0 && at > t.respondedAt.Add(t.service.noResponseTimeout(noResponseFactorFew))
}

// noResponseTimeout returns how long an upstream of the service may return no
// response, as a multiple of the time of work on an uncached object.
func (s *service) noResponseTimeout(factor float64) model.Duration {
	return model.Duration(factor * max(s.workTime(false), float64(minNoResponseTimeoutMany)/noResponseFactorMany))
}

// load estimates the number of requests at the upstream. As its report ages,
// the load caused by other instances is taken from the mean of the region
// instead: with many entry instances, each receives a report of an upstream
// only rarely.
func (t *target) load(at model.Time) float64 {
	otherLoad := t.regionLoad.current(at)
	if t.reportAt != 0 {
		halfLife := max(minReportHalfLife, model.Duration(t.service.meanTime))
		otherLoad += (t.otherLoad - otherLoad) * decay(at.Sub(t.reportAt), halfLife)
	}
	return float64(t.inFlight) + otherLoad
}

// regionLoad is the mean load that other instances cause at the upstreams of a
// service in a region, according to the load reports.
type regionLoad struct {
	mean float64
	at   model.Time
}

// regionLoad returns the mean load in a region and creates it if needed.
func (s *service) regionLoad(r model.Region) *regionLoad {
	l := s.regionLoads[r]
	if l == nil {
		l = &regionLoad{}
		s.regionLoads[r] = l
	}
	return l
}

// current returns the mean, which decays without reports.
func (l *regionLoad) current(at model.Time) float64 {
	return l.mean * decay(at.Sub(l.at), regionLoadHalfLife)
}

// observe updates the mean with a report.
func (l *regionLoad) observe(at model.Time, otherLoad float64) {
	l.mean = l.current(at) + regionLoadWeight*(otherLoad-l.current(at))
	l.at = at
}

// slots returns the number of requests that the upstream executes concurrently.
func (t *target) slots() float64 { return float64(max(1, t.registration.Slots)) }

// slowdown returns the factor by which work takes longer than the service's
// average, from the upstream's report and from its response times.
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

// refusalRate returns the share of requests that the upstream refused lately.
func (t *target) refusalRate(at model.Time) float64 {
	return t.refusalAverage * decay(at.Sub(t.refusalsAt), refusalHalfLife)
}

// needsPacing reports whether requests to the upstream are paced if its service
// bounds the rate at cold upstreams: while the upstream is cold, and after a
// failure, since an upstream that restarted is cold before it reports so.
func (t *target) needsPacing(at model.Time) bool { return at < t.coldUntil || t.failures > 0 }

// decay returns the factor by which a value has decayed.
func decay(age, halfLife model.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// observeReport stores a load report.
func (t *target) observeReport(at model.Time, r *model.LoadReport) {
	if r == nil {
		return
	}
	t.report = *r
	t.reportAt = at
	// The request whose response carries the report is no longer running.
	t.otherLoad = max(0, float64(r.Running+r.Waiting-t.inFlight))
	t.regionLoad.observe(at, t.otherLoad)
}

// observeRefusal updates the refusal rate; refused is 1 for a refusal, else 0.
func (t *target) observeRefusal(at model.Time, refused float64) {
	t.refusalAverage = t.refusalRate(at)*(1-refusalWeight) + refused*refusalWeight
	t.refusalsAt = at
}

// observeSlowdown updates the slowness with the ratio of the time of work to
// the service's average.
func (t *target) observeSlowdown(at model.Time, ratio float64) {
	now := 1.0
	if t.observedSlowdown > 0 {
		now = 1 + (t.observedSlowdown-1)*decay(at.Sub(t.observedSlowdownAt), observedSlowdownHalfLife)
	}
	t.observedSlowdown = now*(1-observedSlowdownWeight) + ratio*observedSlowdownWeight
	t.observedSlowdownAt = at
}

// recordFailure suspends the upstream for a time that grows with each failure.
func (t *target) recordFailure(at model.Time) {
	pause := min(maxSuspicionTime, minSuspicionTime<<min(t.failures, 8))
	t.failures++
	t.suspectUntil = at.Add(pause)
}

// maxPacingDelay is how long after its scheduled time a request to a cold
// upstream may be sent. Missed send times do not accumulate, since many
// instances would use them at once.
const maxPacingDelay = time.Second

// coldPacer spaces this instance's requests to a cold upstream, so that all
// instances together stay within its rate without communication.
type coldPacer struct {
	nextAt model.Time
}

// allows reports whether a request may be sent now. period is the time between
// two requests; phase, from 0 to 1, differs between instances.
func (p *coldPacer) allows(at model.Time, period model.Duration, phase float64) bool {
	if p.nextAt == 0 {
		p.nextAt = at.Add(model.Duration(phase * float64(period)))
	}
	if late := at.Sub(p.nextAt) - maxPacingDelay; late > 0 {
		p.nextAt = p.nextAt.Add((late/period + 1) * period)
	}
	return at >= p.nextAt
}

// advance records a request and schedules the next one.
func (p *coldPacer) advance(period model.Duration) { p.nextAt = p.nextAt.Add(period) }

// pacingPhase returns the phase of an instance at an upstream, which spreads
// the requests of all instances over the period.
func pacingPhase(self model.InstanceID, t *target) float64 {
	return float64(mixHash(xxhash.Sum64String(string(self))^t.idHash)>>11) / (1 << 53)
}
