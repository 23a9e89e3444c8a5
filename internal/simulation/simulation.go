package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/state"
)

const (
	startTime      = model.Time(time.Hour)
	loadDuration   = 7 * time.Second
	settleDuration = 6 * time.Second
	shortTimeout   = 900 * time.Millisecond
	// longTimeout is the request timeout of a service whose attempts may last
	// longer than their permits are valid.
	longTimeout = 4500 * time.Millisecond
	// maxExtraDelay is the longest additional delay of a late message.
	maxExtraDelay = 4 * time.Second
	// maxDelay is the longest regular one-way delay between two processes.
	maxDelay           = 60 * time.Millisecond
	maxSlowServiceTime = 700 * time.Millisecond
	// warmUpReads is the number of additional reads that one instance receives.
	// From them it learns the response times of the service, which it needs for
	// hedging.
	warmUpReads    = 30
	warmUpInterval = 50 * time.Millisecond
)

// sim runs several composed reducers over a network that loses, delays,
// duplicates and reorders messages, with upstreams that execute the requests they
// receive.
type sim struct {
	rng       *rand.Rand
	now       model.Time
	scheduled alarm.Queue[func()]
	config    model.Config
	instances []*instance
	upstreams []*fakeUpstream
	requests  map[requestID]*callerRequest
	nextID    model.RequestID
	// partitioned holds the pairs of zones, sender first, between which messages
	// and connections are lost.
	partitioned   map[[2]model.Zone]bool
	disabledRules state.DisabledRules
	// steps counts the events. This counter and the others on this line show
	// whether the schedules cover the behavior under test.
	steps, permitsGranted, shiftedDispatches, hedges, gracefulStops int
	violations                                                      []string
}

// requestID identifies a request across all processes of all instances.
type requestID struct {
	instance    model.InstanceID
	incarnation model.Incarnation
	id          model.RequestID
}

// callerRequest records what happened to one request of a caller.
type callerRequest struct {
	idempotent          bool
	executions          int
	ended               bool
	reportedNotExecuted bool
	instanceCrashed     bool
}

// instance is an entry instance. Its state is nil while it is down.
type instance struct {
	id          model.InstanceID
	zone        model.Zone
	incarnation model.Incarnation
	state       *state.State
	timerSeq    int
	attempts    map[model.AttemptID]*attempt
}

// attempt is one dispatch of a request to an upstream.
type attempt struct {
	instance *instance
	// state belongs to the process that dispatched the attempt. After a restart,
	// the instance has another state.
	state    *state.State
	request  requestID
	dispatch event.Dispatch
	upstream *fakeUpstream
	shifted  bool
	ended    bool
	relayed  bool
}

// fakeUpstream is a simulated upstream with slots. It stays the same over
// restarts of its process.
type fakeUpstream struct {
	id                  model.UpstreamID
	service             model.ServiceName
	zone                model.Zone
	slots               int
	incarnation         model.Incarnation
	state               model.UpstreamState
	drainedAt           model.Time
	firstAnnouncement   bool
	alive               bool
	ownerIndex          int
	failedAnnouncements int
	executing           map[model.AttemptID]*attempt
	// received holds the attempts whose request or cancellation has arrived at the
	// upstream.
	received map[model.AttemptID]bool
}

func (s *sim) after(d time.Duration, f func()) { s.scheduled.Add(s.now.Add(d), f) }

// chance returns true with the given probability in percent.
func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) randomDelay() time.Duration { return s.randomDuration(time.Millisecond, maxDelay) }

func (s *sim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

// newSim builds a deployment of two regions, with two zones in the first and one
// in the second.
func newSim(seed uint64, disabledRules state.DisabledRules) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: startTime, disabledRules: disabledRules,
		requests: map[requestID]*callerRequest{}, partitioned: map[[2]model.Zone]bool{},
	}
	short := model.Profile{Class: "short", MaxAttempts: 3, DeadlineMs: shortTimeout.Milliseconds(), QueueLimit: 30}
	reads, writes, shifted, exports := short, short, short, short
	reads.Name, reads.Repeat, reads.Hedge, reads.Spill = "reads", model.RetryIdempotent, true, model.SpillAny
	writes.Name, writes.Repeat, writes.Spill = "writes", model.RetryIfNotRun, model.SpillAny
	shifted.Name, shifted.Repeat, shifted.Spill = "shifted", model.RetryIdempotent, model.SpillRegion
	exports.Name, exports.Class, exports.Repeat, exports.Spill = "exports", "long", model.RetryIfNotRun, model.SpillAny
	exports.DeadlineMs = longTimeout.Milliseconds()
	s.config = model.Config{
		Version:  1,
		Zones:    []model.ZoneInfo{{Zone: "a1", Region: "a"}, {Zone: "a2", Region: "a"}, {Zone: "b1", Region: "b"}},
		Profiles: []model.Profile{reads, writes, shifted, exports},
		Services: []model.Service{{Name: "reads", Profile: "reads"}, {Name: "writes", Profile: "writes"}, {Name: "shifted", Profile: "shifted"},
			{Name: "exports", Profile: "exports"}},
		Shifts: []model.Shift{{ID: "s1", Service: "shifted", From: "a", To: "b", Percent: 80, Cap: 2}},
	}
	for i, zone := range []model.Zone{"a1", "a1", "a2", "b1", "b1"} {
		inst := &instance{id: model.InstanceID(fmt.Sprintf("%s-%d", zone, i)), zone: zone}
		s.instances = append(s.instances, inst)
		s.config.Roster = append(s.config.Roster, model.RosterEntry{ID: inst.id, Zone: zone})
	}
	for _, inst := range s.instances {
		s.startInstance(inst)
	}
	for i, service := range []model.ServiceName{"reads", "writes", "shifted", "reads", "writes", "shifted", "shifted", "exports", "exports"} {
		zone := s.config.Zones[(i+i/3)%3].Zone
		if service == "shifted" {
			zone = []model.Zone{"a1", "b1", "b1"}[i/3]
		}
		u := &fakeUpstream{id: model.UpstreamID(fmt.Sprintf("%s-%d", service, i)), service: service, zone: zone,
			slots: 1 + s.rng.IntN(3), ownerIndex: s.rng.IntN(len(s.instances))}
		s.upstreams = append(s.upstreams, u)
		s.startUpstream(u)
	}
	return s
}

// run runs the whole schedule, and checks the requests if it had no violation.
func (s *sim) run() {
	end := startTime.Add(loadDuration)
	for at := startTime; at < end; at = at.Add(s.randomDuration(5*time.Millisecond, 60*time.Millisecond)) {
		s.scheduled.Add(at, s.sendRandomRequest)
	}
	for k := range warmUpReads {
		s.scheduled.Add(startTime.Add(time.Second+time.Duration(k)*warmUpInterval), func() { s.sendRequest(s.instances[0], "reads") })
	}
	for range 1 + s.rng.IntN(5) {
		s.scheduled.Add(startTime.Add(s.randomDuration(time.Second, loadDuration)), s.injectFault)
	}
	s.runUntil(end.Add(settleDuration))
	if len(s.violations) == 0 {
		s.checkRequests()
	}
}

// runUntil runs the scheduled functions that are due up to the given time. It
// stops early after a violation.
func (s *sim) runUntil(end model.Time) {
	for {
		next := s.scheduled.Next()
		if next == 0 || next > end || len(s.violations) > 0 {
			break
		}
		s.now = max(s.now, next)
		f, _ := s.scheduled.Pop(next)
		f()
	}
}
