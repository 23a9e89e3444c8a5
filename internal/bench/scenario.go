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
	// rollingRestartDuration is the default duration of ScenarioRollingRestart.
	// It is long enough to restart 11 instances one by one. A restart takes as
	// long as the TTL of lookup results plus the longest download.
	rollingRestartDuration = 30 * time.Second

	// The offered loads of the scenarios, as shares of the slot capacity of the
	// upstreams.
	steadyLoad     = 0.6
	longWorkLoad   = 1.2
	overloadLoad   = 1.5
	regionLossLoad = 0.4
	// maxWarmUp is the length of the warm-up, except in short runs, where the
	// warm-up is half of the run. The warm-up gives slow start time to end. Slow
	// start lets an upstream use one slot at first. It doubles the number of
	// slots after each second in which attempts succeeded and none failed, so an
	// upstream with 9 slots needs at least 4 s.
	maxWarmUp = 6 * time.Second
	// warmUpLoadFactor is the load during the warm-up as a share of the load of
	// the first phase.
	warmUpLoadFactor = 0.4

	// In ScenarioSlowUpstreams, one in slowUpstreamDivisor upstreams of a service
	// is slow.
	slowUpstreamDivisor = 10
	// slowdownFactor multiplies the service times of slow upstreams.
	slowdownFactor = 10
	// A slow upstream is alternately slow for slowPeriod and normal for
	// normalPeriod.
	slowPeriod   = time.Second
	normalPeriod = time.Second
	// loadReportLag is how old the load is that slow upstreams report.
	loadReportLag = 3 * time.Second

	// shiftPercent is the percentage of requests that ScenarioShiftCold shifts.
	shiftPercent = 50
	// shiftCapShare is the cap of the traffic shift as a share of the slots that
	// the shifted service has in the target region.
	shiftCapShare = 0.25

	// restartEndMargin is the minimum time between the start of the last restart
	// and the end of the load.
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

// Step is an action and the time at which it is executed.
type Step struct {
	// At is the time from the start of the load to the execution of the action.
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

// SetLoadReports sets faults in the load reports of upstreams, such as the report
// of an old load.
type SetLoadReports struct {
	Upstreams []model.UpstreamID
	Reports   fake.AnnouncementFaults
}

// ClearCaches empties the caches of all upstreams of a service in a region. Cold
// describes how much slower requests are executed until the caches are filled
// again.
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

// scenario describes the load of a run over time and the actions that are executed
// during the run.
type scenario struct {
	duration time.Duration
	phases   []Phase
	steps    []Step
	// lostRegion is the region that the scenario kills at lostAt, or "" if it
	// kills none. Callers in this region send no requests after lostAt.
	lostRegion model.Region
	lostAt     time.Duration
}

// newScenario returns the scenario with the given name. A duration of 0 means the
// scenario's default. Equal arguments and an rng with the same seed lead to the
// same scenario.
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

// addWarmUp inserts a phase for the warm-up before the first phase. The load during
// the warm-up is the load of the first phase times warmUpLoadFactor.
func (s *scenario) addWarmUp() {
	full := s.phases[0]
	warmUp := Phase{Load: slices.Clone(full.Load)}
	for i := range warmUp.Load {
		warmUp.Load[i] *= warmUpLoadFactor
	}
	full.Start = s.warmUp()
	s.phases = append([]Phase{warmUp, full}, s.phases[1:]...)
}

// uniformLoad returns the loads of a phase in which all services have the same
// load.
func uniformLoad(plan *deployment.Plan, load float64) []float64 {
	return slices.Repeat([]float64{load}, len(plan.Services))
}

func (s *scenario) addStep(at time.Duration, a Action) { s.steps = append(s.steps, Step{at, a}) }

// warmUp returns the length of the warm-up. Latencies are not measured during the
// warm-up, since connections are still being opened and caches filled.
func (s *scenario) warmUp() time.Duration { return min(maxWarmUp, s.duration/2) }

// midpoint returns the time halfway between the end of the warm-up and the end of
// the load. Some scenarios change the load or kill a region at this time, so that
// a run has one half before the change and one after it.
func (s *scenario) midpoint() time.Duration { return (s.warmUp() + s.duration) / 2 }

// addSlowUpstreamSteps adds the steps that make some upstreams alternately slow and
// normal: a tenth of the upstreams of each service, but at least one.
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

// setLongWorkPhases sets the phases of ScenarioLongWork. Before the midpoint, there
// are only short requests. After it, there are also long requests, and their load
// exceeds the slot capacity of the services for long requests.
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

// addRegionLoss adds the step that kills the last region of the plan at the
// midpoint. It sets a load that the upstreams in the two other regions can serve
// alone.
func (s *scenario) addRegionLoss(plan *deployment.Plan) {
	regions := plan.Regions()
	s.lostRegion, s.lostAt = regions[len(regions)-1], s.midpoint()
	s.phases[0].Load = uniformLoad(plan, regionLossLoad)
	s.addStep(s.lostAt, KillRegion{s.lostRegion})
}

// addRestartSteps adds the steps that restart the instances one by one. It restarts
// the first instance of every zone before the second instance of any zone, so that
// two instances of the same zone are not down at the same time.
func (s *scenario) addRestartSteps(plan *deployment.Plan) {
	instances := plan.InterleavedInstances()
	start := s.warmUp()
	interval := max(0, s.duration-start-restartEndMargin) / time.Duration(len(instances))
	for i, id := range instances {
		s.addStep(start+time.Duration(i)*interval, RestartInstance{id})
	}
}
