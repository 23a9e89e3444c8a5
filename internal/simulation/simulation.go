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
	start         = model.Time(time.Hour)
	loadTime      = 7 * time.Second
	settleTime    = 6 * time.Second
	shortDeadline = 900 * time.Millisecond
	// longDeadline lets permits outlive their validity.
	longDeadline = 4500 * time.Millisecond
	// maxLate is the longest delay of a message that comes late.
	maxLate = 4 * time.Second
	// maxDelay is the longest one-way delay between any two processes.
	maxDelay = 60 * time.Millisecond
	slowTime = 700 * time.Millisecond
	// warmReads lets one instance learn the usual time of a service, so that it
	// hedges.
	warmReads    = 30
	warmInterval = 50 * time.Millisecond
)

// sim runs several composed reducers over a network that loses, delays,
// repeats and reorders messages, with upstreams that run what reaches them.
type sim struct {
	rng       *rand.Rand
	now       model.Time
	queue     alarm.Queue[func()]
	config    model.Config
	nodes     []*node
	upstreams []*server
	requests  map[requestID]*call
	nextID    model.RequestID
	cut       map[[2]model.Zone]bool
	faults    state.DisabledRules
	// ran counts the events, to show that a schedule did something.
	ran, granted, shifted, hedges, stops int
	violations                           []string
}

// requestID names a request over all processes.
type requestID struct {
	node        model.InstanceID
	incarnation model.Incarnation
	id          model.RequestID
}

// call is one caller's request.
type call struct {
	idempotent bool
	runs       int
	ended      bool
	notRun     bool
	lost       bool // the instance crashed
}

// node is an entry instance; its state is nil while it is down.
type node struct {
	id          model.InstanceID
	zone        model.Zone
	incarnation model.Incarnation
	state       *state.State
	timer       int
	attempts    map[model.AttemptID]*attempt
}

// attempt is the traffic side of one dispatch.
type attempt struct {
	node     *node
	state    *state.State
	request  requestID
	dispatch event.Dispatch
	upstream *server
	shifted  bool
	ended    bool
	relayed  bool
}

// server is an upstream.
type server struct {
	id          model.UpstreamID
	service     model.ServiceName
	zone        model.Zone
	slots       int
	incarnation model.Incarnation
	state       model.UpstreamState
	drainedAt   model.Time
	first       bool
	up          bool
	owner       int
	failed      int
	running     map[model.AttemptID]*attempt
	seen        map[model.AttemptID]bool
}

func (s *sim) after(d time.Duration, f func()) { s.queue.Add(s.now.Add(d), f) }

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) delay() time.Duration { return s.between(time.Millisecond, maxDelay) }

func (s *sim) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now.Sub(start))+fmt.Sprintf(format, args...))
}

// newSim builds a deployment of two regions with two zones each.
func newSim(seed uint64, faults state.DisabledRules) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: start, faults: faults,
		requests: map[requestID]*call{}, cut: map[[2]model.Zone]bool{},
	}
	short := model.Profile{Class: "short", MaxAttempts: 3, DeadlineMs: shortDeadline.Milliseconds(), QueueLimit: 30}
	reads, writes, shifted, exports := short, short, short, short
	reads.Name, reads.Repeat, reads.Hedge, reads.Spill = "reads", model.RetryIdempotent, true, model.SpillAny
	writes.Name, writes.Repeat, writes.Spill = "writes", model.RetryIfNotRun, model.SpillAny
	shifted.Name, shifted.Repeat, shifted.Spill = "shifted", model.RetryIdempotent, model.SpillRegion
	exports.Name, exports.Class, exports.Repeat, exports.Spill = "exports", "long", model.RetryIfNotRun, model.SpillAny
	exports.DeadlineMs = longDeadline.Milliseconds()
	s.config = model.Config{
		Version:  1,
		Zones:    []model.ZoneInfo{{Zone: "a1", Region: "a"}, {Zone: "a2", Region: "a"}, {Zone: "b1", Region: "b"}},
		Profiles: []model.Profile{reads, writes, shifted, exports},
		Services: []model.Service{{Name: "reads", Profile: "reads"}, {Name: "writes", Profile: "writes"}, {Name: "shifted", Profile: "shifted"},
			{Name: "exports", Profile: "exports"}},
		Shifts: []model.Shift{{ID: "s1", Service: "shifted", From: "a", To: "b", Percent: 80, Cap: 2}},
	}
	for i, zone := range []model.Zone{"a1", "a1", "a2", "b1", "b1"} {
		n := &node{id: model.InstanceID(fmt.Sprintf("%s-%d", zone, i)), zone: zone}
		s.nodes = append(s.nodes, n)
		s.config.Roster = append(s.config.Roster, model.RosterEntry{ID: n.id, Zone: zone})
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	for i, service := range []model.ServiceName{"reads", "writes", "shifted", "reads", "writes", "shifted", "shifted", "exports", "exports"} {
		zone := s.config.Zones[(i+i/3)%3].Zone
		if service == "shifted" {
			zone = []model.Zone{"a1", "b1", "b1"}[i/3]
		}
		u := &server{id: model.UpstreamID(fmt.Sprintf("%s-%d", service, i)), service: service, zone: zone,
			slots: 1 + s.rng.IntN(3), owner: s.rng.IntN(len(s.nodes))}
		s.upstreams = append(s.upstreams, u)
		s.startUpstream(u)
	}
	return s
}

// run runs the whole schedule.
func (s *sim) run() {
	end := start.Add(loadTime)
	for at := start; at < end; at = at.Add(s.between(5*time.Millisecond, 60*time.Millisecond)) {
		s.queue.Add(at, s.arrive)
	}
	for k := range warmReads {
		s.queue.Add(start.Add(time.Second+time.Duration(k)*warmInterval), func() { s.request(s.nodes[0], "reads") })
	}
	for range 1 + s.rng.IntN(5) {
		s.queue.Add(start.Add(s.between(time.Second, loadTime)), s.fault)
	}
	s.play(end.Add(settleTime))
	if len(s.violations) == 0 {
		s.check()
	}
}

// play lets everything happen that is due until the end.
func (s *sim) play(end model.Time) {
	for {
		next := s.queue.Next()
		if next == 0 || next > end || len(s.violations) > 0 {
			break
		}
		s.now = max(s.now, next)
		f, _ := s.queue.Pop(next)
		f()
	}
}
