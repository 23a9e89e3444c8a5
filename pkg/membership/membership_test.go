package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// epoch is the virtual time at which every run starts. Virtual time advances
	// in steps of resolution.
	epoch      = model.Time(1_700_000_000 * 1e9)
	resolution = 10 * time.Millisecond
)

// packet is a message in transit that arrives at the time at.
type packet struct {
	at       model.Time
	from, to int
	message  message.Message
}

// network simulates several instances and the messages between them in virtual
// time.
type network struct {
	rng     *rand.Rand
	now     model.Time
	nodes   []*State // nil while an instance is down
	packets []packet
	loss    float64
	blocked func(from, to int) bool
	// sent counts the messages that each instance has sent. mostUpdates is the
	// largest number of updates in one ping. declaredDead counts how often any
	// instance has declared another one dead.
	sent         []int
	mostUpdates  int
	declaredDead int
}

// newNetwork starts n instances and runs them until all of them know each
// other.
func newNetwork(seed uint64, n int) *network {
	w := &network{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, nodes: make([]*State, n), sent: make([]int, n)}
	for k := range n {
		w.start(k)
	}
	w.run(time.Duration(20+n/5) * time.Second)
	return w
}

func instanceID(k int) model.InstanceID { return model.InstanceID(fmt.Sprintf("i%03d", k)) }

// start starts a new process of an instance and connects it to instance 0.
// Instance 0 itself is connected to instance 1.
func (w *network) start(k int) {
	self := message.Member{ID: instanceID(k), Incarnation: model.Incarnation(w.now), Zone: model.Zone(fmt.Sprint("z", k%5)), PeerAddress: string(instanceID(k))}
	w.nodes[k] = New(self, w.rng.Uint64())
	w.nodes[k].Start(w.now)
	seed := 0
	if k == 0 {
		seed = 1
	}
	if w.nodes[seed] != nil {
		w.step(k, func(out *event.Effects) { w.nodes[k].PeerConnected(w.now, w.nodes[seed].self, out) })
	}
}

// step runs one reducer step of an instance and sends its messages.
func (w *network) step(k int, f func(*event.Effects)) {
	var out event.Effects
	f(&out)
	for _, e := range out.List() {
		switch e := e.(type) {
		case event.Send:
			w.send(k, e)
		case event.Log:
			if e.Code == logevent.MemberDead {
				w.declaredDead++
			}
		}
	}
}

// send sends a message with a random delay, unless it is lost or blocked.
func (w *network) send(k int, e event.Send) {
	var to int
	_, _ = fmt.Sscanf(string(e.To), "i%d", &to)
	w.sent[k]++
	if p, ok := e.Message.(*message.MemberPing); ok {
		w.mostUpdates = max(w.mostUpdates, len(p.Updates))
	}
	if w.rng.Float64() < w.loss || w.blocked != nil && w.blocked(k, to) {
		return
	}
	delay := model.Duration(w.rng.Int64N(int64(60 * time.Millisecond)))
	w.packets = append(w.packets, packet{w.now.Add(delay), k, to, e.Message})
}

// run advances virtual time by d, delivers the messages that arrive and wakes the
// instances whose timers are due.
func (w *network) run(d model.Duration) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(resolution) {
		packets := w.packets
		w.packets = nil
		for _, p := range packets {
			switch {
			case p.at > w.now:
				w.packets = append(w.packets, p)
			case w.nodes[p.to] != nil:
				w.step(p.to, func(out *event.Effects) { w.nodes[p.to].Receive(w.now, instanceID(p.from), p.message, out) })
			}
		}
		for k, s := range w.nodes {
			if s != nil && s.NextWake() <= w.now {
				w.step(k, func(out *event.Effects) { s.Wake(w.now, out) })
			}
		}
	}
}

// viewErrors lists the errors in the results of Serving at all running
// instances. It is an error if a result contains an instance that does not run or
// an incarnation that has ended, or if its length is not want.
func (w *network) viewErrors(want int) []string {
	var errors []string
	for k, s := range w.nodes {
		if s == nil {
			continue
		}
		serving := s.Serving()
		for _, m := range serving {
			var i int
			_, _ = fmt.Sscanf(string(m.ID), "i%d", &i)
			if w.nodes[i] == nil || w.nodes[i].self.Incarnation != m.Incarnation {
				errors = append(errors, fmt.Sprintf("%s lists %s, which has ended", instanceID(k), m.ID))
			}
		}
		if len(serving) != want {
			errors = append(errors, fmt.Sprintf("%s lists %d instances, not %d", instanceID(k), len(serving), want))
		}
	}
	return errors
}

// Guards against suspicions that are not refuted, dead instances that stay
// listed, restarts that are not detected, and planned stops that are not
// announced. Each run chooses the instances that fail at random and loses one in
// ten messages.
var _ = It("instances agree on the serving instances after random faults", func() {
	t := GinkgoTB()
	for seed := range uint64(30) {
		RegisterTestingT(t)
		n := 5 + int(seed%16)
		w := newNetwork(seed, n)
		w.loss = 0.1
		w.run(20 * time.Second)
		dead, restarted, leaving := 1+w.rng.IntN(n-1), w.rng.IntN(n), w.rng.IntN(n)
		w.nodes[dead] = nil
		if restarted != dead {
			w.start(restarted)
		}
		want := n - 1
		if leaving != dead {
			want--
			w.step(leaving, func(out *event.Effects) { w.nodes[leaving].Leave(w.now, out) })
		}
		w.run(20 * time.Second)
		w.loss = 0
		w.run(15 * time.Second)
		Expect(w.viewErrors(want)).To(BeEmpty(), "seed %d", seed)
		w.start(dead)
		w.run(10 * time.Second)
		Expect(w.viewErrors(want+1)).To(BeEmpty(), "seed %d", seed)
	}
})

// Guards against a live instance that is declared dead because messages from one
// other instance do not reach it.
var _ = It("live instance is not declared dead when one path is broken", func() {
	g := NewWithT(GinkgoTB())
	w := newNetwork(1, 10)
	w.blocked = func(from, to int) bool { return from == 2 && to == 3 }
	w.run(time.Minute)
	g.Expect(w.declaredDead).To(BeZero())
	g.Expect(w.viewErrors(10)).To(BeEmpty())
})

// Guards against an instance that connects after the leave was announced and
// lists the leaving instance. Also guards against a leaving instance that does
// not wait for an instance that has not received the announcement.
var _ = It("leaving instance is not listed", func() {
	g := NewWithT(GinkgoTB())
	w := newNetwork(1, 11)
	w.blocked = func(from, to int) bool { return from == 4 && to == 7 }
	w.step(4, func(out *event.Effects) { w.nodes[4].Leave(w.now, out) })
	w.run(200 * time.Millisecond)
	_, disseminated := w.nodes[4].LeaveDisseminated(w.now)
	g.Expect(disseminated).To(BeFalse())
	w.blocked = nil
	unblockedAt := w.now
	w.run(2 * time.Second)
	since, disseminated := w.nodes[4].LeaveDisseminated(w.now)
	g.Expect(disseminated).To(BeTrue())
	g.Expect(since).To(BeNumerically(">", unblockedAt))
	g.Expect(w.viewErrors(10)).To(BeEmpty())

	// Instance 9 restarts and connects to the leaving instance 4, whose hello does
	// not contain that it is leaving.
	w.start(9)
	hello := message.Member{ID: instanceID(4), Incarnation: w.nodes[4].self.Incarnation, Zone: w.nodes[4].self.Zone, PeerAddress: string(instanceID(4))}
	for range 20 {
		w.step(9, func(out *event.Effects) { w.nodes[9].PeerConnected(w.now, hello, out) })
		g.Expect(w.nodes[9].Serving()).NotTo(ContainElement(HaveField("ID", instanceID(4))))
		w.run(100 * time.Millisecond)
	}
	g.Expect(w.viewErrors(10)).To(BeEmpty())
})

// Guards against a live instance that is declared dead because it does not learn
// that it is suspected.
var _ = It("live instance refutes a suspicion", func() {
	g := NewWithT(GinkgoTB())
	w := newNetwork(1, 10)
	suspect := w.nodes[3].self
	suspect.Status = message.MemberSuspect
	w.step(7, func(out *event.Effects) { w.nodes[7].merge(w.now, suspect, out) })
	g.Expect(w.nodes[7].Serving()).To(HaveLen(9))
	w.run(minSuspicionTimeout)
	g.Expect(w.nodes[3].self.Revision).To(BeNumerically(">", suspect.Revision))
	g.Expect(w.declaredDead).To(BeZero())
	g.Expect(w.viewErrors(10)).To(BeEmpty())
})

// Guards against two sides of a partition that keep each other as dead after the
// partition has healed.
var _ = It("all instances are listed after a partition heals", func() {
	g := NewWithT(GinkgoTB())
	w := newNetwork(1, 10)
	w.blocked = func(from, to int) bool { return from%5 == 0 != (to%5 == 0) }
	w.run(time.Minute)
	g.Expect(w.nodes[0].Serving()).To(HaveLen(2))
	g.Expect(w.nodes[1].Serving()).To(HaveLen(8))
	w.blocked = nil
	w.run(30 * time.Second)
	g.Expect(w.viewErrors(10)).To(BeEmpty())
})

// Guards against a process that was frozen during a probe and then suspects the
// probed instance, although it could not receive the acknowledgement.
var _ = It("process that was frozen suspects no instance", func() {
	g := NewWithT(GinkgoTB())
	w := newNetwork(1, 10)
	s := w.nodes[4]
	s.probes.target = instanceID(5)
	w.step(4, func(out *event.Effects) { s.Wake(w.now.Add(20*time.Second), out) })
	g.Expect(s.Serving()).To(HaveLen(10))
})

// Guards against a message rate per instance, or a number of updates per
// message, that grows with the number of instances.
var _ = It("message rate does not grow with the number of instances", func() {
	t := GinkgoTB()
	g := NewWithT(t)
	for _, n := range []int{10, 50, 200} {
		w := newNetwork(1, n)
		g.Expect(w.viewErrors(n)).To(BeEmpty())
		clear(w.sent)
		w.nodes[n-1] = nil
		w.run(time.Minute)
		g.Expect(w.viewErrors(n - 1)).To(BeEmpty())
		maxSent := 0
		for _, k := range w.sent {
			maxSent = max(maxSent, k)
		}
		t.Logf("%d instances: at most %.1f messages/s of one instance, at most %d updates on one message", n, float64(maxSent)/60, w.mostUpdates)
		// In each of the 60 seconds an instance sends about 2 messages: a ping
		// and an acknowledgement. The limit of 5 messages a second leaves 3 for
		// the probes of the dead instance and for pages of the member list.
		g.Expect(maxSent).To(BeNumerically("<", 5*60))
		g.Expect(w.mostUpdates).To(BeNumerically("<=", maxUpdates))
	}
})
