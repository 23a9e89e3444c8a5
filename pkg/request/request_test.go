package request_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const ms = time.Millisecond

// rig drives the sub-reducer with a fixed number of free slots.
type rig struct {
	*request.State
	out    event.Effects
	at     model.Time
	free   int
	serial int
	next   model.RequestID
}

func (r *rig) Acquire(model.Time, request.SlotRequest, *event.Effects) (request.SlotGrant, bool) {
	if r.free == 0 {
		return request.SlotGrant{}, false
	}
	r.free--
	r.serial++
	return request.SlotGrant{Upstream: model.UpstreamID(rune('a' + r.serial%20))}, true
}
func (r *rig) RequestRemote(model.Time, request.SlotRequest, *event.Effects) bool { return false }
func (r *rig) MayServe(model.Time, model.ServiceName) bool              { return true }
func (r *rig) Release(model.Time, model.AttemptID, *event.Effects) bool {
	r.free++
	return true
}
func (r *rig) Shift(model.ServiceName) string                           { return "" }
func (r *rig) Observe(model.Time, model.AttemptID, message.Observation) {}

func newRig(free int) *rig {
	r := &rig{at: model.Time(time.Hour), free: free}
	r.State = request.New("i", 1, r, nil)
	r.Configure(&model.Config{
		Services: []model.Service{{Name: "tabview", Profile: "p"}},
		Profiles: []model.Profile{{Name: "p", Repeat: model.RetryIdempotent, MaxAttempts: 3, Hedge: true, DeadlineMs: 1000, QueueLimit: 4, Spill: model.SpillAny}},
	})
	return r
}

func (r *rig) arrive(tenant model.Tenant, deadline time.Duration) model.RequestID {
	r.next++
	r.Arrive(r.at, &event.RequestArrived{ID: r.next, Service: "tabview", Tenant: tenant, Method: "GET", Timeout: deadline, Replayable: true}, &r.out)
	return r.next
}

func (r *rig) dispatches() []event.Dispatch { return effects[event.Dispatch](&r.out) }

func effects[E event.Effect](out *event.Effects) []E {
	var list []E
	for _, e := range out.List() {
		if x, ok := e.(E); ok {
			list = append(list, x)
		}
	}
	return list
}

func (r *rig) end(d event.Dispatch, res event.AttemptResult) {
	r.Ended(r.at, &event.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: res}, &r.out)
}

// learn lets requests complete that take the given time.
func (r *rig) learn(tenant model.Tenant, n int, took time.Duration) {
	for range n {
		r.out.Reset()
		r.arrive(tenant, 0)
		d := r.dispatches()[0]
		r.at = r.at.Add(took)
		r.Answered(r.at, &event.AttemptAnswered{Request: d.Request, Attempt: d.Attempt}, &r.out)
		r.end(d, event.Completed)
	}
	r.out.Reset()
}

// Guards against retries that multiply an overload.
var _ = It("retries stay within the budget", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1)
	retries := 0
	for range 1000 {
		r.out.Reset()
		r.arrive("x", 0)
		for n := 0; n < len(r.dispatches()); n++ {
			r.free = 1
			r.end(r.dispatches()[n], event.LostAfterDispatch)
		}
		r.at = r.at.Add(ms)
		retries += len(r.dispatches()) - 1
	}
	g.Expect(retries).To(BeNumerically(">", 50))
	g.Expect(retries).To(BeNumerically("<=", 100+1+10))
})

// Guards against a slow attempt that delays its caller although another
// upstream is free, and against a slot that is reused while the loser runs.
var _ = It("hedge after P95 cancels the loser", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1)
	r.learn("x", 64, 10*ms)
	r.free = 2
	r.arrive("x", 0)
	r.at = r.at.Add(5 * ms)
	r.Wake(r.at, &r.out)
	g.Expect(r.dispatches()).To(HaveLen(1))
	r.at = r.at.Add(10 * ms)
	r.Wake(r.at, &r.out)
	d := r.dispatches()
	g.Expect(d).To(HaveLen(2))
	r.Answered(r.at, &event.AttemptAnswered{Request: d[1].Request, Attempt: d[1].Attempt}, &r.out)
	g.Expect(effects[event.CancelAttempt](&r.out)).To(ConsistOf(event.CancelAttempt{Request: d[0].Request, Attempt: d[0].Attempt}))
	r.end(d[0], event.Canceled)
	g.Expect(r.free).To(Equal(0))
	r.CancelConfirmed(r.at, &event.CancelConfirmed{Request: d[0].Request, Attempt: d[0].Attempt, State: event.CancelStopped}, &r.out)
	g.Expect(r.free).To(Equal(1))
})

// Guards against work that takes a slot and then misses its deadline.
var _ = It("work that cannot finish is refused", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1)
	r.learn("x", 64, 100*ms)
	id := r.arrive("x", 50*ms)
	g.Expect(effects[event.Finish](&r.out)).To(ConsistOf(event.Finish{Request: id, Code: result.DeadlineTooShort}))
})

// Guards against estimates from a time of trouble that refuse all work for ever.
var _ = It("slow samples do not refuse all work", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1)
	r.learn("x", 64, 990*ms)
	r.arrive("x", 0)
	g.Expect(r.dispatches()).To(HaveLen(1))
})

// Guards against a tenant with many requests that delays or displaces those of
// another.
var _ = It("tenants take turns", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(0)
	for range 4 {
		r.arrive("busy", 0)
	}
	quiet := r.arrive("quiet", 0)
	refused := effects[event.Finish](&r.out)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Code).To(Equal(result.QueueFull))
	g.Expect(refused[0].Request).NotTo(Equal(quiet))
	r.free = 2
	for r.DispatchNext(r.at, "tabview", &r.out) {
	}
	d := r.dispatches()
	g.Expect([]model.RequestID{d[0].Request, d[1].Request}).To(ContainElement(quiet))
})

// Guards against a tenant with long requests that takes more than its share of
// the time.
var _ = It("long requests cost more turns", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1)
	r.learn("heavy", 64, 40*ms)
	r.learn("light", 64, 10*ms)
	r.free = 0
	for range 2 {
		r.arrive("heavy", 0)
		r.arrive("light", 0)
	}
	served := map[model.Tenant]int{}
	tenant := map[model.RequestID]model.Tenant{129: "heavy", 130: "light", 131: "heavy", 132: "light"}
	r.free = 3
	for r.DispatchNext(r.at, "tabview", &r.out) {
	}
	for _, d := range r.dispatches() {
		served[tenant[d.Request]]++
	}
	g.Expect(served).To(Equal(map[model.Tenant]int{"heavy": 1, "light": 2}))
})

// Guards against a queue that ignores which request must finish first.
var _ = It("earliest deadline first within a tenant", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(0)
	r.arrive("x", 900*ms)
	urgent := r.arrive("x", 300*ms)
	r.free = 1
	r.DispatchNext(r.at, "tabview", &r.out)
	g.Expect(r.dispatches()[0].Request).To(Equal(urgent))
})

// Guards against an answer that begins towards the caller and is cut off by the
// deadline, and against answers that are held back without need.
var _ = It("answer that may end late is held back", func() {
	g := NewWithT(GinkgoTB())
	for after, held := range map[time.Duration]bool{100 * ms: false, 600 * ms: true} {
		r := newRig(1)
		id := r.arrive("x", 0)
		deadline := r.at.Add(time.Second)
		d := r.dispatches()[0]
		r.at = r.at.Add(after)
		r.Answered(r.at, &event.AttemptAnswered{Request: id, Attempt: d.Attempt}, &r.out)
		relay := effects[event.Relay](&r.out)[0]
		g.Expect(relay.BufferLimit > 0).To(Equal(held), "headers after %v", after)
		// The slot is held for 250 ms after the deadline.
		g.Expect(relay.Deadline).To(And(BeNumerically(">", deadline), BeNumerically("<", deadline.Add(250*ms))))
		r.at = deadline
		r.end(d, event.Truncated)
		g.Expect(effects[event.Finish](&r.out)).To(ConsistOf(event.Finish{Request: id, Code: result.DeadlineAfterDispatch}))
	}
})

// Guards against bodies that are held back only if their headers came slowly.
var _ = It("slow bodies are expected", func() {
	g := NewWithT(GinkgoTB())
	r := newRig(1)
	var relay event.Relay
	for range 64 {
		r.out.Reset()
		r.arrive("x", 0)
		d := r.dispatches()[0]
		r.Answered(r.at, &event.AttemptAnswered{Request: d.Request, Attempt: d.Attempt}, &r.out)
		relay = effects[event.Relay](&r.out)[0]
		r.at = r.at.Add(600 * ms)
		r.end(d, event.Completed)
	}
	g.Expect(relay.BufferLimit).To(BeNumerically(">", 0))
})
