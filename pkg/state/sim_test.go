package state

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	simStart    = model.Time(time.Hour)
	simLoad     = 7 * time.Second
	simSettle   = 6 * time.Second
	simDeadline = 900 * time.Millisecond
	// simLongDeadline lets permits outlive their validity.
	simLongDeadline = 4500 * time.Millisecond
	// simMaxLate is the longest delay of a message that comes late.
	simMaxLate = 4 * time.Second
	// simMaxDelay is the longest one-way delay between any two processes.
	simMaxDelay = 60 * time.Millisecond
	simSlow     = 700 * time.Millisecond
)

// sim runs several composed reducers over a network that loses, delays,
// repeats and reorders messages, with upstreams that run what reaches them.
type sim struct {
	rng       *rand.Rand
	now       model.Time
	queue     alarm.Queue[func()]
	config    model.Config
	nodes     []*simNode
	upstreams []*simUpstream
	requests  map[simRequestID]*simRequest
	nextID    model.RequestID
	cut       map[[2]model.Zone]bool
	faults    func(*State)
	// ran counts the events, to show that a schedule did something.
	ran, granted, shifted, hedges, stops int
	violations                           []string
}

type simRequestID struct {
	node        model.InstanceID
	incarnation model.Incarnation
	id          model.RequestID
}

type simRequest struct {
	arrived    model.Time
	idempotent bool
	runs       int
	ended      bool
	notRun     bool
	lost       bool // the instance crashed
}

type simNode struct {
	id          model.InstanceID
	zone        model.Zone
	incarnation model.Incarnation
	state       *State
	timer       int
	attempts    map[model.AttemptID]*simAttempt
}

type simAttempt struct {
	node     *simNode
	state    *State
	request  simRequestID
	dispatch event.Dispatch
	upstream *simUpstream
	shifted  bool
	ended    bool
	canceled bool
	answered bool
	relayed  bool
}

type simUpstream struct {
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
	running     map[model.AttemptID]*simAttempt
	seen        map[model.AttemptID]bool
}

func (s *sim) after(d time.Duration, f func()) { s.queue.Add(s.now.Add(d), f) }

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) delay() time.Duration { return s.between(time.Millisecond, simMaxDelay) }

func (s *sim) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now.Sub(simStart))+fmt.Sprintf(format, args...))
}

// newSim builds a deployment of two regions with two zones each.
func newSim(seed uint64, faults func(*State)) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), now: simStart, faults: faults,
		requests: map[simRequestID]*simRequest{}, cut: map[[2]model.Zone]bool{},
	}
	short := model.Profile{Class: "short", MaxAttempts: 3, DeadlineMs: simDeadline.Milliseconds(), QueueLimit: 30}
	reads, writes, shifted, exports := short, short, short, short
	reads.Name, reads.Repeat, reads.Hedge, reads.Spill = "reads", model.RepeatFreely, true, model.SpillAny
	writes.Name, writes.Repeat, writes.Spill = "writes", model.RepeatIfNotRun, model.SpillAny
	shifted.Name, shifted.Repeat, shifted.Spill = "shifted", model.RepeatFreely, model.SpillRegion
	exports.Name, exports.Class, exports.Repeat, exports.Spill = "exports", "long", model.RepeatIfNotRun, model.SpillAny
	exports.DeadlineMs = simLongDeadline.Milliseconds()
	s.config = model.Config{
		Version:  1,
		Zones:    []model.ZoneInfo{{Zone: "a1", Region: "a"}, {Zone: "a2", Region: "a"}, {Zone: "b1", Region: "b"}},
		Profiles: []model.Profile{reads, writes, shifted, exports},
		Services: []model.Service{{Name: "reads", Profile: "reads"}, {Name: "writes", Profile: "writes"}, {Name: "shifted", Profile: "shifted"},
			{Name: "exports", Profile: "exports"}},
		Shifts: []model.Shift{{ID: "s1", Service: "shifted", From: "a", To: "b", Percent: 80, Cap: 2}},
	}
	for i, zone := range []model.Zone{"a1", "a1", "a2", "b1", "b1"} {
		n := &simNode{id: model.InstanceID(fmt.Sprintf("%s-%d", zone, i)), zone: zone}
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
		u := &simUpstream{id: model.UpstreamID(fmt.Sprintf("%s-%d", service, i)), service: service, zone: zone,
			slots: 1 + s.rng.IntN(3), owner: s.rng.IntN(len(s.nodes))}
		s.upstreams = append(s.upstreams, u)
		s.startUpstream(u)
	}
	return s
}

// boot starts a process of the instance and connects it to the others.
func (s *sim) boot(n *simNode) {
	n.incarnation = model.Incarnation(s.now)
	n.state = New(Identity{ID: n.id, Incarnation: n.incarnation, Zone: n.zone, Address: string(n.id), Seed: s.rng.Uint64()}, nil)
	if s.faults != nil {
		s.faults(n.state)
	}
	n.attempts = map[model.AttemptID]*simAttempt{}
	n.timer++
	s.step(n, event.Started{})
	s.step(n, event.ConfigLoaded{Config: s.config})
	for _, m := range s.nodes {
		if m != n && m.state != nil {
			s.connect(n, m)
			s.connect(m, n)
		}
	}
}

func (s *sim) connect(n, m *simNode) {
	if n.state != nil && m.state != nil && !s.cut[[2]model.Zone{n.zone, m.zone}] {
		s.step(n, event.PeerConnected{Peer: m.id, Incarnation: m.incarnation, Zone: m.zone, Address: string(m.id)})
	}
}

func (s *sim) crash(n *simNode) {
	id, incarnation := n.id, n.incarnation
	n.state = nil
	for key, r := range s.requests {
		if key.node == id && key.incarnation == incarnation && !r.ended {
			r.lost = true
		}
	}
	for _, m := range s.nodes {
		if m.state != nil {
			s.after(s.delay(), func() {
				if m.state != nil && n.incarnation == incarnation {
					s.step(m, event.PeerLost{Peer: id})
				}
			})
		}
	}
	s.after(s.between(200*time.Millisecond, 4*time.Second), func() { s.boot(n) })
}

// split cuts the traffic from one zone to another, sometimes in both
// directions, and heals it later.
func (s *sim) split() {
	a := s.config.Zones[s.rng.IntN(3)].Zone
	b := s.config.Zones[s.rng.IntN(3)].Zone
	cuts := [][2]model.Zone{{a, b}}
	if s.chance(60) {
		cuts = append(cuts, [2]model.Zone{b, a})
	}
	for _, c := range cuts {
		s.cut[c] = true
	}
	s.after(s.between(100*time.Millisecond, 4*time.Second), func() {
		for _, c := range cuts {
			delete(s.cut, c)
		}
		s.eachLink(cuts, s.connect)
	})
	if s.chance(50) {
		s.eachLink(cuts, func(n, m *simNode) {
			if n.state != nil {
				s.step(n, event.PeerLost{Peer: m.id})
			}
		})
	}
}

func (s *sim) eachLink(cuts [][2]model.Zone, f func(n, m *simNode)) {
	for _, c := range cuts {
		for _, n := range s.nodes {
			for _, m := range s.nodes {
				if n != m && n.zone == c[0] && m.zone == c[1] {
					f(n, m)
				}
			}
		}
	}
}

// step hands an event to an instance and carries out the effects.
func (s *sim) step(n *simNode, body event.Body) {
	if n.state == nil {
		return
	}
	s.ran++
	effects := n.state.Step(event.Event{At: s.now, Body: body})
	for _, e := range append([]event.Effect(nil), effects...) {
		s.carryOut(n, e)
	}
}

func (s *sim) carryOut(n *simNode, e event.Effect) {
	state := n.state
	if state == nil {
		return
	}
	switch e := e.(type) {
	case event.SetTimer:
		n.timer++
		timer := n.timer
		s.queue.Add(max(e.At, s.now), func() {
			if n.timer == timer && n.state == state {
				s.step(n, event.TimerFired{})
			}
		})
	case event.Send:
		s.deliver(n, e)
	case event.Dispatch:
		s.dispatch(n, e)
	case event.Relay:
		s.relay(n, e)
	case event.CancelAttempt:
		s.cancel(n, n.attempts[e.Attempt])
	case event.Finish:
		s.finish(simRequestID{n.id, n.incarnation, e.Request}, e.Code)
	case event.Stopped:
		s.stopped(n)
	case event.InvariantFailed:
		s.violation("%s: invariant %s: %s", n.id, e.Name, e.Detail)
	case event.Count:
		if e.Counter == event.PermitsGranted {
			s.granted++
		}
		if e.Counter == event.Hedges {
			s.hedges++
		}
	}
}

func (s *sim) deliver(n *simNode, e event.Send) {
	copies := 1
	if s.chance(6) {
		copies = 2
	}
	m := s.node(e.To)
	for range copies {
		if s.chance(6) || s.cut[[2]model.Zone{n.zone, m.zone}] {
			continue
		}
		d := s.delay()
		if s.chance(3) {
			d += s.between(0, simMaxLate)
		}
		from, incarnation, msg := n.id, n.incarnation, e.Message
		s.after(d, func() { s.step(m, event.PeerReceived{From: from, Incarnation: incarnation, Message: copyOf(msg)}) })
	}
}

// copyOf keeps a receiver from sharing memory with the sender.
func copyOf(m message.Message) message.Message {
	if a, ok := m.(*message.Availability); ok {
		c := *a
		c.Offers = append([]message.Offer(nil), a.Offers...)
		return &c
	}
	return m
}

func (s *sim) node(id model.InstanceID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// arrive sends a request to a random instance that is up.
func (s *sim) arrive() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if s.chance(30) {
		// One instance sees enough requests to learn their usual time and hedge.
		n = s.nodes[0]
	}
	if n.state == nil || n.state.handingOver {
		// Callers have dropped the look-ups that named a stopping instance.
		return
	}
	s.nextID++
	service := s.config.Services[s.rng.IntN(4)].Name
	if s.chance(20) {
		service = "reads"
	}
	method := "GET"
	if service == "writes" {
		method = "POST"
	}
	key := simRequestID{n.id, n.incarnation, s.nextID}
	s.requests[key] = &simRequest{arrived: s.now, idempotent: method == "GET"}
	ev := event.RequestArrived{ID: s.nextID, Service: service, Method: method, Replayable: true,
		Tenant: model.Tenant([]string{"x", "y", "z"}[s.rng.IntN(3)])}
	if s.chance(30) {
		ev.Deadline = s.between(50*time.Millisecond, simDeadline)
	}
	s.step(n, ev)
	if s.chance(5) {
		s.after(s.between(0, 300*time.Millisecond), func() {
			if n.incarnation == key.incarnation {
				s.step(n, event.RequestCanceled{ID: key.id})
			}
		})
	}
}

func (s *sim) finish(key simRequestID, code result.Code) {
	r := s.requests[key]
	if r.ended {
		s.violation("request %d ended twice", key.id)
	}
	r.ended = true
	r.notRun = code.Class() == result.NotRun
}

// check reports what can be seen only at the end.
func (s *sim) check() {
	for key, r := range s.requests {
		if r.notRun && r.runs > 0 {
			s.violation("request %d of %s was told not run and ran", key.id, key.node)
		}
		if !r.idempotent && r.runs > 1 {
			s.violation("request %d of %s ran %d times", key.id, key.node, r.runs)
		}
		if !r.ended && !r.lost {
			s.violation("request %d of %s has not ended", key.id, key.node)
		}
	}
}

// run runs the whole schedule.
func (s *sim) run() {
	end := simStart.Add(simLoad)
	for at := simStart; at < end; at = at.Add(s.between(5*time.Millisecond, 60*time.Millisecond)) {
		s.queue.Add(at, s.arrive)
	}
	for range 1 + s.rng.IntN(5) {
		s.queue.Add(simStart.Add(s.between(time.Second, simLoad)), s.fault)
	}
	s.play(end.Add(simSettle))
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

func (s *sim) fault() {
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	if s.chance(30) {
		u = s.upstreams[len(s.upstreams)-1]
	}
	switch s.rng.IntN(8) {
	case 0, 1:
		if n := s.nodes[s.rng.IntN(len(s.nodes))]; n.state != nil {
			s.crash(n)
		}
	case 2:
		s.split()
	case 3:
		s.drain(u)
	case 4:
		s.crashUpstream(u)
	case 5:
		// The upstream announces itself elsewhere, as after failed announcements.
		u.owner = s.rng.IntN(len(s.nodes))
	case 6:
		s.step(s.nodes[s.rng.IntN(len(s.nodes))], event.StopRequested{})
	case 7:
		s.drainBehindCut(u)
	}
}

// drainBehindCut drains an upstream whose zone is heard by no other for a while,
// so that grants made before the drain arrive long after it.
func (s *sim) drainBehindCut(u *simUpstream) {
	var cuts [][2]model.Zone
	for _, z := range s.config.Zones {
		if z.Zone != u.zone {
			cuts = append(cuts, [2]model.Zone{u.zone, z.Zone})
			s.cut[cuts[len(cuts)-1]] = true
		}
	}
	s.after(s.between(0, 500*time.Millisecond), func() { s.drain(u) })
	s.after(s.between(3*time.Second, simMaxLate), func() {
		for _, c := range cuts {
			delete(s.cut, c)
		}
	})
}

func (s *sim) drain(u *simUpstream) {
	if u.up && u.state == model.Serving {
		u.state, u.drainedAt = model.Draining, s.now
		s.announce(u)
	}
}

// stopped ends a process that stopped gracefully.
func (s *sim) stopped(n *simNode) {
	s.stops++
	for key, r := range s.requests {
		if key.node == n.id && key.incarnation == n.incarnation && !r.ended {
			s.violation("%s stopped with request %d open", n.id, key.id)
		}
	}
	s.crash(n)
}
