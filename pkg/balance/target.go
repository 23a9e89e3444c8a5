package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// minReportHalfLife is the least age at which a load report counts half. Where
	// work takes longer, load changes more slowly and the usual time of work is
	// that age.
	minReportHalfLife = 300 * time.Millisecond
	// crowdWeight is the weight of one report in the mean load of a region, and
	// crowdHalfLife how fast the mean is forgotten without new reports.
	regionLoadWeight   = 0.1
	regionLoadHalfLife = 2 * time.Second
	// slowdownFresh is how long a stated slowdown counts. It changes many times a
	// second.
	slowdownTTL = 500 * time.Millisecond
	// latencyWeight is the weight of one response in moving averages.
	workTimeWeight = 0.1
	// slownessHalfLife is how fast an upstream's observed slowness is forgotten
	// without new responses, so that it gets work again.
	slownessHalfLife = time.Second
	// slownessWeight is the weight of one response in an upstream's slowness.
	slownessWeight = 0.3
	// refusalWeight is the weight of one response in an upstream's refusal rate.
	refusalWeight = 0.25
	// refusalHalfLife is how fast refusals are forgotten.
	refusalHalfLife = time.Second
	// silenceOfMany and silenceOfOne are how long an upstream may answer nothing
	// while requests wait, in times of work on an unknown object. Single requests
	// can take several times as long as usual ones.
	manySilenceFactor   = 1.1
	singleSilenceFactor = 2.2
	manyInFlight        = 3
	// minSilence is the least such time for many requests; that for one is longer
	// by the same factor as above.
	minManySilence = 450 * time.Millisecond
	// minSuspicion and maxSuspicion bound the time that an upstream gets no work
	// after failed sends; each failure in a row doubles it.
	minSuspicionTime = 300 * time.Millisecond
	maxSuspicionTime = 4 * time.Second
)

// target is one upstream as this instance sees it.
type target struct {
	registration model.Registration
	// hash is that of the identifier.
	idHash uint64
	// objects are those that this instance sent requests for.
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
	// reportAt is when the report arrived, 0 for none; others is the work of
	// other instances that it showed.
	reportAt  model.Time
	otherLoad float64

	// slowness is how many times longer than usual responses took.
	slowness       float64
	slownessAt     model.Time
	refusalAverage float64
	refusalsAt     model.Time

	failures     int
	suspectUntil model.Time
	// heardAt is when the upstream last answered, or began to have requests that
	// wait for an answer.
	respondedAt model.Time
}

// begin counts a request that goes to the upstream.
func (t *target) requestStarted(at model.Time) {
	if t.inFlight == 0 {
		t.respondedAt = at
	}
	t.inFlight++
}

// end takes the end of a request.
func (t *target) requestEnded(at model.Time, r Result) {
	t.inFlight = max(0, t.inFlight-1)
	if r == Answered || r == Refused {
		t.respondedAt = at
	}
}

// suspected reports whether the upstream should get no work, since it failed or
// has answered nothing for long while requests wait. One that failed gets one
// request at a time until it answers.
func (t *target) suspected(at model.Time) bool {
	switch {
	case at < t.suspectUntil || t.failures > 0 && t.inFlight > 0:
		return true
	case t.inFlight >= manyInFlight:
		return at > t.respondedAt.Add(t.service.silenceTimeout(manySilenceFactor))
	}
	return t.inFlight > 0 && at > t.respondedAt.Add(t.service.silenceTimeout(singleSilenceFactor))
}

// silence returns how long an upstream of the service may answer nothing, as a
// number of times of work.
func (s *service) silenceTimeout(times float64) model.Duration {
	return model.Duration(times * max(s.workTime(false), float64(minManySilence)/manySilenceFactor))
}

// load estimates the requests at the upstream. The older its report, the more
// the work of other instances is taken to be as usual in the region: with many
// entry instances each hears from an upstream seldom.
func (t *target) load(at model.Time) float64 {
	otherLoad := t.regionLoad.current(at)
	if t.reportAt != 0 {
		halfLife := max(minReportHalfLife, model.Duration(t.service.meanTime))
		otherLoad += (t.otherLoad - otherLoad) * decay(at.Sub(t.reportAt), halfLife)
	}
	return float64(t.inFlight) + otherLoad
}

// crowd is the mean work of other instances at the upstreams of a service in a
// region, by their reports.
type regionLoad struct {
	mean float64
	at   model.Time
}

func (s *service) regionLoad(r model.Region) *regionLoad {
	l := s.regionLoads[r]
	if l == nil {
		l = &regionLoad{}
		s.regionLoads[r] = l
	}
	return l
}

// level returns the mean, which fades without reports.
func (l *regionLoad) current(at model.Time) float64 {
	return l.mean * decay(at.Sub(l.at), regionLoadHalfLife)
}

func (l *regionLoad) observe(at model.Time, otherLoad float64) {
	l.mean = l.current(at) + regionLoadWeight*(otherLoad-l.current(at))
	l.at = at
}

// slots returns the number of requests that run at once.
func (t *target) slots() float64 { return float64(max(1, t.registration.Slots)) }

// pace returns how many times longer than usual work takes.
func (t *target) slowdown(at model.Time) float64 {
	slowdown := 1.0
	if t.reportAt != 0 && at < t.reportAt.Add(slowdownTTL) && t.report.Slowdown > 0 {
		slowdown = t.report.Slowdown
	}
	if t.slowness > 1 {
		observed := 1 + (t.slowness-1)*decay(at.Sub(t.slownessAt), slownessHalfLife)
		slowdown = max(slowdown, observed)
	}
	return max(slowdown, 0.5)
}

func (t *target) refusalRate(at model.Time) float64 {
	return t.refusalAverage * decay(at.Sub(t.refusalsAt), refusalHalfLife)
}

// needsTurns reports whether the upstream gets requests by turns if its service
// bounds them: while it is cold, and after a failure, since one that comes back
// is cold before it says so.
func (t *target) needsPacing(at model.Time) bool { return at < t.coldUntil || t.failures > 0 }

// halved returns the factor by which a value has decayed.
func decay(age, halfLife model.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// observeReport keeps a load report.
func (t *target) observeReport(at model.Time, r *model.LoadReport) {
	if r == nil {
		return
	}
	t.report = *r
	t.reportAt = at
	// The response that carries the report no longer runs.
	t.otherLoad = max(0, float64(r.Running+r.Waiting-t.inFlight))
	t.regionLoad.observe(at, t.otherLoad)
}

func (t *target) observeRefusal(at model.Time, refused float64) {
	t.refusalAverage = t.refusalRate(at)*(1-refusalWeight) + refused*refusalWeight
	t.refusalsAt = at
}

func (t *target) observeSlowness(at model.Time, ratio float64) {
	now := 1.0
	if t.slowness > 0 {
		now = 1 + (t.slowness-1)*decay(at.Sub(t.slownessAt), slownessHalfLife)
	}
	t.slowness = now*(1-slownessWeight) + ratio*slownessWeight
	t.slownessAt = at
}

// fail keeps work away for a while.
func (t *target) recordFailure(at model.Time) {
	pause := min(maxSuspicionTime, minSuspicionTime<<min(t.failures, 8))
	t.failures++
	t.suspectUntil = at.Add(pause)
}

// coldHold is how long a turn at a cold upstream may be used. Turns do not add
// up: those of many instances would be used at once.
const maxPacingDelay = time.Second

// turns paces this instance's requests at a cold upstream, so that all instances
// together keep to its rate without talking to each other.
type coldPacer struct {
	nextAt model.Time
}

// ready reports whether there is a turn now. period is the time between two
// turns; phase, from 0 to 1, differs between instances.
func (t *coldPacer) allows(at model.Time, period model.Duration, phase float64) bool {
	if t.nextAt == 0 {
		t.nextAt = at.Add(model.Duration(phase * float64(period)))
	}
	if late := at.Sub(t.nextAt) - maxPacingDelay; late > 0 {
		t.nextAt = t.nextAt.Add((late/period + 1) * period)
	}
	return at >= t.nextAt
}

// take uses a turn.
func (t *coldPacer) advance(period model.Duration) { t.nextAt = t.nextAt.Add(period) }

// coldPhase spreads the turns of instances at an upstream.
func pacingPhase(self model.InstanceID, t *target) float64 {
	return float64(mixHash(xxhash.Sum64String(string(self))^t.idHash)>>11) / (1 << 53)
}
