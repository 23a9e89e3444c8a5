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

// harness passes events to the sub-reducer. It implements request.Slots with a
// counter of free slots instead of real upstreams.
type harness struct {
	*request.State
	out event.Effects
	// at is the time of the next event.
	at model.Time
	// free is the number of free slots, grants the number of slots granted so far.
	free   int
	grants int
	// lastID is the identifier of the request that arrived last.
	lastID model.RequestID
}

func (h *harness) Acquire(model.Time, request.SlotRequest, *event.Effects) (request.SlotGrant, bool) {
	if h.free == 0 {
		return request.SlotGrant{}, false
	}
	h.free--
	h.grants++
	return request.SlotGrant{Upstream: model.UpstreamID(rune('a' + h.grants%20))}, true
}
func (h *harness) RequestRemote(model.Time, request.SlotRequest, *event.Effects) bool { return false }
func (h *harness) MayServe(model.Time, model.ServiceName) bool                        { return true }
func (h *harness) Release(model.Time, model.AttemptID, *event.Effects) bool {
	h.free++
	return true
}
func (h *harness) Shift(model.ServiceName) string                           { return "" }
func (h *harness) Observe(model.Time, model.AttemptID, message.Observation) {}

// newHarness returns a harness with one service and the given number of free
// slots.
func newHarness(free int) *harness {
	h := &harness{at: model.Time(time.Hour), free: free}
	h.State = request.New("i", 1, h, nil)
	h.Configure(&model.Config{
		Services: []model.Service{{Name: "tabview", Profile: "p"}},
		Profiles: []model.Profile{{Name: "p", Repeat: model.RetryIdempotent, MaxAttempts: 3, Hedge: true, DeadlineMs: 1000, QueueLimit: 4, Spill: model.SpillAny}},
	})
	return h
}

// arrive passes a new GET request of the tenant to the sub-reducer and returns its
// identifier. With a timeout of 0, the profile's timeout applies.
func (h *harness) arrive(tenant model.Tenant, timeout time.Duration) model.RequestID {
	h.lastID++
	h.Arrive(h.at, &event.RequestArrived{ID: h.lastID, Service: "tabview", Tenant: tenant, Method: "GET", Timeout: timeout, Replayable: true}, &h.out)
	return h.lastID
}

func (h *harness) dispatches() []event.Dispatch { return effects[event.Dispatch](&h.out) }

// effects returns those effects in out that have the type E.
func effects[E event.Effect](out *event.Effects) []E {
	var list []E
	for _, e := range out.List() {
		if x, ok := e.(E); ok {
			list = append(list, x)
		}
	}
	return list
}

// end reports to the sub-reducer that the dispatched attempt has ended with the
// result.
func (h *harness) end(d event.Dispatch, res event.AttemptResult) {
	h.Ended(h.at, &event.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: res}, &h.out)
}

// completeRequests runs n requests one after another, each with the given response
// time, so that the sub-reducer records these times.
func (h *harness) completeRequests(tenant model.Tenant, n int, responseTime time.Duration) {
	for range n {
		h.out.Reset()
		h.arrive(tenant, 0)
		d := h.dispatches()[0]
		h.at = h.at.Add(responseTime)
		h.Answered(h.at, &event.AttemptAnswered{Request: d.Request, Attempt: d.Attempt}, &h.out)
		h.end(d, event.Completed)
	}
	h.out.Reset()
}

// ledgerStub records the claims that were withdrawn.
type ledgerStub struct{ abandoned []model.RequestID }

func (l *ledgerStub) Claim(model.Time, *event.RequestArrived, *event.Effects) {}
func (l *ledgerStub) Abandon(_ model.Time, id model.RequestID, _ *event.Effects) {
	l.abandoned = append(l.abandoned, id)
}
func (l *ledgerStub) Record(model.Time, model.RequestID, *model.Answer, *event.Effects) {}

// Guards against executing a request whose caller disconnected before the ledger
// decided on its claim.
var _ = It("request that was canceled while its claim was pending is not dispatched", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	ledger := &ledgerStub{}
	h.State = request.New("i", 1, h, ledger)
	h.Configure(&model.Config{
		Services: []model.Service{{Name: "tabview", Profile: "p"}},
		Profiles: []model.Profile{{Name: "p", Repeat: model.RetryNever, MaxAttempts: 1, DeadlineMs: 1000, QueueLimit: 4, Spill: model.SpillAny}},
	})
	h.Arrive(h.at, &event.RequestArrived{ID: 7, Service: "tabview", Method: "POST", Key: model.IdempotencyKey{Text: "k"}, Replayable: true}, &h.out)
	h.Canceled(h.at, 7, &h.out)
	h.ClaimDecided(h.at, request.ClaimDecision{Request: 7, Code: result.Success}, &h.out)
	g.Expect(h.dispatches()).To(BeEmpty())
	g.Expect(effects[event.Finish](&h.out)).To(Equal([]event.Finish{{Request: 7, Code: result.CanceledByCaller}}))
	g.Expect(ledger.abandoned).To(Equal([]model.RequestID{7}))
})

// Guards against retrying every failed request, which would aggravate an overload.
var _ = It("retries stay within the budget", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	retries := 0
	for range 1000 {
		h.out.Reset()
		h.arrive("x", 0)
		for n := 0; n < len(h.dispatches()); n++ {
			h.free = 1
			h.end(h.dispatches()[n], event.LostAfterDispatch)
		}
		h.at = h.at.Add(ms)
		retries += len(h.dispatches()) - 1
	}
	g.Expect(retries).To(BeNumerically(">", 50))
	// The budget gets 100 tokens for 1000 requests and 1 for the second that
	// passes. It starts with 10.
	g.Expect(retries).To(BeNumerically("<=", 100+1+10))
})

// Guards against two faults:
//   - A caller waits for a slow attempt although another upstream has a free slot.
//   - The second attempt is answered first, and the slot of the slow attempt is then
//     granted again while the upstream of that slot still executes the request.
var _ = It("a slow request is hedged after the p95 time, and the slower attempt is canceled", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	h.completeRequests("x", 64, 10*ms)
	h.free = 2
	h.arrive("x", 0)
	h.at = h.at.Add(5 * ms)
	h.Wake(h.at, &h.out)
	g.Expect(h.dispatches()).To(HaveLen(1))
	h.at = h.at.Add(10 * ms)
	h.Wake(h.at, &h.out)
	d := h.dispatches()
	g.Expect(d).To(HaveLen(2))
	h.Answered(h.at, &event.AttemptAnswered{Request: d[1].Request, Attempt: d[1].Attempt}, &h.out)
	g.Expect(effects[event.CancelAttempt](&h.out)).To(ConsistOf(event.CancelAttempt{Request: d[0].Request, Attempt: d[0].Attempt}))
	h.end(d[0], event.Canceled)
	g.Expect(h.free).To(Equal(0))
	h.CancelConfirmed(h.at, &event.CancelConfirmed{Request: d[0].Request, Attempt: d[0].Attempt, State: event.CancelStopped}, &h.out)
	g.Expect(h.free).To(Equal(1))
})

// Guards against dispatching a request whose deadline is closer than the usual hold
// time of its service: it would occupy a slot and then miss the deadline.
var _ = It("request that cannot complete in time is refused", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	h.completeRequests("x", 64, 100*ms)
	id := h.arrive("x", 50*ms)
	g.Expect(effects[event.Finish](&h.out)).To(ConsistOf(event.Finish{Request: id, Code: result.DeadlineTooShort}))
})

// After a slow period, the estimated hold time can be close to the timeout of the
// profile. Guards against refusing every request for that reason: no request would
// complete, so the estimate would never be corrected.
var _ = It("requests are still dispatched after a period of slow responses", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	h.completeRequests("x", 64, 990*ms)
	h.arrive("x", 0)
	g.Expect(h.dispatches()).To(HaveLen(1))
})

// Guards against refusing a request of one tenant, or dispatching it last, because
// another tenant has filled the queue.
var _ = It("a tenant that fills the queue does not keep out another tenant", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(0)
	for range 4 {
		h.arrive("busy", 0)
	}
	quiet := h.arrive("quiet", 0)
	refused := effects[event.Finish](&h.out)
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Code).To(Equal(result.QueueFull))
	g.Expect(refused[0].Request).NotTo(Equal(quiet))
	h.free = 2
	for h.DispatchNext(h.at, "tabview", &h.out) {
	}
	d := h.dispatches()
	g.Expect([]model.RequestID{d[0].Request, d[1].Request}).To(ContainElement(quiet))
})

// Guards against giving a tenant more than its share of the slots because its
// requests hold slots longer. The requests of the tenant "heavy" take 40 ms, those
// of "light" 10 ms, so "light" must get more of the three slots.
var _ = It("a tenant with longer requests gets fewer of them dispatched", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	h.completeRequests("heavy", 64, 40*ms)
	h.completeRequests("light", 64, 10*ms)
	h.free = 0
	for range 2 {
		h.arrive("heavy", 0)
		h.arrive("light", 0)
	}
	served := map[model.Tenant]int{}
	tenant := map[model.RequestID]model.Tenant{129: "heavy", 130: "light", 131: "heavy", 132: "light"}
	h.free = 3
	for h.DispatchNext(h.at, "tabview", &h.out) {
	}
	for _, d := range h.dispatches() {
		served[tenant[d.Request]]++
	}
	g.Expect(served).To(Equal(map[model.Tenant]int{"heavy": 1, "light": 2}))
})

// Guards against dispatching the requests of a tenant in the order of arrival: a
// request with an early deadline would miss that deadline behind requests with
// later deadlines.
var _ = It("of a tenant's requests, the one with the earliest deadline is dispatched first", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(0)
	h.arrive("x", 900*ms)
	urgent := h.arrive("x", 300*ms)
	h.free = 1
	h.DispatchNext(h.at, "tabview", &h.out)
	g.Expect(h.dispatches()[0].Request).To(Equal(urgent))
})

// A streamed response that has not ended by its deadline reaches the caller
// truncated, while a buffered one can still be replaced by an error. Guards against
// streaming a response that may miss the deadline, and against buffering one that
// will complete in time.
var _ = It("response that may miss the deadline is buffered", func() {
	g := NewWithT(GinkgoTB())
	for after, buffered := range map[time.Duration]bool{100 * ms: false, 600 * ms: true} {
		h := newHarness(1)
		id := h.arrive("x", 0)
		deadline := h.at.Add(time.Second)
		d := h.dispatches()[0]
		h.at = h.at.Add(after)
		h.Answered(h.at, &event.AttemptAnswered{Request: id, Attempt: d.Attempt}, &h.out)
		relay := effects[event.Relay](&h.out)[0]
		g.Expect(relay.BufferLimit > 0).To(Equal(buffered), "headers after %v", after)
		// The rest of the response is accepted for some time after the deadline,
		// but not for the 250 ms for which the slot is kept after it.
		g.Expect(relay.Deadline).To(And(BeNumerically(">", deadline), BeNumerically("<", deadline.Add(250*ms))))
		h.at = deadline
		h.end(d, event.Truncated)
		g.Expect(effects[event.Finish](&h.out)).To(ConsistOf(event.Finish{Request: id, Code: result.DeadlineAfterDispatch}))
	}
})

// Guards against streaming a response because its headers arrived quickly, although
// the bodies of its service are known to be slow. The deadline would truncate such
// a response.
var _ = It("responses of a service with slow bodies are buffered", func() {
	g := NewWithT(GinkgoTB())
	h := newHarness(1)
	var relay event.Relay
	for range 64 {
		h.out.Reset()
		h.arrive("x", 0)
		d := h.dispatches()[0]
		h.Answered(h.at, &event.AttemptAnswered{Request: d.Request, Attempt: d.Attempt}, &h.out)
		relay = effects[event.Relay](&h.out)[0]
		h.at = h.at.Add(600 * ms)
		h.end(d, event.Completed)
	}
	g.Expect(relay.BufferLimit).To(BeNumerically(">", 0))
})
