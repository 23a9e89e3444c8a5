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
var Scenarios = []string{ScenarioSteady, ScenarioSlowUpstreams, ScenarioLongWork, ScenarioDrain,
	ScenarioShiftCold, ScenarioRegionLoss, ScenarioOverload, ScenarioRollingRestart}

const (
	defaultDuration = 20 * time.Second
	// rollingRestartDuration leaves time to restart 11 instances one by one. A
	// restart takes the TTL of lookup results plus the longest download.
	rollingRestartDuration = 30 * time.Second

	// The following constants are offered loads as shares of slot capacity.
	steadyLoad     = 0.6
	longWorkLoad   = 1.2
	overloadLoad   = 1.5
	regionLossLoad = 0.4
	// maxWarmUp is the length of the warm-up, except in short runs, where the
	// warm-up is half of the run. Slow start begins with one slot of an
	// upstream and doubles the number after each second in which attempts
	// succeeded and none failed, so that 9 slots need at least 4 s.
	maxWarmUp = 6 * time.Second
	// warmUpLoadFactor multiplies the load during the warm-up.
	warmUpLoadFactor = 0.4

	// slowUpstreamDivisor makes one in ten upstreams of a service slow.
	slowUpstreamDivisor = 10
	// slowdownFactor multiplies the service times of slow upstreams.
	slowdownFactor = 10
	// A slow upstream is alternately slow for slowPeriod and normal for
	// normalPeriod.
	slowPeriod   = time.Second
	normalPeriod = time.Second
	// loadReportLag is the age of the load that slow upstreams report.
	loadReportLag = 3 * time.Second

	shiftPercent = 50
	// shiftCapShare is the cap of the shift as a share of the slots of the service
	// in the target region.
	shiftCapShare = 0.25

	// restartEndMargin is the time between the start of the last restart and the
	// end of the load.
	restartEndMargin = 5 * time.Second
)

// coldCache describes an upstream with an empty cache: the first request takes
// five times its service time, and the cache is filled after 50 requests.
var coldCache = fake.ColdCache{SlowdownFactor: 5, WarmUpRequests: 50}

// Phase is a part of a run with constant load. It ends when the next phase starts.
type Phase struct {
	// Start is the time from the start of the load to the start of the phase.
	Start time.Duration
	// Load is the offered load of each service as a share of its slot capacity.
	Load []float64
}

// Step is an action with the time of its execution.
type Step struct {
	// At is the time from the start of the load to the execution.
	At     time.Duration
	Action Action
}

// Action describes a change to the running deployment, which a runner executes.
type Action interface{ isAction() }

// SlowUpstreams multiplies the service times of upstreams by a factor.
type SlowUpstreams struct {
	Upstreams []model.UpstreamID
	Factor    float64
}

// SetLoadReports changes how upstreams report their load.
type SetLoadReports struct {
	Upstreams []model.UpstreamID
	Reports   fake.AnnouncementFaults
}

// ClearCaches empties the caches of all upstreams of a service in a region. Cold
// describes how much slower requests are until the caches are filled.
type ClearCaches struct {
	Service model.ServiceName
	Region  model.Region
	Cold    fake.ColdCache
}

// DrainUpstream makes an upstream announce that it drains.
type DrainUpstream struct{ Upstream model.UpstreamID }

// ShiftTraffic adds a traffic shift to the configuration in force.
type ShiftTraffic struct{ Shift model.Shift }

// KillRegion ends all instances and upstreams of a region without notice, as a loss
// of power does.
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

// scenario describes the load and the actions of a run.
type scenario struct {
	duration time.Duration
	phases   []Phase
	steps    []Step
	// lostRegion is the region that the scenario kills at lostAt, "" if it
	// kills none. Callers in the region send nothing from then on.
	lostRegion model.Region
	lostAt     time.Duration
}

// newScenario returns the scenario with the given name. A duration of 0 means the
// scenario's default. The result depends only on the arguments and the seed of the
// random numbers.
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
		s.addSlowUpstreamSteps(plan, rng)
	case ScenarioLongWork:
		s.setLongWorkPhases(plan)
	case ScenarioDrain:
		s.addDrainSteps(plan)
	case ScenarioShiftCold:
		s.addColdShiftSteps(plan)
	case ScenarioRegionLoss:
		s.addRegionLoss(plan)
	case ScenarioOverload:
		s.phases[0].Load = uniformLoad(plan, overloadLoad)
	case ScenarioRollingRestart:
		s.addRestartSteps(plan)
	}
	s.addWarmUp()
	sort.SliceStable(s.steps, func(i, j int) bool { return s.steps[i].At < s.steps[j].At })
	return s
}

// addWarmUp inserts a phase for the warm-up before the first phase. Its load is
// the load of the first phase times warmUpLoadFactor.
func (s *scenario) addWarmUp() {
	full := s.phases[0]
	warmUp := Phase{Load: slices.Clone(full.Load)}
	for i := range warmUp.Load {
		warmUp.Load[i] *= warmUpLoadFactor
	}
	full.Start = s.warmUp()
	s.phases = append([]Phase{warmUp, full}, s.phases[1:]...)
}

// uniformLoad returns the same load for each service.
func uniformLoad(plan *deployment.Plan, load float64) []float64 {
	return slices.Repeat([]float64{load}, len(plan.Services))
}

func (s *scenario) addStep(at time.Duration, a Action) { s.steps = append(s.steps, Step{at, a}) }

// warmUp returns the length of the warm-up. Latencies are not measured in it, since
// connections are opened and caches are filled.
func (s *scenario) warmUp() time.Duration { return min(maxWarmUp, s.duration/2) }

// midpoint returns the middle of the time between the warm-up and the end of the
// load. It separates the two parts of a run that a scenario compares.
func (s *scenario) midpoint() time.Duration { return (s.warmUp() + s.duration) / 2 }

// addSlowUpstreamSteps adds the steps that make a tenth of the upstreams of
// each service, but at least one, alternately slow and normal.
func (s *scenario) addSlowUpstreamSteps(plan *deployment.Plan, rng *rand.Rand) {
	var slowIDs []model.UpstreamID
	for i := range plan.Services {
		serviceIDs := plan.UpstreamsOf(&plan.Services[i])
		rng.Shuffle(len(serviceIDs), func(i, j int) { serviceIDs[i], serviceIDs[j] = serviceIDs[j], serviceIDs[i] })
		slowIDs = append(slowIDs, serviceIDs[:max(1, len(serviceIDs)/slowUpstreamDivisor)]...)
	}
	s.addStep(0, SetLoadReports{slowIDs, fake.AnnouncementFaults{LoadAge: loadReportLag}})
	for at := s.warmUp(); at < s.duration; at += slowPeriod + normalPeriod {
		s.addStep(at, SlowUpstreams{slowIDs, slowdownFactor})
		s.addStep(at+slowPeriod, SlowUpstreams{slowIDs, 1})
	}
}

// setLongWorkPhases sets the phases of ScenarioLongWork. The first half has
// only short requests. In the second half, the load of long requests also
// exceeds the slot capacity of their services.
func (s *scenario) setLongWorkPhases(plan *deployment.Plan) {
	firstHalf, secondHalf := uniformLoad(plan, steadyLoad), uniformLoad(plan, steadyLoad)
	for i := range plan.Services {
		if plan.Services[i].IsLong() {
			firstHalf[i], secondHalf[i] = 0, longWorkLoad
		}
	}
	s.phases = []Phase{{Load: firstHalf}, {Start: s.midpoint(), Load: secondHalf}}
}

// addDrainSteps adds the steps that drain the first upstream of each service,
// one service after the other.
func (s *scenario) addDrainSteps(plan *deployment.Plan) {
	for i := range plan.Services {
		at := s.warmUp() + time.Duration(i)*s.duration/10
		s.addStep(at, DrainUpstream{plan.UpstreamsOf(&plan.Services[i])[0]})
	}
}

// addColdShiftSteps adds the steps that shift half of the requests for the
// first service from the first region to the second one, whose upstreams start
// with empty caches.
func (s *scenario) addColdShiftSteps(plan *deployment.Plan) {
	service := &plan.Services[0]
	regions := plan.Regions()
	shiftCap := int(shiftCapShare * float64(plan.SlotsInRegion(service, regions[1])))
	at := s.warmUp()
	s.addStep(at, ClearCaches{service.Name, regions[1], coldCache})
	s.addStep(at, ShiftTraffic{model.Shift{
		ID: "bench", Service: service.Name, From: regions[0], To: regions[1], Percent: shiftPercent, Cap: shiftCap}})
}

// addRegionLoss adds the step that kills the last region at the midpoint, and
// sets a load that the upstreams of the two remaining regions can serve.
func (s *scenario) addRegionLoss(plan *deployment.Plan) {
	regions := plan.Regions()
	s.lostRegion, s.lostAt = regions[len(regions)-1], s.midpoint()
	s.phases[0].Load = uniformLoad(plan, regionLossLoad)
	s.addStep(s.lostAt, KillRegion{s.lostRegion})
}

// addRestartSteps adds the steps that restart the instances one by one. The
// first instances of all zones are restarted before the second ones, so that
// two instances of a zone are not stopped at the same time.
func (s *scenario) addRestartSteps(plan *deployment.Plan) {
	instances := plan.InterleavedInstances()
	start := s.warmUp()
	interval := max(0, s.duration-start-restartEndMargin) / time.Duration(len(instances))
	for i, id := range instances {
		s.addStep(start+time.Duration(i)*interval, RestartInstance{id})
	}
}
