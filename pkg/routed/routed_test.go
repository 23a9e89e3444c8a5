package routed_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
)

const start = model.Time(1000 * time.Second)

// fixture is the sub-reducer with two services of three upstreams each.
type fixture struct {
	state  *routed.State
	table  *catalog.Table
	out    event.Effects
	at     model.Time
	lastID model.RequestID
}

func newFixture(routes ...model.Route) *fixture {
	c := catalog.New()
	r := registry.New(time.Second)
	for _, svc := range []string{"reads", "writes"} {
		c.Merge(model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: svc}, Version: 1, Service: &model.ServiceSpec{}})
		for _, n := range []string{"1", "2", "3"} {
			r.Heartbeat(start, model.Registration{ID: model.UpstreamID(svc + n), Service: model.ServiceName(svc),
				Address: "10.0." + map[string]string{"reads": "0.", "writes": "1."}[svc] + n + ":80", Zone: "z", Slots: 4, StartTimeMs: 1, Sequence: 1})
		}
	}
	for _, route := range routes {
		c.Merge(model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: route.Prefix}, Version: 1, Route: &route})
	}
	b := balance.New(balance.Identity{Zone: "z", Regions: map[model.Zone]model.Region{"z": "r"}})
	b.Sync(start, r, c, false)
	limits := routed.RetryBudgetLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 10}
	return &fixture{state: routed.New(b, limits, rand.New(rand.NewPCG(1, 1)), 0), table: c.Table(), at: start}
}

// sendSlowRequests makes the service "reads" slow: it sends 200 requests by the
// route /slow/ and reports responses with the given response time.
func (b *fixture) sendSlowRequests(responseTime time.Duration) {
	for range 200 {
		b.at = b.at.Add(responseTime)
		_, effects := b.arrive("/slow/x")
		f := onlyEffect[event.Forward](effects)
		b.out.Reset()
		b.state.Ended(b.at, &event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, Outcome: event.SendAnswered, ResponseTime: responseTime}, &b.out)
	}
}

// newRoute returns a route to the service "reads".
func newRoute(kind model.RouteKind, attempts int) model.Route {
	return model.Route{Host: "h", Prefix: "/a/", Kind: kind, Timeout: time.Second, MaxAttempts: attempts,
		Splits: []model.Split{{Service: "reads", Weight: 1}}}
}

// arrive reports a new request and returns its identifier and the effects.
func (b *fixture) arrive(path string) (model.RequestID, []event.Effect) {
	b.lastID++
	b.out.Reset()
	b.state.Arrive(b.at, &event.RoutedArrived{ID: b.lastID, Host: "h", Path: path, Replayable: true}, b.table, &b.out)
	return b.lastID, b.out.List()
}

// endSend reports the end of a send and returns the effects.
func (b *fixture) endSend(f event.Forward, o event.SendOutcome) []event.Effect {
	b.out.Reset()
	b.state.Ended(b.at, &event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, Outcome: o, ResponseTime: time.Millisecond}, &b.out)
	return b.out.List()
}

// wakeAfter advances the time by the delay and returns the effects of Wake.
func (b *fixture) wakeAfter(delay time.Duration) []event.Effect {
	b.at = b.at.Add(delay)
	b.out.Reset()
	b.state.Wake(b.at, &b.out)
	return b.out.List()
}

// onlyEffect returns the single effect of a type and fails the spec if there
// are none or several.
func onlyEffect[T event.Effect](effects []event.Effect) T {
	var found []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	ExpectWithOffset(1, found).To(HaveLen(1))
	return found[0]
}

// expectNone fails the spec if there is an effect of the type.
func expectNone[T event.Effect](effects []event.Effect) {
	for _, e := range effects {
		_, ok := e.(T)
		ExpectWithOffset(1, ok).To(BeFalse())
	}
}

// Guards against executing a non-idempotent request, such as a deposit, twice
// after its connection was lost.
var _ = It("non-idempotent request that may have been executed is not retried", func() {
	b := newFixture(newRoute(model.NonIdempotent, 3))
	_, effects := b.arrive("/a/x")
	effects = b.endSend(onlyEffect[event.Forward](effects), event.SendLost)
	expectNone[event.Forward](effects)
	Expect(result.Lookup(onlyEffect[event.Reject](effects).Code).Class).To(Equal(result.OutcomeUnknown))
})

// Guards against rejecting a request instead of retrying it although no
// upstream has executed it.
var _ = It("request that was provably not executed is retried at another upstream", func() {
	for _, o := range []event.SendOutcome{event.SendNotExecuted, event.SendMisdirected, event.SendConnectFailed} {
		b := newFixture(newRoute(model.NonIdempotent, 2))
		_, effects := b.arrive("/a/x")
		first := onlyEffect[event.Forward](effects)
		second := onlyEffect[event.Forward](b.endSend(first, o))
		Expect(second.Upstream).NotTo(Equal(first.Upstream))
		effects = b.endSend(second, event.SendNotExecuted)
		expectNone[event.Forward](effects)
		reject := onlyEffect[event.Reject](effects)
		Expect(result.Lookup(reject.Code).Class).To(Equal(result.NotRun))
		Expect(reject.RetryAfter).To(BeNumerically(">", 0))
	}
})

// Guards against reporting a request as not executed although one of several
// attempts may have been executed.
var _ = It("outcome is unknown if any attempt may have been executed", func() {
	b := newFixture(newRoute(model.Idempotent, 2))
	_, effects := b.arrive("/a/x")
	second := onlyEffect[event.Forward](b.endSend(onlyEffect[event.Forward](effects), event.SendLost))
	reject := onlyEffect[event.Reject](b.endSend(second, event.SendNotExecuted))
	Expect(result.Lookup(reject.Code).Class).To(Equal(result.OutcomeUnknown))
	Expect(reject.RetryAfter).To(BeZero())
})

// Guards against callers that wait longer than the timeout of their route. Also
// guards against the result "not run" for a request that may have been executed
// when its deadline is reached.
var _ = It("result at the deadline depends on whether the request may have been executed", func() {
	for outcome, class := range map[event.SendOutcome]result.Class{
		event.SendCanceled: result.OutcomeUnknown, event.SendConnectFailed: result.NotRun} {
		b := newFixture(newRoute(model.Idempotent, 2))
		_, effects := b.arrive("/a/x")
		f := onlyEffect[event.Forward](effects)
		Expect(f.Timeout).To(BeNumerically("<=", time.Second))
		Expect(f.Deadline).To(BeNumerically("<=", start.Add(time.Second)))
		Expect(b.state.NextWake()).To(Equal(f.Deadline))
		effects = b.wakeAfter(time.Second)
		onlyEffect[event.CancelSend](effects)
		expectNone[event.Reject](effects)
		effects = b.endSend(f, outcome)
		expectNone[event.Forward](effects)
		Expect(result.Lookup(onlyEffect[event.Reject](effects).Code).Class).To(Equal(class))
		Expect(b.state.OpenRequests).To(BeZero())
	}
})

// Guards against discarding a response that arrives while its send is being
// canceled at the deadline.
var _ = It("response that arrives at the deadline is delivered", func() {
	b := newFixture(newRoute(model.NonIdempotent, 1))
	_, effects := b.arrive("/a/x")
	f := onlyEffect[event.Forward](effects)
	b.wakeAfter(time.Second)
	onlyEffect[event.Deliver](b.endSend(f, event.SendAnswered))
})

// Guards against "not run" for a request that an upstream executes: a caller that has
// ended only its sending side reads the answer and sends the request again. The answer
// must follow from what was sent, whatever ended the request.
var _ = DescribeTable("answer to a request that is ended depends on what was sent", func(leaves, expires, earlierLost bool) {
	for outcome, class := range map[event.SendOutcome]result.Class{
		event.SendAnswered: result.OK, event.SendStreamed: result.OK, event.SendLost: result.OutcomeUnknown, event.SendCanceled: result.OutcomeUnknown,
		event.SendConnectFailed: result.NotRun, event.SendNotExecuted: result.NotRun, event.SendMisdirected: result.NotRun} {
		kind := model.NonIdempotent
		if earlierLost {
			kind = model.Idempotent
		}
		b := newFixture(newRoute(kind, 2))
		id, effects := b.arrive("/a/x")
		f := onlyEffect[event.Forward](effects)
		if earlierLost {
			f = onlyEffect[event.Forward](b.endSend(f, event.SendLost))
			if class == result.NotRun {
				class = result.OutcomeUnknown
			}
		}
		if leaves {
			b.out.Reset()
			b.state.Canceled(id, &b.out)
			onlyEffect[event.CancelSend](b.out.List())
			expectNone[event.Reject](b.out.List())
		}
		if expires {
			expectNone[event.Reject](b.wakeAfter(time.Second))
		}
		effects = b.endSend(f, outcome)
		if class == result.OK {
			onlyEffect[event.Deliver](effects)
		} else {
			Expect(result.Lookup(onlyEffect[event.Reject](effects).Code).Class).To(Equal(class), outcome.String())
		}
		Expect(b.state.OpenRequests).To(BeZero())
	}
},
	Entry("the caller leaves", true, false, false),
	Entry("the deadline is reached", false, true, false),
	Entry("the caller leaves, then the deadline is reached", true, true, false),
	Entry("the caller leaves, and an earlier attempt was lost", true, false, true),
	Entry("the deadline is reached, and an earlier attempt was lost", false, true, true),
)

// Guards against upstreams that continue to execute requests whose callers have
// disconnected.
var _ = It("disconnect of the caller cancels the send", func() {
	b := newFixture(newRoute(model.Idempotent, 2))
	id, effects := b.arrive("/a/x")
	f := onlyEffect[event.Forward](effects)
	b.out.Reset()
	b.state.Canceled(id, &b.out)
	onlyEffect[event.CancelSend](b.out.List())
	expectNone[event.Forward](b.endSend(f, event.SendCanceled))
	Expect(b.state.OpenRequests).To(BeZero())
})

var _ = It("request is rejected if no route matches its path or if the instance has no configuration", func() {
	b := newFixture(newRoute(model.Idempotent, 2))
	_, effects := b.arrive("/none")
	Expect(onlyEffect[event.Reject](effects).Code).To(Equal(result.NotFound))
	b.table = nil
	_, effects = b.arrive("/a/x")
	Expect(onlyEffect[event.Reject](effects).Code).To(Equal(result.NoConfiguration))
})

// Guards against retries that multiply the load on a service that refuses all
// requests. The bound is 0.2 retries per request (Ratio) plus 10 (Slack).
var _ = It("retries stay within the budget", func() {
	b := newFixture(newRoute(model.Idempotent, 3))
	retries := 0
	for range 500 {
		b.at = b.at.Add(10 * time.Millisecond)
		_, effects := b.arrive("/a/x")
		for f := onlyEffect[event.Forward](effects); ; {
			effects = b.endSend(f, event.SendNotExecuted)
			next, ok := findForward(effects)
			if !ok {
				break
			}
			retries++
			f = next
		}
	}
	Expect(retries).To(BeNumerically("<=", 0.2*500+10))
	Expect(retries).To(BeNumerically(">", 20))
})

// findForward returns the first Forward effect, if any.
func findForward(effects []event.Effect) (event.Forward, bool) {
	for _, e := range effects {
		if f, ok := e.(event.Forward); ok {
			return f, true
		}
	}
	return event.Forward{}, false
}

// Guards against a service whose share of a short sequence of requests differs
// from its weight in the route.
var _ = It("services of a route receive requests in proportion to their weights", func() {
	r := newRoute(model.Idempotent, 1)
	r.Splits = []model.Split{{Service: "reads", Weight: 80}, {Service: "writes", Weight: 20}}
	b := newFixture(r)
	toWrites := 0
	for range 200 {
		_, effects := b.arrive("/a/x")
		f := onlyEffect[event.Forward](effects)
		if f.Upstream[0] == 'w' {
			toWrites++
		}
		b.endSend(f, event.SendAnswered)
	}
	Expect(toWrites).To(BeNumerically("~", 40, 2))
})

// Guards against rejecting a request with a short timeout although the service
// is idle, because the other requests of the service take longer.
var _ = It("request with a timeout below the mean work time is sent to an idle service", func() {
	slow := newRoute(model.Idempotent, 1)
	slow.Prefix, slow.Timeout = "/slow/", 10*time.Second
	short := newRoute(model.Idempotent, 1)
	short.Timeout = 500 * time.Millisecond
	b := newFixture(slow, short)
	b.sendSlowRequests(600 * time.Millisecond)
	_, effects := b.arrive("/a/x")
	onlyEffect[event.Forward](effects)
})

// Guards against callers that wait until the deadline for a response that
// cannot arrive before it.
var _ = It("request that cannot meet its deadline is rejected at once", func() {
	slow := newRoute(model.Idempotent, 1)
	slow.Prefix, slow.Timeout = "/slow/", 10*time.Second
	b := newFixture(slow, newRoute(model.Idempotent, 1))
	b.sendSlowRequests(4 * time.Second)
	_, effects := b.arrive("/a/x")
	reject := onlyEffect[event.Reject](effects)
	Expect(reject.Code).To(Equal(result.DeadlineTooShort))
	Expect(reject.RetryAfter).To(BeNumerically(">", 0))
})

// Guards against queued work that uses a slot and is then aborted at its
// deadline. Also guards against rejected callers that retry before the queued
// work has completed. All slots are in use, and the queue time plus the mean
// work time exceed the remaining time.
var _ = It("request that has to queue is rejected if the mean work time exceeds the time left after the queue", func() {
	slow := newRoute(model.Idempotent, 1)
	slow.Prefix, slow.Timeout = "/slow/", 10*time.Second
	b := newFixture(slow, newRoute(model.Idempotent, 1))
	b.sendSlowRequests(800 * time.Millisecond)
	for range 3 * 4 {
		_, effects := b.arrive("/slow/x")
		onlyEffect[event.Forward](effects)
	}
	longest := time.Duration(0)
	for range 20 {
		_, effects := b.arrive("/a/x")
		reject := onlyEffect[event.Reject](effects)
		Expect(reject.Code).To(Equal(result.DeadlineTooShort))
		longest = max(longest, reject.RetryAfter)
	}
	Expect(longest).To(BeNumerically(">", 600*time.Millisecond), "delays spread over the time of the work")
})

// Guards against downloads that take twice as long at a low network bandwidth
// because they are buffered completely before the transfer to the caller
// starts.
var _ = It("long responses are streamed if the network bandwidth is low", func() {
	const networkBytesPerSecond = 825_000 // 6.6 Mbit/s
	download := 90_000
	Expect(routed.BufferLimit(networkBytesPerSecond)).To(BeNumerically("<", download/4))
	Expect(routed.BufferLimit(networkBytesPerSecond)).To(BeNumerically(">", 9_000), "short responses stay retryable")
	Expect(routed.BufferLimit(125_000_000)).To(Equal(1 << 20))
	Expect(routed.BufferLimit(0)).To(Equal(1 << 20))
})

// Guards against rejecting requests because the upstream that caches their
// object has a queue, although another upstream would respond in time. All
// requests are for one object.
var _ = It("request is sent to another upstream if it would miss its deadline at the upstream that caches its object", func() {
	slow := newRoute(model.Idempotent, 1)
	slow.Prefix, slow.Timeout, slow.UsesAffinity = "/slow/", 10*time.Second, true
	short := newRoute(model.Idempotent, 1)
	short.UsesAffinity = true
	b := newFixture(slow, short)
	b.sendSlowRequests(400 * time.Millisecond)
	arrive := func(path string) []event.Effect {
		b.lastID++
		b.out.Reset()
		b.state.Arrive(b.at, &event.RoutedArrived{ID: b.lastID, Host: "h", Path: path, AffinityKey: "x", Replayable: true}, b.table, &b.out)
		return b.out.List()
	}
	full := map[model.UpstreamID]bool{}
	for range 24 {
		full[onlyEffect[event.Forward](arrive("/slow/x")).Upstream] = true
	}
	Expect(full).To(HaveLen(2))
	Expect(full).NotTo(HaveKey(onlyEffect[event.Forward](arrive("/a/x")).Upstream))
})
