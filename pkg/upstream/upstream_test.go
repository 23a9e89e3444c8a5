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

// harness is an instance that owns upstreams of one service. It implements
// upstream.Deployment.
type harness struct {
	*upstream.State
	permits *permit.State
	out     event.Effects
	// at is the time of the next event.
	at model.Time
	// owner is the preferred owner of every upstream, "" for this instance.
	owner model.InstanceID
	// attempts is the number of slots granted so far.
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

// newHarness returns a harness with count upstreams whose registration is
// confirmed. They are still in slow start.
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

// name returns the identifier of the upstream with the number i.
func name(i int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("u%02d", i)) }

// announce handles an announcement of an upstream. first marks a first registration.
func (h *harness) announce(id model.UpstreamID, slots int, first bool, state model.UpstreamState, load float64) {
	h.Announce(h.at, event.UpstreamAnnounced{Announcement: model.Announcement{Upstream: id, Incarnation: 5, Service: "tabview",
		Zone: "z", Address: "a", Slots: slots, MaxConnections: 1, State: state, First: first, Load: load}}, &h.out)
}

// dispatch grants a slot of the upstream that Choose returns. It returns "" if there
// is none.
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

// endSlowStart reports equal latencies of all upstreams for 6 s, after which slow
// start has ended.
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

// countChoices makes n choices, releases each slot at once, and returns how often
// each upstream was chosen.
func (h *harness) countChoices(n int) map[model.UpstreamID]int {
	counts := map[model.UpstreamID]int{}
	for range n {
		id, a := h.dispatch(true)
		counts[id]++
		h.release(id, a)
	}
	return counts
}

// Guards against requests that wait at a slow upstream while others have free
// slots.
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

// Guards against an upstream that has stopped answering and is not detected,
// because no latency is observed without responses.
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

// Guards against a fault of this instance that excludes all upstreams.
var _ = It("at most half of the upstreams become suspect", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(4, 8)
	h.endSlowStart(4)
	for i := range 4 {
		h.Observe(h.at, name(i), message.Observation{Unreachable: true})
	}
	g.Expect(h.countChoices(100)).To(HaveLen(2))
})

// Guards against a cold upstream that receives its full load at once.
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

// Guards against a load report that affects the choice long after the upstream has
// stopped reporting.
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

// Guards against two owners that both count the slots of a new upstream as free
// because the reply to its first registration was lost.
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

// Guards against slots that are granted while attempts of a former owner may
// still be running.
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

// Guards against a delayed announcement that ends a drain.
var _ = It("delayed announcement does not undo a drain", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1, 2)
	h.announce(name(0), 2, false, model.Draining, 0)
	h.at = h.at.Add(time.Second)
	h.announce(name(0), 2, false, model.Serving, 0)
	id, _ := h.dispatch(true)
	g.Expect(id).To(BeEmpty())
})

// Guards against a late handover for an earlier tenure, which would free slots that
// are in use.
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

// Guards against an upstream that remains without an owner because it cannot reach
// the instance to which it is redirected.
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

// Guards against baseline policies that do not choose as their names say.
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
