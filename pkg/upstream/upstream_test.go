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

// rig is an instance that owns upstreams of one service.
type rig struct {
	*upstream.State
	permits *permit.State
	out     event.Effects
	at      model.Time
	owner   model.InstanceID
	serial  uint64
}

func (r *rig) Site(*model.Announcement) upstream.Site { return upstream.Site{Connections: 1} }
func (r *rig) PreferredOwner(*model.Announcement) (model.InstanceID, string) {
	return r.owner, string(r.owner)
}
func (r *rig) Peers() []model.InstanceID                        { return nil }
func (r *rig) LongestDeadline(model.ServiceName) model.Duration { return time.Second }

// newRig registers upstreams and lets their slow start end.
func newRig(count, slots int) *rig {
	r := &rig{permits: permit.New("i", 1), at: model.Time(time.Hour)}
	r.State = upstream.New(r.permits, r, 1, 1)
	for i := range count {
		r.announce(name(i), slots, true, model.Serving, 0)
	}
	r.at = r.at.Add(500 * ms)
	for i := range count {
		r.announce(name(i), slots, false, model.Serving, 0)
	}
	return r
}

func name(i int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("u%02d", i)) }

func (r *rig) announce(id model.UpstreamID, slots int, first bool, state model.UpstreamState, load float64) {
	r.Announce(r.at, event.UpstreamAnnounced{Announcement: model.Announcement{Upstream: id, Incarnation: 5, Service: "tabview",
		Zone: "z", Address: "a", Slots: slots, Connections: 1, State: state, First: first, Load: load}}, &r.out)
}

// take dispatches to the upstream that the policy chooses.
func (r *rig) take(spare bool) (model.UpstreamID, model.AttemptID) {
	u := r.Choose(r.at, upstream.Query{Service: "tabview", Spare: spare})
	if u == nil {
		return "", model.AttemptID{}
	}
	r.serial++
	a := model.AttemptID{Seq: r.serial}
	r.permits.Grant(r.at, u.Announcement.Upstream, a, r.at.Add(time.Minute), &r.out)
	return u.Announcement.Upstream, a
}

func (r *rig) release(id model.UpstreamID, a model.AttemptID) {
	r.permits.Release(r.at, a, &r.out)
	r.MarkReady(id)
}

// warm lets every upstream show the same latency until slow start has ended.
func (r *rig) warm(count int) {
	for range 60 {
		r.at = r.at.Add(100 * ms)
		for i := range count {
			r.announce(name(i), 8, false, model.Serving, 0)
			r.Observe(r.at, name(i), message.Observation{Latency: 10 * ms, HoldTime: 10 * ms})
			r.MarkReady(name(i))
		}
		r.permits.RefreshOldestGrants()
		r.Sweep(r.at)
	}
}

// chosen counts the choices of each upstream, with all slots given back.
func (r *rig) chosen(n int) map[model.UpstreamID]int {
	counts := map[model.UpstreamID]int{}
	for range n {
		id, a := r.take(true)
		counts[id]++
		r.release(id, a)
	}
	return counts
}

// Guards against work that waits on a slow upstream while others are free.
var _ = It("slow upstream gets only probes", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(4, 8)
	r.warm(4)
	for range 10 {
		r.Observe(r.at, name(0), message.Observation{Latency: 200 * ms})
	}
	r.Sweep(r.at)
	g.Expect(r.chosen(100)[name(0)]).To(Equal(0))
	r.at = r.at.Add(time.Second)
	g.Expect(r.chosen(100)[name(0)]).To(Equal(1))
	r.Observe(r.at, name(0), message.Observation{Latency: 11 * ms})
	r.MarkReady(name(0))
	g.Expect(r.chosen(100)[name(0)]).To(BeNumerically(">", 10))
})

// Guards against a stuck upstream that answers nothing and so shows no latency.
var _ = It("old attempt makes suspect", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(4, 8)
	r.warm(4)
	stuck, _ := r.take(false)
	r.at = r.at.Add(100 * ms)
	r.permits.RefreshOldestGrants()
	r.Sweep(r.at)
	g.Expect(r.chosen(100)[stuck]).To(Equal(0))
})

// Guards against a fault of this instance that takes all upstreams out.
var _ = It("at most half are suspect", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(4, 8)
	r.warm(4)
	for i := range 4 {
		r.Observe(r.at, name(i), message.Observation{Unreachable: true})
	}
	g.Expect(r.chosen(100)).To(HaveLen(2))
})

// Guards against a cold upstream that gets a full load at once.
var _ = It("slow start doubles with each good second", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1, 8)
	for _, want := range []int{1, 2, 4, 8, 8} {
		var taken []model.AttemptID
		for {
			id, a := r.take(true)
			if id == "" {
				break
			}
			taken = append(taken, a)
		}
		g.Expect(taken).To(HaveLen(want))
		for _, a := range taken {
			r.release(name(0), a)
		}
		r.Observe(r.at, name(0), message.Observation{Latency: ms})
		r.at = r.at.Add(1100 * ms)
		r.announce(name(0), 8, false, model.Serving, 0)
		r.Sweep(r.at)
	}
})

// Guards against a load report that steers long after reports have stopped.
var _ = It("old load reports are ignored", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(2, 8)
	r.warm(2)
	r.announce(name(0), 8, false, model.Serving, 0.9)
	g.Expect(r.chosen(20)[name(0)]).To(Equal(0))
	for range 4 {
		r.at = r.at.Add(1500 * ms)
		r.permits.Renew(name(0), r.at.Add(time.Second))
		r.permits.Renew(name(1), r.at.Add(time.Second))
		r.MarkReady(name(0))
	}
	g.Expect(r.chosen(20)[name(0)]).To(Equal(10))
})

// Guards against two owners that both count a fresh upstream's slots as free
// after the answer to its registration was lost.
var _ = It("registration grants nothing before its answer arrived", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(0, 0)
	r.announce("u", 2, true, model.Serving, 0)
	id, _ := r.take(true)
	g.Expect(id).To(BeEmpty())
	r.at = r.at.Add(time.Second)
	r.announce("u", 2, false, model.Serving, 0)
	id, _ = r.take(true)
	g.Expect(id).To(BeEmpty(), "the upstream had time to work for another owner")
})

// Guards against slots that are granted while a former owner's work may run.
var _ = It("takeover waits", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(0, 0)
	began := r.at
	for r.at < began.Add(upstream.TakeoverWait+time.Second) {
		r.announce("u", 2, false, model.Serving, 0)
		id, _ := r.take(true)
		g.Expect(id).To(BeEmpty())
		r.at = r.at.Add(500 * ms)
	}
	r.announce("u", 2, false, model.Serving, 0)
	id, _ := r.take(true)
	g.Expect(id).NotTo(BeEmpty())
})

// Guards against a drain that a delayed announcement undoes.
var _ = It("delayed announcement does not undo a drain", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1, 2)
	r.announce(name(0), 2, false, model.Draining, 0)
	r.at = r.at.Add(time.Second)
	r.announce(name(0), 2, false, model.Serving, 0)
	id, _ := r.take(true)
	g.Expect(id).To(BeEmpty())
})

// Guards against a stale handover that frees slots in use.
var _ = It("handover of another tenure is ignored", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(0, 0)
	r.announce("u", 2, false, model.Serving, 0)
	r.ReceiveHandover(r.at, &message.Handover{Upstream: "u", Incarnation: 5, Tenure: 1})
	id, _ := r.take(true)
	g.Expect(id).To(BeEmpty())
	r.ReceiveHandover(r.at, &message.Handover{Upstream: "u", Incarnation: 5, Tenure: 2})
	r.MarkReady("u")
	id, _ = r.take(true)
	g.Expect(id).To(Equal(model.UpstreamID("u")))
})

// Guards against an upstream that nobody owns because it cannot reach the
// instance it is sent to.
var _ = It("redirect gives up without arrival", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(0, 0)
	r.owner = "other"
	var owned []bool
	for range 5 {
		r.out.Reset()
		r.announce("u", 2, false, model.Serving, 0)
		owned = append(owned, r.out.List()[0].(event.AnnounceReply).Owner)
	}
	g.Expect(owned).To(Equal([]bool{false, false, false, true, true}))
})

// Guards against baselines that do not do what their name says.
var _ = It("baseline policies", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(4, 8)
	r.warm(4)
	r.Policy = upstream.NewPolicy(upstream.PolicyRoundRobin)
	g.Expect(r.chosen(8)).To(Equal(map[model.UpstreamID]int{name(0): 2, name(1): 2, name(2): 2, name(3): 2}))
	r.Policy = upstream.NewPolicy(upstream.PolicyLeastLoad)
	for i := range 4 {
		r.announce(name(i), 8, false, model.Serving, float64(4-i))
	}
	g.Expect(r.chosen(8)).To(Equal(map[model.UpstreamID]int{name(3): 8}))
})
