package distribution_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/distribution"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// sim is a deployment in virtual time. The log commits at once at every member,
// so that it shows the faults of distribution alone.
type sim struct {
	g       *WithT
	rng     *rand.Rand
	now     model.Time
	nodes   []*node
	leader  model.InstanceID
	term    uint64
	queue   actions
	seq     int
	blocked map[[2]model.InstanceID]bool
	faults  bool
	results map[string]change.Result
	winners map[model.Version]string
	// appended holds the proposals in the log. Each proposal of a change has a
	// time of its own: an operator may send one change through two instances.
	appended map[model.Time]bool
}

type node struct {
	sim         *sim
	id          model.InstanceID
	incarnation model.Incarnation
	disk        bool
	saved       *model.Config
	member      bool
	shown       model.Version
	state       *distribution.State
	machine     *change.State
	entries     []*change.Change
	replies     []event.Effect
	calls       map[event.CallID]change.Change
}

type action struct {
	at  model.Time
	seq int
	do  func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, action{s.now.Add(d), s.seq, do})
}

// newSim starts instances of which the first three are members of the control
// group; every second one has a disk.
func newSim(t testing.TB, seed uint64, size int) *sim {
	s := &sim{g: NewWithT(t), rng: rand.New(rand.NewPCG(seed, 7)), now: 1e9, leader: "i-00",
		blocked: map[[2]model.InstanceID]bool{}, results: map[string]change.Result{}, winners: map[model.Version]string{},
		appended: map[model.Time]bool{}}
	for i := range size {
		n := &node{sim: s, id: model.InstanceID(fmt.Sprintf("i-%02d", i)), member: i < 3, disk: i%2 == 0,
			machine: change.New(), calls: map[event.CallID]change.Change{}}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.commit(&change.Change{ID: "bootstrap", Author: "settings",
		Operation: change.Operation{Kind: change.Bootstrap, Config: s.first()}})
	return s
}

func (s *sim) first() *model.Config {
	c := &model.Config{Zones: []model.ZoneInfo{{Zone: "a", Region: "r"}, {Zone: "b", Region: "q"}}}
	for _, n := range s.nodes {
		c.Roster = append(c.Roster, model.RosterEntry{ID: n.id, Zone: "a"})
	}
	return c
}

// start begins a process of the instance; a disk keeps what was saved.
func (n *node) start() {
	s := n.sim
	n.incarnation = model.Incarnation(s.now)
	n.state = distribution.New(distribution.Identity{ID: n.id, Incarnation: n.incarnation, Zone: "a", HasDisk: n.disk,
		Seed: s.rng.Uint64()}, n, n.machine, n)
	if n.disk {
		n.shown = 0
		if n.saved != nil {
			n.shown = n.saved.Version - 1
		}
	} else {
		n.shown = 0
	}
	n.step(func(out *event.Effects) {
		n.state.Start(s.now)
		if n.saved != nil {
			n.state.Load(s.now, n.saved, out)
		}
	})
	for _, p := range s.nodes {
		if p != n && p.state != nil {
			n.step(func(out *event.Effects) { n.state.PeerConnected(s.now, p.id, p.incarnation, "a", out) })
			p.step(func(out *event.Effects) {
				p.state.PeerLost(s.now, n.id, out)
				p.state.PeerConnected(s.now, n.id, n.incarnation, "a", out)
			})
		}
	}
}

// Status implements distribution.Control.
func (n *node) Status(model.Time) distribution.ControlStatus {
	leads := n.id == n.sim.leader
	return distribution.ControlStatus{Member: n.member, Leading: leads, Current: leads, Leader: n.sim.leader, Term: 1 + n.sim.term,
		Members: []model.InstanceID{"i-00", "i-01", "i-02"}}
}

// Propose implements distribution.Control. The commit takes a moment.
func (n *node) Propose(_ model.Time, c *change.Change, _ *event.Effects) result.Code {
	entry := *c
	n.sim.after(5*time.Millisecond, func() { n.sim.commit(&entry) })
	return result.Answered
}

// commit applies an entry at every member, and checks that equal ids get equal
// results and that each version has one winner.
func (s *sim) commit(c *change.Change) {
	s.appended[c.Time] = true
	for _, n := range s.nodes[:3] {
		n.entries = append(n.entries, c)
		r := n.machine.Apply(uint64(len(n.entries)), c)
		if first, ok := s.results[c.ID]; ok {
			s.g.Expect(r).To(Equal(first), "change %s", c.ID)
		}
		s.results[c.ID] = r
		if r.Code == result.Answered {
			if w, ok := s.winners[r.Version]; ok {
				s.g.Expect(w).To(Equal(c.ID), "two winners of version %d", r.Version)
			}
			s.winners[r.Version] = c.ID
		}
		n.step(func(out *event.Effects) { n.state.ChangeCommitted(s.now, c, r, n.machine.Config(), out) })
	}
}

// Install implements distribution.Installer and checks that versions rise.
func (n *node) Install(_ model.Time, c *model.Config, _ *event.Effects) {
	n.sim.g.Expect(c.Version).To(BeNumerically(">", n.shown), "%s went back", n.id)
	n.shown = c.Version
}

func (n *node) step(f func(*event.Effects)) {
	var out event.Effects
	f(&out)
	s, current := n.sim, n.state
	for _, e := range out.List() {
		switch e := e.(type) {
		case event.Send:
			s.deliver(n, e)
		case event.SaveConfig:
			s.after(3*time.Millisecond, func() {
				if n.state != current {
					return
				}
				n.saved = &e.Config
				n.step(func(out *event.Effects) {
					n.state.ConfigSaved(s.now, event.ConfigSaved{Version: e.Config.Version}, out)
				})
			})
		case event.InvariantFailed:
			s.g.Expect(e).To(BeNil())
		case event.ChangeReply, event.StatusReply, event.HistoryReply:
			n.replies = append(n.replies, e)
		}
	}
	n.arm()
}

// arm wakes the node when it is due.
func (n *node) arm() {
	if next, current := n.state.NextWake(), n.state; next != 0 {
		n.sim.after(max(0, next.Sub(n.sim.now)), func() {
			if n.state == current && n.state.NextWake() != 0 && n.state.NextWake() <= n.sim.now {
				n.step(func(out *event.Effects) { n.state.Wake(n.sim.now, out) })
			}
		})
	}
}

// deliver sends a message with delay; with faults it is also lost, doubled and
// overtaken.
func (s *sim) deliver(from *node, e event.Send) {
	copies, spread := 1, 2
	if s.faults {
		spread = 200
		switch s.rng.IntN(10) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		s.after(time.Duration(1+s.rng.IntN(spread))*time.Millisecond, func() {
			to := s.node(e.To)
			if s.blocked[[2]model.InstanceID{from.id, e.To}] {
				return
			}
			to.step(func(out *event.Effects) {
				to.state.Receive(s.now, from.id, e.Message, out)
				to.state.CheckLeaderChange(s.now, out)
			})
		})
	}
}

func (s *sim) node(id model.InstanceID) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		a := heap.Pop(&s.queue).(action)
		s.now = max(s.now, a.at)
		a.do()
	}
	s.now = end
}

// cut blocks random pairs, some in one direction only.
func (s *sim) cut() {
	clear(s.blocked)
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.blocked[[2]model.InstanceID{a.id, b.id}] = s.rng.IntN(4) == 0
		}
	}
}

func (s *sim) propose(n *node, c change.Change) {
	call := event.CallID(len(n.calls) + 1)
	s.seq++
	c.Time = model.Time(s.seq)
	n.calls[call] = c
	n.step(func(out *event.Effects) { n.state.Propose(s.now, &event.ChangeProposed{Call: call, Change: c}, out) })
}

// nextChange returns a change of the present version.
func (s *sim) nextChange(i int) change.Change {
	return change.Change{ID: fmt.Sprintf("change-%d", i), Expected: s.nodes[0].machine.Version(), Author: "ada",
		Operation: change.Operation{Kind: change.SetLinks, Links: []model.Link{{A: "r", B: "q", BytesPerSecond: int64(i + 1)}}}}
}

// checkReplies compares what operators were told with what was committed.
func (s *sim) checkReplies() (known int) {
	for _, n := range s.nodes {
		for _, e := range n.replies {
			reply, ok := e.(event.ChangeReply)
			if !ok {
				continue
			}
			c := n.calls[reply.Call]
			switch reply.Result.Code {
			case result.ChangeUnknown:
			case result.NotLeader, result.ControlUnavailable:
				s.g.Expect(s.appended).NotTo(HaveKey(c.Time), "refused proposal of %s was appended", c.ID)
			default:
				s.g.Expect(reply.Result).To(Equal(s.results[c.ID]))
				known++
			}
		}
	}
	return known
}

// Guards against versions that go back, two winners of one version, two results
// of one id, a refused change that took effect, and an instance that stays
// behind after the faults heal. Bound: 5 s after the heal, at 11 instances.
var _ = Describe("random faults", func() {
	for seed := range uint64(20) {
		It(fmt.Sprint("seed ", seed), func() {
			t := GinkgoTB()
			s := newSim(t, seed, 11)
			s.run(time.Second)
			s.faults = true
			for i := range 60 {
				c := s.nextChange(i)
				if s.rng.IntN(5) == 0 {
					c.Expected--
				}
				for range 1 + s.rng.IntN(2) {
					s.propose(s.nodes[s.rng.IntN(len(s.nodes))], c)
				}
				if i%7 == 0 {
					s.cut()
				}
				if i%9 == 4 {
					s.leader = s.nodes[s.rng.IntN(3)].id
					s.term++
				}
				if i%11 == 5 {
					s.nodes[3+s.rng.IntN(8)].start()
				}
				s.run(time.Duration(s.rng.IntN(400)) * time.Millisecond)
			}
			s.faults = false
			clear(s.blocked)
			s.run(5 * time.Second)
			want := s.nodes[0].machine.Config()
			for _, n := range s.nodes {
				s.g.Expect(n.state.Version()).To(Equal(want.Version), "%s stayed behind", n.id)
				s.g.Expect(n.state.Config().Links).To(Equal(want.Links))
			}
			s.g.Expect(s.checkReplies()).To(BeNumerically(">", 0))
		})
	}
})

// Guards against a push that is slower than its target of 1 s without faults,
// and against a status that waits although the version is in force everywhere,
// or that does not name the instance that lacks it.
var _ = It("status names who lacks the version", func() {
	t := GinkgoTB()
	s := newSim(t, 3, 11)
	s.run(time.Second)
	asker := s.nodes[9]
	s.propose(asker, s.nextChange(1))
	s.run(100 * time.Millisecond)
	s.g.Expect(asker.replies).To(HaveLen(1))
	version := asker.replies[0].(event.ChangeReply).Result.Version
	ask := func(wait time.Duration) message.Status {
		asker.replies = nil
		asker.step(func(out *event.Effects) {
			asker.state.QueryStatus(s.now, event.StatusRequested{Version: version, Wait: wait}, out)
		})
		s.run(wait + 100*time.Millisecond)
		s.g.Expect(asker.replies).To(HaveLen(1))
		return asker.replies[0].(event.StatusReply).Status
	}
	status := ask(900 * time.Millisecond)
	s.g.Expect(status.Current).To(BeTrue())
	for _, i := range status.Instances {
		s.g.Expect(i.Version).To(Equal(version), "%s", i.Instance)
	}
	lagging := s.nodes[10]
	for _, n := range s.nodes {
		s.blocked[[2]model.InstanceID{n.id, lagging.id}] = true
	}
	s.propose(s.nodes[0], s.nextChange(2))
	s.run(100 * time.Millisecond)
	version = s.nodes[0].machine.Version()
	for _, i := range ask(time.Second).Instances {
		s.g.Expect(i.Version == version).To(Equal(i.Instance != lagging.id), "%s", i.Instance)
	}
})

// Guards against a lost answer that is told as a refusal, and against an
// isolated instance that claims to be current.
var _ = It("lost answer is unknown", func() {
	t := GinkgoTB()
	s := newSim(t, 4, 5)
	s.run(time.Second)
	asker := s.nodes[4]
	for _, n := range s.nodes {
		s.blocked[[2]model.InstanceID{n.id, asker.id}] = true
	}
	s.propose(asker, s.nextChange(1))
	s.run(10 * time.Millisecond)
	asker.step(func(out *event.Effects) { asker.state.QueryStatus(s.now, event.StatusRequested{}, out) })
	s.run(distribution.ChangeTimeout + time.Millisecond)
	s.g.Expect(asker.replies).To(HaveLen(2))
	s.g.Expect(asker.replies[0].(event.StatusReply).Status.Current).To(BeFalse())
	s.g.Expect(asker.replies[1].(event.ChangeReply).Result.Code).To(Equal(result.ChangeUnknown))
	s.g.Expect(s.results).To(HaveKey("change-1"))
})

// Guards against an operator who waits for a leader that was isolated after it
// took the change, although another one leads already.
var _ = It("ends the wait for a replaced leader", func() {
	t := GinkgoTB()
	s := newSim(t, 4, 5)
	s.run(time.Second)
	for _, n := range s.nodes[1:] {
		s.blocked[[2]model.InstanceID{"i-00", n.id}] = true
		s.blocked[[2]model.InstanceID{n.id, "i-00"}] = true
	}
	former, asker, outside := s.nodes[0], s.nodes[1], s.nodes[4]
	s.propose(asker, s.nextChange(1))
	s.propose(former, s.nextChange(2))
	s.propose(outside, s.nextChange(3))
	s.leader, s.term = "i-01", 1
	for _, n := range []*node{former, asker} {
		n.step(func(out *event.Effects) { n.state.CheckLeaderChange(s.now, out) })
	}
	asker.step(func(out *event.Effects) { asker.state.AnnounceLeader(s.now, out) })
	s.run(10 * time.Millisecond)
	for _, n := range []*node{former, asker, outside} {
		s.g.Expect(n.replies).To(HaveLen(1))
		s.g.Expect(n.replies[0].(event.ChangeReply).Result.Code).To(Equal(result.ChangeUnknown))
	}
})
