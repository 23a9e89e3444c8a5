package upstream_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

const ms = time.Millisecond

// harness is an instance that owns upstreams of the service "tabview". It
// implements upstream.Deployment.
type harness struct {
	*upstream.State
	permits *permit.State
	out     event.Effects
	// at is the time of the next event.
	at model.Time
	// owner is the preferred owner of every upstream, "" for this instance.
	owner model.InstanceID
	// attempts is the number of slots granted so far. It numbers the attempts.
	attempts uint64
}

func (h *harness) Placement(*model.Announcement) upstream.Placement {
	return upstream.Placement{MaxConnections: 1}
}
func (h *harness) PreferredOwner(*model.Announcement) (model.InstanceID, string) {
	return h.owner, string(h.owner)
}
func (h *harness) Peers() []model.InstanceID                       { return nil }
func (h *harness) LongestTimeout(model.ServiceName) model.Duration { return time.Second }

// newHarness returns a harness that owns count upstreams. Their registration is
// confirmed, and they are still in slow start.
func newHarness(count, slots int) *harness {
	h := &harness{permits: permit.New("i", 1), at: model.Time(time.Hour)}
	h.State = upstream.New(h.permits, h, 1, 1)
	for i := range count {
		h.announce(name(i), slots, true, model.Serving, 0)
	}
	h.at = h.at.Add(500 * ms)
	for i := range count {
		h.announce(name(i), slots, false, model.Serving, 0)
	}
	return h
}

// name returns the identifier of upstream number i.
func name(i int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("u%02d", i)) }

// announce delivers an announcement of an upstream to the instance. first is true
// for the first registration of an upstream process.
func (h *harness) announce(id model.UpstreamID, slots int, first bool, state model.UpstreamState, load float64) {
	h.Announce(h.at, event.UpstreamAnnounced{Announcement: model.Announcement{Upstream: id, Incarnation: 5, Service: "tabview",
		Zone: "z", Address: "a:80", Slots: slots, MaxConnections: 1, State: state, First: first, Load: load}}, &h.out)
}

// dispatch grants a slot of the upstream that Choose returns. It returns "" if
// Choose returns none.
func (h *harness) dispatch(allowFallback bool) (model.UpstreamID, model.AttemptID) {
	u := h.Choose(h.at, upstream.Query{Service: "tabview", AllowFallback: allowFallback})
	if u == nil {
		return "", model.AttemptID{}
	}
	h.attempts++
	a := model.AttemptID{Seq: h.attempts}
	h.permits.Grant(h.at, u.Announcement.Upstream, a, h.at.Add(time.Minute), &h.out)
	return u.Announcement.Upstream, a
}

func (h *harness) release(id model.UpstreamID, a model.AttemptID) {
	h.permits.Release(h.at, a, &h.out)
	h.MarkReady(id)
}

// endSlowStart reports equal latencies of all upstreams for 6 s. This ends the slow
// start of upstreams with 8 slots: the limit of 1 doubles every second.
func (h *harness) endSlowStart(count int) {
	for range 60 {
		h.at = h.at.Add(100 * ms)
		for i := range count {
			h.announce(name(i), 8, false, model.Serving, 0)
			h.Observe(h.at, name(i), message.Observation{Latency: 10 * ms, HoldTime: 10 * ms})
			h.MarkReady(name(i))
		}
		h.permits.RefreshOldestGrants()
		h.Sweep(h.at)
	}
}

// countChoices chooses an upstream n times, releases the slot each time at once,
// and returns how often each upstream was chosen.
func (h *harness) countChoices(n int) map[model.UpstreamID]int {
	counts := map[model.UpstreamID]int{}
	for range n {
		id, a := h.dispatch(true)
		counts[id]++
		h.release(id, a)
	}
	return counts
}

// Requests must not wait at a slow upstream while other upstreams have free slots.
// A probe per second shows whether the slow upstream has recovered.
var _ = It("slow upstream gets only probes", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(4, 8)
	h.endSlowStart(4)
	for range 10 {
		h.Observe(h.at, name(0), message.Observation{Latency: 200 * ms})
	}
	h.Sweep(h.at)
	g.Expect(h.countChoices(100)[name(0)]).To(Equal(0))
	h.at = h.at.Add(time.Second)
	g.Expect(h.countChoices(100)[name(0)]).To(Equal(1))
	h.Observe(h.at, name(0), message.Observation{Latency: 11 * ms})
	h.MarkReady(name(0))
	g.Expect(h.countChoices(100)[name(0)]).To(BeNumerically(">", 10))
})

// An upstream that has stopped answering sends no responses, so no latency is
// measured for it. It must be detected by the age of its oldest attempt.
var _ = It("upstream is suspect if its oldest attempt takes too long", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(4, 8)
	h.endSlowStart(4)
	stuck, _ := h.dispatch(false)
	h.at = h.at.Add(100 * ms)
	h.permits.RefreshOldestGrants()
	h.Sweep(h.at)
	g.Expect(h.countChoices(100)[stuck]).To(Equal(0))
})

// A fault of this instance or of the network makes all upstreams appear
// unreachable. If all became suspect, no upstream would be left for requests.
var _ = It("at most half of the upstreams become suspect", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(4, 8)
	h.endSlowStart(4)
	for i := range 4 {
		h.Observe(h.at, name(i), message.Observation{Unreachable: true})
	}
	g.Expect(h.countChoices(100)).To(HaveLen(2))
})

// A cold upstream cannot handle its full load at once. It begins with one slot.
var _ = It("slow start doubles the slot limit after each second with successful attempts", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1, 8)
	for _, want := range []int{1, 2, 4, 8, 8} {
		var taken []model.AttemptID
		for {
			id, a := h.dispatch(true)
			if id == "" {
				break
			}
			taken = append(taken, a)
		}
		g.Expect(taken).To(HaveLen(want))
		for _, a := range taken {
			h.release(name(0), a)
		}
		h.Observe(h.at, name(0), message.Observation{Latency: ms})
		h.at = h.at.Add(1100 * ms)
		h.announce(name(0), 8, false, model.Serving, 0)
		h.Sweep(h.at)
	}
})

// An upstream that has stopped reporting its load must not be avoided, or
// preferred, because of its last report.
var _ = It("load report older than 5 s is ignored", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(2, 8)
	h.endSlowStart(2)
	h.announce(name(0), 8, false, model.Serving, 0.9)
	g.Expect(h.countChoices(20)[name(0)]).To(Equal(0))
	for range 4 {
		h.at = h.at.Add(1500 * ms)
		h.permits.Renew(name(0), h.at.Add(time.Second))
		h.permits.Renew(name(1), h.at.Add(time.Second))
		h.MarkReady(name(0))
	}
	g.Expect(h.countChoices(20)[name(0)]).To(Equal(10))
})

// If the reply to the first registration of a new upstream is lost, the upstream
// may register with a second instance. Both instances would then count all of its
// slots as free and grant them.
var _ = It("no slots are granted before the registration is confirmed", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(0, 0)
	h.announce("u", 2, true, model.Serving, 0)
	id, _ := h.dispatch(true)
	g.Expect(id).To(BeEmpty())
	h.at = h.at.Add(time.Second)
	h.announce("u", 2, false, model.Serving, 0)
	id, _ = h.dispatch(true)
	g.Expect(id).To(BeEmpty(), "the upstream had time to register with another owner")
})

// After a change of the owner, the upstream may still be executing attempts to
// which the former owner granted slots. If the new owner granted slots at once,
// more slots would be in use than the upstream has.
var _ = It("new owner waits before it grants slots", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(0, 0)
	began := h.at
	for h.at < began.Add(upstream.TakeoverWait+time.Second) {
		h.announce("u", 2, false, model.Serving, 0)
		id, _ := h.dispatch(true)
		g.Expect(id).To(BeEmpty())
		h.at = h.at.Add(500 * ms)
	}
	h.announce("u", 2, false, model.Serving, 0)
	id, _ := h.dispatch(true)
	g.Expect(id).NotTo(BeEmpty())
})

// An announcement of the state serving that was sent before the drain may arrive
// after the announcement of the drain. It must not end the drain.
var _ = It("delayed announcement does not undo a drain", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1, 2)
	h.announce(name(0), 2, false, model.Draining, 0)
	h.at = h.at.Add(time.Second)
	h.announce(name(0), 2, false, model.Serving, 0)
	id, _ := h.dispatch(true)
	g.Expect(id).To(BeEmpty())
})

// A late handover for an earlier tenure lacks the permits that were granted since.
// If it were applied, slots that are in use would count as free.
var _ = It("handover for an earlier tenure is ignored", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(0, 0)
	h.announce("u", 2, false, model.Serving, 0)
	h.ReceiveHandover(h.at, &message.Handover{Upstream: "u", Incarnation: 5, Tenure: 1})
	id, _ := h.dispatch(true)
	g.Expect(id).To(BeEmpty())
	h.ReceiveHandover(h.at, &message.Handover{Upstream: "u", Incarnation: 5, Tenure: 2})
	h.MarkReady("u")
	id, _ = h.dispatch(true)
	g.Expect(id).To(Equal(model.UpstreamID("u")))
})

// If an upstream cannot reach the instance to which it is redirected and every
// announcement is answered with a redirect, the upstream has no owner. This
// instance must keep it after three redirects.
var _ = It("redirects stop if the upstream cannot reach its preferred owner", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(0, 0)
	h.owner = "other"
	var owned []bool
	for range 5 {
		h.out.Reset()
		h.announce("u", 2, false, model.Serving, 0)
		owned = append(owned, h.out.List()[0].(event.AnnounceReply).Owner)
	}
	g.Expect(owned).To(Equal([]bool{false, false, false, true, true}))
})

// Benchmarks compare the default policy with these two, so each of the two must
// choose by the rule that its name states.
var _ = It("round-robin picks in turn and least-load picks the least loaded upstream", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(4, 8)
	h.endSlowStart(4)
	h.Policy = upstream.NewPolicy(upstream.PolicyRoundRobin)
	g.Expect(h.countChoices(8)).To(Equal(map[model.UpstreamID]int{name(0): 2, name(1): 2, name(2): 2, name(3): 2}))
	h.Policy = upstream.NewPolicy(upstream.PolicyLeastLoad)
	for i := range 4 {
		h.announce(name(i), 8, false, model.Serving, float64(4-i))
	}
	g.Expect(h.countChoices(8)).To(Equal(map[model.UpstreamID]int{name(3): 8}))
})

// observed is an observation of a response of the harness's upstreams with the given
// statement.
func observed(s model.UpstreamStatement) message.Observation {
	return message.Observation{Incarnation: 5, Stated: s}
}

var _ = It("upstream that states that it leaves is not chosen until it is restarted", func() {
	h := newHarness(2, 8)
	h.endSlowStart(2)
	h.Observe(h.at, name(0), message.Observation{Incarnation: 4, Stated: model.UpstreamStatement{Leaving: true}})
	Expect(h.countChoices(40)[name(0)]).To(BeNumerically(">", 0), "the statement is of an earlier process")
	h.Observe(h.at, name(0), observed(model.UpstreamStatement{Leaving: true}))
	h.Observe(h.at, name(0), observed(model.UpstreamStatement{}))
	h.announce(name(0), 8, false, model.Serving, 0)
	Expect(h.countChoices(40)).To(Equal(map[model.UpstreamID]int{name(1): 40}))
	for _, first := range []bool{true, false} {
		h.at = h.at.Add(500 * ms)
		h.announce(name(1), 8, false, model.Serving, 0)
		h.Announce(h.at, event.UpstreamAnnounced{Announcement: model.Announcement{Upstream: name(0), Incarnation: 6, Service: "tabview",
			Zone: "z", Address: "a:80", Slots: 8, MaxConnections: 1, State: model.Serving, First: first}}, &h.out)
		h.MarkReady(name(0))
	}
	Expect(h.countChoices(40)[name(0)]).To(BeNumerically(">", 0))
})

var _ = It("upstream that wants a pause is not chosen before its end", func() {
	h := newHarness(2, 8)
	h.endSlowStart(2)
	h.Observe(h.at, name(0), observed(model.UpstreamStatement{Pause: 3 * time.Second}))
	for end := h.at.Add(2900 * ms); h.at < end; h.at = h.at.Add(100 * ms) {
		h.announce(name(0), 8, false, model.Serving, 0)
		h.announce(name(1), 8, false, model.Serving, 0)
		h.Sweep(h.at)
		Expect(h.countChoices(4)[name(0)]).To(BeZero())
	}
	h.at = h.at.Add(200 * ms)
	h.Sweep(h.at)
	Expect(h.countChoices(40)[name(0)]).To(BeNumerically(">", 0))
})

var _ = It("upstream with a request limit is chosen no more often than that", func() {
	h := newHarness(1, 8)
	h.endSlowStart(1)
	h.Observe(h.at, name(0), observed(model.UpstreamStatement{RequestLimit: 5}))
	chosen := 0
	for range 100 {
		h.at = h.at.Add(100 * ms)
		h.announce(name(0), 8, false, model.Serving, 0)
		h.Sweep(h.at)
		if id, a := h.dispatch(false); id != "" {
			chosen++
			h.release(id, a)
		}
	}
	Expect(chosen).To(BeNumerically("~", 50, 5))
	h.Observe(h.at, name(0), observed(model.UpstreamStatement{}))
	Expect(h.countChoices(20)[name(0)]).To(Equal(20))
})
