package ledger

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Indexes of the instances of the test network. The first three instances are
// the replica group of zone "a".
const (
	a1 = iota
	a2
	b1
	c1
	c2
)

// leaveRunning is an onGranted handler that never records an outcome.
func leaveRunning(*request) {}

// recordAfterDelay records an answer 200 ms after each grant.
func (n *network) recordAfterDelay(body int) {
	n.onGranted = func(r *request) {
		n.schedule(200*time.Millisecond, func() {
			n.record(r, &model.Answer{Status: 201, Body: make([]byte, body)})
		})
	}
}

// queryKeyState returns the state of the key that instance c2 reports.
func (n *network) queryKeyState(key model.IdempotencyKey) string {
	var reply event.Effect
	p := n.nodes[c2]
	n.onOutcomeReply = func(e event.OutcomeReply) { reply = e }
	n.step(p, func(out *event.Effects) { p.state.Query(n.clock(p), event.OutcomeRequested{Call: 1, Key: key}, out) })
	n.run(2 * time.Second)
	return reply.(event.OutcomeReply).State.String()
}

// Each case is named after the failure that it guards against. It injects faults
// while a key is in use and returns the last request with the key.
var _ = Describe("failures", func() {
	for _, c := range []struct {
		name string
		code result.Code
		// replayed is true if the request receives the recorded answer.
		replayed bool
		keyState string
		run      func(n *network, key model.IdempotencyKey) *request
	}{
		{"key is executed by two instances at the same time", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			first, second := n.send(c1, key, 1, time.Second), n.send(c2, key, 1, time.Second)
			n.run(time.Second)
			if first.answer != nil {
				return first
			}
			return second
		}},
		{"retry waits beyond its deadline", result.KeyInProgress, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			return n.send(c2, key, 1, 300*time.Millisecond)
		}},
		{"claimant crashes before it has a majority and blocks the key", result.Success, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.blocked[[2]model.InstanceID{"a1", "c1"}] = true
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.restart(c1)
			return n.send(c1, key, 1, time.Second)
		}},
		{"claimant crashes with a majority and the key is executed again", result.KeyInProgress, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.restart(c1)
			return n.send(c2, key, 1, time.Second)
		}},
		{"restart of one replica loses the answer", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			n.restart(a1)
			return n.send(c2, key, 1, time.Second)
		}},
		{"two restarted replicas grant a key again", result.KeyForgotten, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.blocked[[2]model.InstanceID{"c1", "b1"}] = true
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			n.restart(a1)
			n.run(time.Second)
			n.restart(a2)
			return n.send(c2, key, 1, time.Second)
		}},
		{"votes are lost in one direction and the claim blocks the key", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			for _, id := range []model.InstanceID{"a1", "a2", "b1"} {
				n.blocked[[2]model.InstanceID{id, "c1"}] = true
			}
			first := n.send(c1, key, 1, time.Second)
			n.run(3 * time.Second)
			Expect(first.code).To(Equal(result.LedgerNoMajority))
			n.send(c2, key, 1, time.Second)
			n.run(time.Second)
			return n.send(b1, key, 1, time.Second)
		}},
		{"late votes hold a key that no instance executes", result.Success, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.maxDelay = 5 * time.Second
			n.send(c1, key, 1, time.Millisecond)
			n.run(10 * time.Second)
			n.maxDelay = time.Millisecond
			return n.send(c2, key, 1, time.Second)
		}},
		{"recorded outcome is lost in transit", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.lossRate = 1
			n.run(3 * time.Second)
			n.lossRate = 0
			n.run(3 * time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"answer above the size limit is kept or the key is executed again", result.AnswerNotKept, false, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(model.MaxRecordedBodyBytes + 1)
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"key is accepted for two different requests", result.KeyReused, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			return n.send(c2, key, 2, time.Second)
		}},
		{"expired key is executed", result.KeyExpired, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
			n.run(model.KeyRetention + time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"group changes and its new members grant an old key", result.KeyForgotten, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.blocked[[2]model.InstanceID{"c1", "b1"}] = true
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			changed := *n.config
			changed.Version++
			changed.Roster = append([]model.RosterEntry{{ID: "c1", Zone: "a"}, {ID: "c2", Zone: "a"}}, changed.Roster[2])
			for _, p := range n.nodes {
				p.state.Configure(n.now, &changed)
			}
			return n.send(c2, key, 1, time.Second)
		}},
	} {
		It(c.name, func() {
			t := GinkgoTB()
			RegisterTestingT(t)
			n := newNetwork(1)
			key := n.key(n.now, "key")
			r := c.run(n, key)
			n.run(time.Second)
			Expect(r.done).To(BeTrue())
			Expect(r.code).To(Equal(c.code))
			Expect(r.answer != nil).To(Equal(c.replayed))
			Expect(n.queryKeyState(key)).To(Equal(c.keyState))
			Expect(n.violations).To(BeEmpty())
		})
	}
})

// Guards against concurrent requests with one key that split the votes, so that
// none of them is executed although every replica is available.
var _ = It("concurrent requests with one key are all answered", func() {
	for seed := range uint64(100) {
		g := NewWithT(GinkgoTB())
		n := newNetwork(seed)
		n.maxDelay = 60 * time.Millisecond
		n.recordAfterDelay(10)
		n.run(5 * time.Second)
		key := n.key(n.now, "race")
		requests := []*request{n.send(a1, key, 1, 3*time.Second), n.send(a2, key, 1, 3*time.Second), n.send(c1, key, 1, 3*time.Second)}
		n.run(5 * time.Second)
		executed := 0
		for _, r := range requests {
			g.Expect(r.code).To(Equal(result.Success), "seed %d", seed)
			if r.answer == nil {
				executed++
			}
		}
		g.Expect(executed).To(Equal(1), "seed %d", seed)
	}
})

// Guards against the execution of a key that was issued in the future, and
// against a query of an unused key that returns anything but "not_known".
var _ = It("key from the future is rejected", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := n.send(c1, n.key(n.now.Add(3*time.Second), "key"), 1, time.Second)
	n.run(time.Second)
	g.Expect(r.code).To(Equal(result.KeyFromFuture))
	g.Expect(n.queryKeyState(n.key(n.now, "fresh"))).To(Equal("not_known"))
})

// Guards against granting a late duplicate of an abandoned claim, also when
// LedgerAbandon arrives before the claim, and against the release of a key by a
// claimant that does not hold it.
var _ = It("abandoned claim stays abandoned", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := newReplica(&disabledRules{})
	r.start(epoch)
	key := n.key(n.now, "key")
	claimantA, claimantB := model.Claimant{Instance: "c1", Request: 1}, model.Claimant{Instance: "c2", Request: 1}
	claim := func(c model.Claimant) *message.LedgerVote {
		return r.vote(n.now, key, &message.LedgerClaim{Key: key.Text, Claimant: c}, true)
	}
	r.abandon(n.now, key, claimantA)
	g.Expect(claim(claimantA)).To(BeNil())
	g.Expect(claim(claimantB).Vote).To(Equal(message.VoteGranted))
	r.abandon(n.now, key, claimantA)
	g.Expect(claim(model.Claimant{Instance: "b1"}).Vote).To(Equal(message.VoteHeldByOther))
	r.abandon(n.now, key, claimantB)
	g.Expect(claim(claimantB)).To(BeNil())
})

// Guards against a replica whose memory grows without bound, or that evicts a
// claim within the retention time and grants the key again.
var _ = It("memory is bounded and evicted claims raise the floor", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := newReplica(&disabledRules{})
	r.start(epoch)
	r.maxBytes = 20 * entryOverheadBytes
	var out event.Effects
	for k := range 100 {
		key := n.key(n.now.Add(model.Duration(k)*time.Millisecond), fmt.Sprint("key", k))
		c := model.Claimant{Instance: "c1", Request: model.RequestID(k)}
		r.vote(n.now, key, &message.LedgerClaim{Key: key.Text, Claimant: c}, true)
		if k%2 == 0 {
			r.record(n.now, key, &message.LedgerRecord{Key: key.Text, Claimant: c, Answer: &model.Answer{Body: make([]byte, 1000)}}, &out)
		}
		g.Expect(r.usedBytes).To(BeNumerically("<=", r.maxBytes))
		g.Expect(len(r.withAnswer)).To(BeNumerically("<=", len(r.entries)))
	}
	first := n.key(n.now, "key0")
	g.Expect(r.vote(n.now, first, &message.LedgerClaim{Key: first.Text}, true).Vote).To(Equal(message.VoteUnknown))
	r.vote(n.now.Add(2*model.KeyRetention), n.key(n.now.Add(2*model.KeyRetention), "new"), &message.LedgerClaim{Key: "new"}, true)
	g.Expect(r.entries).To(HaveLen(1))
})
