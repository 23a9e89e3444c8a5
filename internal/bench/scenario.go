package bench

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Names of the scenarios.
const (
	Steady         = "steady"
	SlowUpstreams  = "slow-upstreams"
	LongWork       = "long-work"
	Drain          = "drain"
	ShiftCold      = "shift-cold"
	RegionLoss     = "region-loss"
	Overload       = "overload"
	RollingRestart = "rolling-restart"
)

// Scenarios lists the names of all scenarios.
var Scenarios = []string{Steady, SlowUpstreams, LongWork, Drain, ShiftCold, RegionLoss, Overload, RollingRestart}

const (
	defaultDuration = 20 * time.Second
	// A restart takes the TTL of look-ups and the longest download, and 11
	// instances have to get their turn.
	restartDuration = 30 * time.Second

	// steadyLoad, overload and so on are offered load as a share of slot capacity.
	steadyLoad = 0.6
	heavyLong  = 1.2
	overload   = 1.5
	lossLoad   = 0.4
	// maxWarmUp is the warm-up at warmUpLoad of the load; short runs take half of
	// their time. Upstreams start slowly by design: with one slot that doubles each
	// second that went well, so that 9 slots take at least 4 s.
	maxWarmUp    = 6 * time.Second
	warmUpLoad   = 0.4
	slowShare    = 10 // one in slowShare upstreams is slow
	slowFactor   = 10
	slowMoment   = time.Second
	slowPause    = time.Second
	slowLag      = 3 * time.Second
	shiftPercent = 50
	// shiftCapShare is the cap as a share of the target region's slots.
	shiftCapShare = 0.25
	// restartTail is kept free after the last restart begins.
	restartTail = 5 * time.Second
)

// coldCache makes the first request take five times as long.
var coldCache = fake.ColdCache{SlowdownFactor: 5, WarmUpRequests: 50}

// Phase is the load from a time on: for each service, the offered load as a
// share of its slot capacity.
type Phase struct {
	From time.Duration
	Load []float64
}

// Step is an action at a time since the start of the load.
type Step struct {
	At     time.Duration
	Action Action
}

// Action is a change to the running deployment, carried out by a runner.
type Action interface{ isAction() }

// Slow multiplies the service times of upstreams.
type Slow struct {
	Upstreams []model.UpstreamID
	Factor    float64
}

// SetReports changes how upstreams report their load.
type SetReports struct {
	Upstreams []model.UpstreamID
	Reports   fake.AnnouncementFaults
}

// Cool empties the caches of a region's upstreams of a service.
type Cool struct {
	Service model.ServiceName
	Region  model.Region
	Cold    fake.ColdCache
}

// DrainUpstream makes an upstream announce that it drains.
type DrainUpstream struct{ Upstream model.UpstreamID }

// ShiftTraffic puts a traffic shift in force.
type ShiftTraffic struct{ Shift model.Shift }

// LoseRegion ends everything in a region.
type LoseRegion struct{ Region model.Region }

// RestartInstance stops an instance gracefully and starts it again.
type RestartInstance struct{ Instance model.InstanceID }

func (Slow) isAction()            {}
func (SetReports) isAction()      {}
func (Cool) isAction()            {}
func (DrainUpstream) isAction()   {}
func (ShiftTraffic) isAction()    {}
func (LoseRegion) isAction()      {}
func (RestartInstance) isAction() {}

// scenario is what happens during a run.
type scenario struct {
	duration time.Duration
	phases   []Phase
	steps    []Step
	// lost is the region without callers from lostAt on.
	lost   model.Region
	lostAt time.Duration
}

// newScenario makes the scenario of a name. It is pure: the seed decides.
func newScenario(name string, duration time.Duration, p *deployment.Plan, rng *rand.Rand) *scenario {
	s := &scenario{duration: duration}
	if duration == 0 {
		s.duration = defaultDuration
		if name == RollingRestart {
			s.duration = restartDuration
		}
	}
	s.phases = []Phase{{Load: even(p, steadyLoad)}}
	switch name {
	case Steady:
	case SlowUpstreams:
		s.slowUpstreams(p, rng)
	case LongWork:
		s.longWork(p)
	case Drain:
		s.drain(p)
	case ShiftCold:
		s.shiftCold(p)
	case RegionLoss:
		s.regionLoss(p)
	case Overload:
		s.phases[0].Load = even(p, overload)
	case RollingRestart:
		s.rollingRestart(p)
	}
	s.addWarmUp()
	sort.SliceStable(s.steps, func(i, j int) bool { return s.steps[i].At < s.steps[j].At })
	return s
}

// addWarmUp lowers the load of the first phase until the warm-up ends.
func (s *scenario) addWarmUp() {
	first := s.phases[0]
	low := Phase{Load: slices.Clone(first.Load)}
	for i := range low.Load {
		low.Load[i] *= warmUpLoad
	}
	first.From = s.warmUp()
	s.phases = append([]Phase{low, first}, s.phases[1:]...)
}

func even(p *deployment.Plan, load float64) []float64 {
	return slices.Repeat([]float64{load}, len(p.Services))
}

func (s *scenario) add(at time.Duration, a Action) { s.steps = append(s.steps, Step{at, a}) }

// warmUp is left out of latencies: connections open and caches fill.
func (s *scenario) warmUp() time.Duration { return min(maxWarmUp, s.duration/2) }

// half is where the two parts of a comparison within one run meet, after the
// warm-up.
func (s *scenario) half() time.Duration { return (s.warmUp() + s.duration) / 2 }

// slowUpstreams makes one upstream in ten of each service slow again and again.
func (s *scenario) slowUpstreams(p *deployment.Plan, rng *rand.Rand) {
	var ids []model.UpstreamID
	for i := range p.Services {
		all := p.UpstreamsOf(&p.Services[i])
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		ids = append(ids, all[:max(1, len(all)/slowShare)]...)
	}
	s.add(0, SetReports{ids, fake.AnnouncementFaults{LoadAge: slowLag}})
	for at := s.warmUp(); at < s.duration; at += slowMoment + slowPause {
		s.add(at, Slow{ids, slowFactor})
		s.add(at+slowMoment, Slow{ids, 1})
	}
}

// longWork offers short work alone in the first half and with more long work
// than the slots can take in the second.
func (s *scenario) longWork(p *deployment.Plan) {
	without, with := even(p, steadyLoad), even(p, steadyLoad)
	for i := range p.Services {
		if p.Services[i].IsLong() {
			without[i], with[i] = 0, heavyLong
		}
	}
	s.phases = []Phase{{Load: without}, {From: s.half(), Load: with}}
}

// drain drains the first upstream of each service, one after the other.
func (s *scenario) drain(p *deployment.Plan) {
	for i := range p.Services {
		at := s.warmUp() + time.Duration(i)*s.duration/10
		s.add(at, DrainUpstream{p.UpstreamsOf(&p.Services[i])[0]})
	}
}

// shiftCold moves half of the first service's traffic of the first region to
// cold upstreams of the second.
func (s *scenario) shiftCold(p *deployment.Plan) {
	service := &p.Services[0]
	regions := p.Regions()
	limit := int(shiftCapShare * float64(p.SlotsInRegion(service, regions[1])))
	at := s.warmUp()
	s.add(at, Cool{service.Name, regions[1], coldCache})
	s.add(at, ShiftTraffic{model.Shift{
		ID: "bench", Service: service.Name, From: regions[0], To: regions[1], Percent: shiftPercent, Cap: limit}})
}

// regionLoss loses the last region in the middle of the run. Load is low enough
// for two regions to carry it.
func (s *scenario) regionLoss(p *deployment.Plan) {
	regions := p.Regions()
	s.lost, s.lostAt = regions[len(regions)-1], s.half()
	s.phases[0].Load = even(p, lossLoad)
	s.add(s.lostAt, LoseRegion{s.lost})
}

// rollingRestart restarts the instances one by one. First instances of all zones
// come before second ones, so that neighbours are not away together.
func (s *scenario) rollingRestart(p *deployment.Plan) {
	order := p.InterleavedInstances()
	start := s.warmUp()
	gap := max(0, s.duration-start-restartTail) / time.Duration(len(order))
	for i, id := range order {
		s.add(start+time.Duration(i)*gap, RestartInstance{id})
	}
}
