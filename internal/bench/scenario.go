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
	ScenarioSteady         = "steady"
	ScenarioSlowUpstreams  = "slow-upstreams"
	ScenarioLongWork       = "long-work"
	ScenarioDrain          = "drain"
	ScenarioShiftCold      = "shift-cold"
	ScenarioRegionLoss     = "region-loss"
	ScenarioOverload       = "overload"
	ScenarioRollingRestart = "rolling-restart"
)

// Scenarios lists the names of all scenarios.
var Scenarios = []string{ScenarioSteady, ScenarioSlowUpstreams, ScenarioLongWork, ScenarioDrain, ScenarioShiftCold, ScenarioRegionLoss, ScenarioOverload, ScenarioRollingRestart}

const (
	defaultDuration = 20 * time.Second
	// A restart takes the TTL of look-ups and the longest download, and 11
	// instances have to get their turn.
	rollingRestartDuration = 30 * time.Second

	// steadyLoad, overload and so on are offered load as a share of slot capacity.
	steadyLoad     = 0.6
	longWorkLoad   = 1.2
	overloadLoad   = 1.5
	regionLossLoad = 0.4
	// maxWarmUp is the warm-up at warmUpLoad of the load; short runs take half of
	// their time. Upstreams start slowly by design: with one slot that doubles each
	// second that went well, so that 9 slots take at least 4 s.
	maxWarmUp           = 6 * time.Second
	warmUpLoadFactor    = 0.4
	slowUpstreamDivisor = 10 // one in slowShare upstreams is slow
	slowdownFactor      = 10
	slowPeriod          = time.Second
	normalPeriod        = time.Second
	loadReportLag       = 3 * time.Second
	shiftPercent        = 50
	// shiftCapShare is the cap as a share of the target region's slots.
	shiftCapShare = 0.25
	// restartTail is kept free after the last restart begins.
	restartEndMargin = 5 * time.Second
)

// coldCache makes the first request take five times as long.
var coldCache = fake.Cold{Factor: 5, Requests: 50}

// Phase is the load from a time on: for each service, the offered load as a
// share of its slot capacity.
type Phase struct {
	Start time.Duration
	Load  []float64
}

// Step is an action at a time since the start of the load.
type Step struct {
	At     time.Duration
	Action Action
}

// Action is a change to the running deployment, carried out by a runner.
type Action interface{ isAction() }

// Slow multiplies the service times of upstreams.
type SlowUpstreams struct {
	Upstreams []model.UpstreamID
	Factor    float64
}

// SetReports changes how upstreams report their load.
type SetLoadReports struct {
	Upstreams []model.UpstreamID
	Reports   fake.Reports
}

// Cool empties the caches of a region's upstreams of a service.
type ClearCaches struct {
	Service model.ServiceName
	Region  model.Region
	Cold    fake.Cold
}

// DrainUpstream makes an upstream announce that it drains.
type DrainUpstream struct{ Upstream model.UpstreamID }

// ShiftTraffic puts a traffic shift in force.
type ShiftTraffic struct{ Shift model.Shift }

// LoseRegion ends everything in a region.
type KillRegion struct{ Region model.Region }

// RestartInstance stops an instance gracefully and starts it again.
type RestartInstance struct{ Instance model.InstanceID }

func (SlowUpstreams) isAction()   {}
func (SetLoadReports) isAction()  {}
func (ClearCaches) isAction()     {}
func (DrainUpstream) isAction()   {}
func (ShiftTraffic) isAction()    {}
func (KillRegion) isAction()      {}
func (RestartInstance) isAction() {}

// scenario is what happens during a run.
type scenario struct {
	duration time.Duration
	phases   []Phase
	steps    []Step
	// lost is the region without callers from lostAt on.
	lostRegion model.Region
	lostAt     time.Duration
}

// newScenario makes the scenario of a name. It is pure: the seed decides.
func newScenario(name string, duration time.Duration, plan *deployment.Plan, rng *rand.Rand) *scenario {
	s := &scenario{duration: duration}
	if duration == 0 {
		s.duration = defaultDuration
		if name == ScenarioRollingRestart {
			s.duration = rollingRestartDuration
		}
	}
	s.phases = []Phase{{Load: uniformLoad(plan, steadyLoad)}}
	switch name {
	case ScenarioSteady:
	case ScenarioSlowUpstreams:
		s.defineSlowUpstreams(plan, rng)
	case ScenarioLongWork:
		s.defineLongWork(plan)
	case ScenarioDrain:
		s.defineDrain(plan)
	case ScenarioShiftCold:
		s.defineShiftCold(plan)
	case ScenarioRegionLoss:
		s.defineRegionLoss(plan)
	case ScenarioOverload:
		s.phases[0].Load = uniformLoad(plan, overloadLoad)
	case ScenarioRollingRestart:
		s.defineRollingRestart(plan)
	}
	s.addWarmUp()
	sort.SliceStable(s.steps, func(i, j int) bool { return s.steps[i].At < s.steps[j].At })
	return s
}

// addWarmUp lowers the load of the first phase until the warm-up ends.
func (s *scenario) addWarmUp() {
	full := s.phases[0]
	warmUp := Phase{Load: slices.Clone(full.Load)}
	for i := range warmUp.Load {
		warmUp.Load[i] *= warmUpLoadFactor
	}
	full.Start = s.warmUp()
	s.phases = append([]Phase{warmUp, full}, s.phases[1:]...)
}

func uniformLoad(plan *deployment.Plan, load float64) []float64 {
	return slices.Repeat([]float64{load}, len(plan.Services))
}

func (s *scenario) addStep(at time.Duration, a Action) { s.steps = append(s.steps, Step{at, a}) }

// warmUp is left out of latencies: connections open and caches fill.
func (s *scenario) warmUp() time.Duration { return min(maxWarmUp, s.duration/2) }

// half is where the two parts of a comparison within one run meet, after the
// warm-up.
func (s *scenario) midpoint() time.Duration { return (s.warmUp() + s.duration) / 2 }

// slowUpstreams makes one upstream in ten of each service slow again and again.
func (s *scenario) defineSlowUpstreams(plan *deployment.Plan, rng *rand.Rand) {
	var slowIDs []model.UpstreamID
	for i := range plan.Services {
		serviceIDs := plan.UpstreamsOf(&plan.Services[i])
		rng.Shuffle(len(serviceIDs), func(i, j int) { serviceIDs[i], serviceIDs[j] = serviceIDs[j], serviceIDs[i] })
		slowIDs = append(slowIDs, serviceIDs[:max(1, len(serviceIDs)/slowUpstreamDivisor)]...)
	}
	s.addStep(0, SetLoadReports{slowIDs, fake.Reports{Lag: loadReportLag}})
	for at := s.warmUp(); at < s.duration; at += slowPeriod + normalPeriod {
		s.addStep(at, SlowUpstreams{slowIDs, slowdownFactor})
		s.addStep(at+slowPeriod, SlowUpstreams{slowIDs, 1})
	}
}

// longWork offers short work alone in the first half and with more long work
// than the slots can take in the second.
func (s *scenario) defineLongWork(plan *deployment.Plan) {
	firstHalf, secondHalf := uniformLoad(plan, steadyLoad), uniformLoad(plan, steadyLoad)
	for i := range plan.Services {
		if plan.Services[i].IsLong() {
			firstHalf[i], secondHalf[i] = 0, longWorkLoad
		}
	}
	s.phases = []Phase{{Load: firstHalf}, {Start: s.midpoint(), Load: secondHalf}}
}

// drain drains the first upstream of each service, one after the other.
func (s *scenario) defineDrain(plan *deployment.Plan) {
	for i := range plan.Services {
		at := s.warmUp() + time.Duration(i)*s.duration/10
		s.addStep(at, DrainUpstream{plan.UpstreamsOf(&plan.Services[i])[0]})
	}
}

// shiftCold moves half of the first service's traffic of the first region to
// cold upstreams of the second.
func (s *scenario) defineShiftCold(plan *deployment.Plan) {
	service := &plan.Services[0]
	regions := plan.Regions()
	shiftCap := int(shiftCapShare * float64(plan.SlotsIn(service, regions[1])))
	at := s.warmUp()
	s.addStep(at, ClearCaches{service.Name, regions[1], coldCache})
	s.addStep(at, ShiftTraffic{model.Shift{
		ID: "bench", Service: service.Name, From: regions[0], To: regions[1], Percent: shiftPercent, Cap: shiftCap}})
}

// regionLoss loses the last region in the middle of the run. Load is low enough
// for two regions to carry it.
func (s *scenario) defineRegionLoss(plan *deployment.Plan) {
	regions := plan.Regions()
	s.lostRegion, s.lostAt = regions[len(regions)-1], s.midpoint()
	s.phases[0].Load = uniformLoad(plan, regionLossLoad)
	s.addStep(s.lostAt, KillRegion{s.lostRegion})
}

// rollingRestart restarts the instances one by one. First instances of all zones
// come before second ones, so that neighbours are not away together.
func (s *scenario) defineRollingRestart(plan *deployment.Plan) {
	instances := plan.InstancesByTurn()
	start := s.warmUp()
	interval := max(0, s.duration-start-restartEndMargin) / time.Duration(len(instances))
	for i, id := range instances {
		s.addStep(start+time.Duration(i)*interval, RestartInstance{id})
	}
}
