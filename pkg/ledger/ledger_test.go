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

// Instances of the test network; the first three are the group of zone "a".
const (
	a1 = iota
	a2
	b1
	c1
	c2
)

// ignore leaves granted requests running.
func leaveRunning(*request) {}

// answerLater records an answer 200 ms after each grant.
func (n *network) recordAfterDelay(body int) {
	n.onGranted = func(r *request) {
		n.schedule(200*time.Millisecond, func() {
			n.record(r, &model.Answer{Status: 201, Body: make([]byte, body)})
		})
	}
}

// ask returns what instance c2 answers to a question about the key.
func (n *network) queryKeyState(key model.IdempotencyKey) string {
	var reply event.Effect
	p := n.nodes[c2]
	n.onOutcomeReply = func(e event.OutcomeReply) { reply = e }
	n.step(p, func(out *event.Effects) { p.state.Query(n.clock(p), event.OutcomeRequested{Call: 1, Key: key}, out) })
	n.run(2 * time.Second)
	return reply.(event.OutcomeReply).State.String()
}

// TestFailures names each case for the failure it guards against. Each makes
// some trouble for a key and returns the last request with it.
var _ = Describe("failures", func() {
	for _, c := range []struct {
		name string
		code result.Code
		// replayed says that the recorded answer is given.
		replayed bool
		keyState string
		run      func(n *network, key model.IdempotencyKey) *request
	}{
		{"key runs at two instances at the same time", result.Answered, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			one, two := n.send(c1, key, 1, time.Second), n.send(c2, key, 1, time.Second)
			n.run(time.Second)
			if one.answer != nil {
				return one
			}
			return two
		}},
		{"resend waits beyond its deadline", result.KeyInProgress, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			return n.send(c2, key, 1, 300*time.Millisecond)
		}},
		{"claimant crashes before it has a majority and blocks the key", result.Answered, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.blocked[[2]model.InstanceID{"a1", "c1"}] = true
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.restart(c1)
			return n.send(c1, key, 1, time.Second)
		}},
		{"claimant crashes with a majority and the key runs again", result.KeyInProgress, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.restart(c1)
			return n.send(c2, key, 1, time.Second)
		}},
		{"one replica without memory loses the answer", result.Answered, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			n.restart(a1)
			return n.send(c2, key, 1, time.Second)
		}},
		{"two replicas without memory grant a key again", result.KeyForgotten, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.blocked[[2]model.InstanceID{"c1", "b1"}] = true
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			n.restart(a1)
			n.run(time.Second)
			n.restart(a2)
			return n.send(c2, key, 1, time.Second)
		}},
		{"votes are lost in one direction and the claim blocks the key", result.Answered, true, "ran", func(n *network, key model.IdempotencyKey) *request {
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
		{"late votes keep a key that nobody runs", result.Answered, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.maxDelay = 5 * time.Second
			n.send(c1, key, 1, time.Millisecond)
			n.run(10 * time.Second)
			n.maxDelay = time.Millisecond
			return n.send(c2, key, 1, time.Second)
		}},
		{"recorded outcome is lost on the way", result.Answered, true, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(10)
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			n.lossRate = 1
			n.run(3 * time.Second)
			n.lossRate = 0
			n.run(3 * time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"answer beyond the limit is kept or the key runs again", result.AnswerNotKept, false, "ran", func(n *network, key model.IdempotencyKey) *request {
			n.recordAfterDelay(model.MaxRecordedBodyBytes + 1)
			n.send(c1, key, 1, time.Second)
			n.run(time.Second)
			return n.send(c2, key, 1, time.Second)
		}},
		{"key serves two different requests", result.KeyReused, false, "running", func(n *network, key model.IdempotencyKey) *request {
			n.onGranted = leaveRunning
			n.send(c1, key, 1, time.Second)
			n.run(100 * time.Millisecond)
			return n.send(c2, key, 2, time.Second)
		}},
		{"expired key runs", result.KeyExpired, false, "unknown", func(n *network, key model.IdempotencyKey) *request {
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

// Guards against racing requests that take votes from each other, so that none
// of them runs although every replica is there.
var _ = It("racing requests are all answered", func() {
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
			g.Expect(r.code).To(Equal(result.Answered), "seed %d", seed)
			if r.answer == nil {
				executed++
			}
		}
		g.Expect(executed).To(Equal(1), "seed %d", seed)
	}
})

// Guards against a key from the future that runs, and against a question about
// a fresh key that is answered with anything but "not known".
var _ = It("future key is refused", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := n.send(c1, n.key(n.now.Add(3*time.Second), "key"), 1, time.Second)
	n.run(time.Second)
	g.Expect(r.code).To(Equal(result.KeyFromFuture))
	g.Expect(n.queryKeyState(n.key(n.now, "fresh"))).To(Equal("not_known"))
})

// Guards against a late duplicate that revives an abandoned claim, also when it
// was overtaken by its abandonment, and against an abandonment by another
// claimant.
var _ = It("abandoned claim stays abandoned", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := newReplica(&faults{})
	r.start(epoch)
	key := n.key(n.now, "key")
	one, two := model.Claimant{Instance: "c1", Request: 1}, model.Claimant{Instance: "c2", Request: 1}
	claim := func(c model.Claimant) *message.LedgerVote {
		return r.vote(n.now, key, &message.LedgerClaim{Key: key.Text, Claimant: c}, true)
	}
	r.abandon(n.now, key, one)
	g.Expect(claim(one)).To(BeNil())
	g.Expect(claim(two).Vote).To(Equal(message.VoteGranted))
	r.abandon(n.now, key, one)
	g.Expect(claim(model.Claimant{Instance: "b1"}).Vote).To(Equal(message.VoteTaken))
	r.abandon(n.now, key, two)
	g.Expect(claim(two)).To(BeNil())
})

// Guards against a replica that grows without bound, or that forgets a claim
// within the retention and grants the key again.
var _ = It("memory is bounded and forgotten claims raise the floor", func() {
	g := NewWithT(GinkgoTB())
	n := newNetwork(1)
	r := newReplica(&faults{})
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
