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

// Indexes of the instances in network.nodes. The first three instances are the
// ledger group of zone "a", which is the home zone of all keys.
const (
	a1 = iota
	a2
	b1
	c1
	c2
)

// leaveRunning is a handler for network.onGranted. It leaves the request running:
// it never records an outcome.
func leaveRunning(*request) {}

// recordAfterDelay makes the network record an answer with a body of the given size
// 200 ms after each request is granted its key.
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

// Each case injects a failure while a key is in use and returns the last request
// with the key. The title of a case states how the ledger must then behave.
var _ = Describe("failures", func() {
	for _, c := range []struct {
		name string
		code result.Code
		// replayed is true if the request receives the recorded answer.
		replayed bool
		keyState string
		run      func(n *network, key model.IdempotencyKey) *request
	}{
		{"only one of two concurrent requests with a key is executed", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			first, second := n.send(c1, key, 1, time.Second), n.send(c2, key, 1, time.Second)
			n.run(time.Second)
			if first.answer != nil {
				return first
			}
			return second
		}},
		{"a retry is rejected at its deadline while the earlier request is running", result.KeyInProgress, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			return n.send(c2, key, 1, 300*time.Millisecond)
		}},
		{"a claimant that crashed without a majority does not block the key", result.Success, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.blocked[[2]model.InstanceID{"a1", "c1"}] = true
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.restart(c1)
			return n.send(c1, key, 1, time.Second)
		}},
		{"a retry is not executed if the claimant crashed with a majority", result.KeyInProgress, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.restart(c1)
			return n.send(c2, key, 1, time.Second)
		}},
		{"the recorded answer survives the restart of one replica", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			n.restart(a1)
			return n.send(c2, key, 1, time.Second)
		}},
		{"two restarted replicas do not grant a key again", result.KeyForgotten, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.blocked[[2]model.InstanceID{"c1", "b1"}] = true
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			n.restart(a1)
			n.run(time.Second)
			n.restart(a2)
			return n.send(c2, key, 1, time.Second)
		}},
		{"a claim whose votes were lost does not block the key", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
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
		{"late votes for a rejected request do not block the key", result.Success, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.maxDelay = 5 * time.Second
			n.send(c1, key, 1, time.Millisecond)
			n.run(10 * time.Second)
			n.maxDelay = time.Millisecond
			return n.send(c2, key, 1, time.Second)
		}},
		{"an outcome that was lost in transit is sent again", result.Success, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.lossRate = 1
			n.run(3 * time.Second)
			n.lossRate = 0
			n.run(3 * time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"an answer above the size limit is not kept and the retry is not executed", result.AnswerNotKept, false, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(model.MaxRecordedBodyBytes + 1)
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"a different request with the key of an earlier one is rejected", result.KeyReused, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			return n.send(c2, key, 2, time.Second)
		}},
		{"a request with an expired key is not executed", result.KeyExpired, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
			n.run(model.KeyRetention + time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"new members of a ledger group do not grant a key again", result.KeyForgotten, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
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

// Guards against concurrent requests with one key that each win the votes of some
// replicas. None of them would then reach a majority, although every replica is
// available.
var _ = It("one of several concurrent requests with a key is executed and all are answered", func() {
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

// Guards against the execution of a request whose key has an issue time more than
// MaxClockSkew in the future. Also guards against a query that returns another
// state than "not_known" for an unused key.
var _ = It("rejects a key with an issue time in the future and reports an unused key as not known", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := n.send(c1, n.key(n.now.Add(3*time.Second), "key"), 1, time.Second)
	n.run(time.Second)
	g.Expect(r.code).To(Equal(result.KeyFromFuture))
	g.Expect(n.queryKeyState(n.key(n.now, "fresh"))).To(Equal("not_known"))
})

// Guards against a replica that grants an abandoned claim because a duplicate of
// the claim arrives late or because LedgerAbandon arrives before the claim. Also
// guards against a claimant that releases a key held by another claimant.
var _ = It("a replica does not grant an abandoned claim", func() {
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

// Guards against a replica whose memory grows without bound. Also guards against a
// replica that evicts an entry before the key has expired and later grants the key
// again.
var _ = It("a replica limits its memory and does not grant evicted keys again", func() {
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
