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

// bed is the sub-reducer over three upstreams of each service.
type bed struct {
	state *routed.State
	table *catalog.Table
	out   event.Effects
	at    model.Time
	next  model.RequestID
}

func newBed(routes ...model.Route) *bed {
	c := catalog.New()
	r := registry.New(time.Second)
	for _, svc := range []string{"reads", "writes"} {
		c.Merge(model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: svc}, Version: 1, Service: &model.ServiceSpec{}})
		for _, n := range []string{"1", "2", "3"} {
			r.Heartbeat(start, model.Registration{ID: model.UpstreamID(svc + n), Service: model.ServiceName(svc),
				Address: "10.0.0." + n + ":" + svc, Zone: "z", Slots: 4, StartTimeMs: 1, Sequence: 1})
		}
	}
	for _, route := range routes {
		c.Merge(model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: route.Prefix}, Version: 1, Route: &route})
	}
	b := balance.New(balance.Identity{Zone: "z", Regions: map[model.Zone]model.Region{"z": "r"}})
	b.Sync(start, r, c, false)
	limits := routed.RetryBudgetLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 10}
	return &bed{state: routed.New(b, limits, rand.New(rand.NewPCG(1, 1)), 0), table: c.Table(), at: start}
}

// busy makes the service slow: its upstreams are observed to take so long.
func (b *bed) busy(took time.Duration) {
	for range 200 {
		b.at = b.at.Add(took)
		_, effects := b.arrive("/slow/x")
		f := only[event.Forward](effects)
		b.out.Reset()
		b.state.Ended(b.at, &event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, Outcome: event.SendAnswered, ResponseTime: took}, &b.out)
	}
}

func simple(kind model.RouteKind, attempts int) model.Route {
	return model.Route{Host: "h", Prefix: "/a/", Kind: kind, Timeout: time.Second, MaxAttempts: attempts,
		Splits: []model.Split{{Service: "reads", Weight: 1}}}
}

// arrive brings a request and returns its identifier and the effects.
func (b *bed) arrive(path string) (model.RequestID, []event.Effect) {
	b.next++
	b.out.Reset()
	b.state.Arrive(b.at, &event.RoutedArrived{ID: b.next, Host: "h", Path: path, Replayable: true}, b.table, &b.out)
	return b.next, b.out.List()
}

func (b *bed) end(f event.Forward, o event.SendOutcome) []event.Effect {
	b.out.Reset()
	b.state.Ended(b.at, &event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, Outcome: o, ResponseTime: time.Millisecond}, &b.out)
	return b.out.List()
}

func (b *bed) wake(after time.Duration) []event.Effect {
	b.at = b.at.Add(after)
	b.out.Reset()
	b.state.Wake(b.at, &b.out)
	return b.out.List()
}

// only returns the single effect of a type.
func only[T event.Effect](effects []event.Effect) T {
	var found []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	ExpectWithOffset(1, found).To(HaveLen(1))
	return found[0]
}

func none[T event.Effect](effects []event.Effect) {
	for _, e := range effects {
		_, ok := e.(T)
		ExpectWithOffset(1, ok).To(BeFalse())
	}
}

// Guards against a deposit that runs twice because its connection was lost.
var _ = It("non-idempotent request that may have run is not repeated", func() {
	b := newBed(simple(model.NonIdempotent, 3))
	_, effects := b.arrive("/a/x")
	effects = b.end(only[event.Forward](effects), event.SendLost)
	none[event.Forward](effects)
	Expect(result.Lookup(only[event.Reject](effects).Code).Class).To(Equal(result.OutcomeUnknown))
})

// Guards against a request that is given up although nothing of it ran.
var _ = It("request that provably did not run goes to another upstream", func() {
	for _, o := range []event.SendOutcome{event.SendNotExecuted, event.SendMisdirected, event.SendConnectFailed} {
		b := newBed(simple(model.NonIdempotent, 2))
		_, effects := b.arrive("/a/x")
		first := only[event.Forward](effects)
		second := only[event.Forward](b.end(first, o))
		Expect(second.Upstream).NotTo(Equal(first.Upstream))
		effects = b.end(second, event.SendNotExecuted)
		none[event.Forward](effects)
		reject := only[event.Reject](effects)
		Expect(result.Lookup(reject.Code).Class).To(Equal(result.NotRun))
		Expect(reject.RetryAfter).To(BeNumerically(">", 0))
	}
})

// Guards against a refusal that says "not run" after one of several sends may
// have run.
var _ = It("one send that may have run makes the outcome unknown", func() {
	b := newBed(simple(model.Idempotent, 2))
	_, effects := b.arrive("/a/x")
	second := only[event.Forward](b.end(only[event.Forward](effects), event.SendLost))
	reject := only[event.Reject](b.end(second, event.SendNotExecuted))
	Expect(result.Lookup(reject.Code).Class).To(Equal(result.OutcomeUnknown))
	Expect(reject.RetryAfter).To(BeZero())
})

// Guards against callers that wait beyond the timeout of their route, and
// against a truthless "not run" at the deadline.
var _ = It("deadline ends a request by what its send can have done", func() {
	for outcome, class := range map[event.SendOutcome]result.Class{
		event.SendCanceled: result.OutcomeUnknown, event.SendConnectFailed: result.NotRun} {
		b := newBed(simple(model.Idempotent, 2))
		_, effects := b.arrive("/a/x")
		f := only[event.Forward](effects)
		Expect(f.Timeout).To(BeNumerically("<=", time.Second))
		Expect(f.Deadline).To(BeNumerically("<=", start.Add(time.Second)))
		Expect(b.state.NextWake()).To(Equal(f.Deadline))
		effects = b.wake(time.Second)
		only[event.CancelSend](effects)
		none[event.Reject](effects)
		effects = b.end(f, outcome)
		none[event.Forward](effects)
		Expect(result.Lookup(only[event.Reject](effects).Code).Class).To(Equal(class))
		Expect(b.state.OpenRequests).To(BeZero())
	}
})

// Guards against an answer that is thrown away because it races the deadline.
var _ = It("answer that arrives with the deadline is delivered", func() {
	b := newBed(simple(model.NonIdempotent, 1))
	_, effects := b.arrive("/a/x")
	f := only[event.Forward](effects)
	b.wake(time.Second)
	only[event.Deliver](b.end(f, event.SendAnswered))
})

// Guards against upstreams that work on for callers that have left.
var _ = It("caller that leaves cancels its send", func() {
	b := newBed(simple(model.Idempotent, 2))
	id, effects := b.arrive("/a/x")
	f := only[event.Forward](effects)
	b.out.Reset()
	b.state.Canceled(id, &b.out)
	only[event.CancelSend](b.out.List())
	none[event.Forward](b.end(f, event.SendCanceled))
	Expect(b.state.OpenRequests).To(BeZero())
})

var _ = It("instance without configuration refuses, unknown paths are not found", func() {
	b := newBed(simple(model.Idempotent, 2))
	_, effects := b.arrive("/none")
	Expect(only[event.Reject](effects).Code).To(Equal(result.NotFound))
	b.table = nil
	_, effects = b.arrive("/a/x")
	Expect(only[event.Reject](effects).Code).To(Equal(result.NoConfiguration))
})

// Guards against repeats that multiply the load of a service that refuses
// everything. The bound is the ratio and slack of the limits.
var _ = It("repeats stay within the budget", func() {
	b := newBed(simple(model.Idempotent, 3))
	repeats := 0
	for range 500 {
		b.at = b.at.Add(10 * time.Millisecond)
		_, effects := b.arrive("/a/x")
		for f := only[event.Forward](effects); ; {
			effects = b.end(f, event.SendNotExecuted)
			next, ok := forward(effects)
			if !ok {
				break
			}
			repeats++
			f = next
		}
	}
	Expect(repeats).To(BeNumerically("<=", 0.2*500+10))
	Expect(repeats).To(BeNumerically(">", 20))
})

func forward(effects []event.Effect) (event.Forward, bool) {
	for _, e := range effects {
		if f, ok := e.(event.Forward); ok {
			return f, true
		}
	}
	return event.Forward{}, false
}

// Guards against parts of a split that differ from their weights in any short
// run of requests.
var _ = It("split follows the weights", func() {
	r := simple(model.Idempotent, 1)
	r.Splits = []model.Split{{Service: "reads", Weight: 80}, {Service: "writes", Weight: 20}}
	b := newBed(r)
	writes := 0
	for range 200 {
		_, effects := b.arrive("/a/x")
		f := only[event.Forward](effects)
		if f.Upstream[0] == 'w' {
			writes++
		}
		b.end(f, event.SendAnswered)
	}
	Expect(writes).To(BeNumerically("~", 40, 2))
})

// Guards against short requests that are refused because others of their service
// take longer than their deadline. The load is an idle service.
var _ = It("request with less time than usual work is tried", func() {
	slow := simple(model.Idempotent, 1)
	slow.Prefix, slow.Timeout = "/slow/", 10*time.Second
	short := simple(model.Idempotent, 1)
	short.Timeout = 500 * time.Millisecond
	b := newBed(slow, short)
	b.busy(600 * time.Millisecond)
	_, effects := b.arrive("/a/x")
	only[event.Forward](effects)
})

// Guards against requests that wait for a deadline which they cannot meet.
var _ = It("request that cannot be served in time is refused at once", func() {
	slow := simple(model.Idempotent, 1)
	slow.Prefix, slow.Timeout = "/slow/", 10*time.Second
	b := newBed(slow, simple(model.Idempotent, 1))
	b.busy(4 * time.Second)
	_, effects := b.arrive("/a/x")
	reject := only[event.Reject](effects)
	Expect(reject.Code).To(Equal(result.DeadlineTooShort))
	Expect(reject.RetryAfter).To(BeNumerically(">", 0))
})

// Guards against queues of work that is cut off at its deadline, so that its
// slots were used for nothing, and against callers that return before the work
// in these queues has ended. The load fills all slots; the wait for one and the
// usual work no longer fit into the time that is left.
var _ = It("work that would follow a queue is refused if it usually takes too long", func() {
	slow := simple(model.Idempotent, 1)
	slow.Prefix, slow.Timeout = "/slow/", 10*time.Second
	b := newBed(slow, simple(model.Idempotent, 1))
	b.busy(800 * time.Millisecond)
	for range 3 * 4 {
		_, effects := b.arrive("/slow/x")
		only[event.Forward](effects)
	}
	longest := time.Duration(0)
	for range 20 {
		_, effects := b.arrive("/a/x")
		reject := only[event.Reject](effects)
		Expect(reject.Code).To(Equal(result.DeadlineTooShort))
		longest = max(longest, reject.RetryAfter)
	}
	Expect(longest).To(BeNumerically(">", 600*time.Millisecond), "advice spreads over the time of the work")
})

// Guards against downloads that take their time on a slow link twice: held until
// they are complete and only then passed on.
var _ = It("long responses are passed on as they come on slow links", func() {
	const linkRate = 825_000 // bytes a second, 6.6 Mbit/s
	download := 90_000
	Expect(routed.BufferLimit(linkRate)).To(BeNumerically("<", download/4))
	Expect(routed.BufferLimit(linkRate)).To(BeNumerically(">", 9_000), "short ones stay repeatable")
	Expect(routed.BufferLimit(125_000_000)).To(Equal(1 << 20))
	Expect(routed.BufferLimit(0)).To(Equal(1 << 20))
})

// Guards against requests that are refused since the upstream of their object
// has a queue, while another one could serve them in time. The load is on one
// object.
var _ = It("request goes where it ends in time if its object's upstream is full", func() {
	slow := simple(model.Idempotent, 1)
	slow.Prefix, slow.Timeout, slow.Affinity = "/slow/", 10*time.Second, true
	short := simple(model.Idempotent, 1)
	short.Affinity = true
	b := newBed(slow, short)
	b.busy(400 * time.Millisecond)
	arrive := func(path string) []event.Effect {
		b.next++
		b.out.Reset()
		b.state.Arrive(b.at, &event.RoutedArrived{ID: b.next, Host: "h", Path: path, AffinityKey: "x", Replayable: true}, b.table, &b.out)
		return b.out.List()
	}
	full := map[model.UpstreamID]bool{}
	for range 24 {
		full[only[event.Forward](arrive("/slow/x")).Upstream] = true
	}
	Expect(full).To(HaveLen(2))
	Expect(full).NotTo(HaveKey(only[event.Forward](arrive("/a/x")).Upstream))
})
