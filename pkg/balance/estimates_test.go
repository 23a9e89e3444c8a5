package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against underestimating the queue times at a service with long work
// times, as long as no response of the service has been measured.
var _ = It("work time is a fraction of the objective until a response is measured", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 1}, 1), newCatalog(0))
	q := balance.Query{AffinityKey: "x", Objective: 1200 * time.Millisecond}
	c := mustChoose(s, start, q)
	Expect(c.ResponseTime).To(Equal(360 * time.Millisecond))
	s.Sent(start, &c)
	Expect(mustChoose(s, start, q).QueueTime).To(Equal(1200 * time.Millisecond))
})

// Guards against assuming that an upstream is idle because its last load report
// is old. With many entry instances, each receives a report of a particular
// upstream only every few seconds.
var _ = It("upstream without a recent report is assumed to have the mean load of its region", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 9}, 9), newCatalog(0))
	busyReport := &model.LoadReport{Running: 9, Waiting: 3, Slots: 9, Slowdown: 1}
	at := start
	for range 100 {
		at = at.Add(10 * time.Millisecond)
		c := mustChoose(s, at, balance.Query{})
		s.Sent(at, &c)
		s.Ended(at, c.ID, &balance.End{Result: balance.Answered, ResponseTime: 100 * time.Millisecond, Load: busyReport})
	}
	later := at.Add(time.Second)
	Expect(mustChoose(s, later, balance.Query{}).Load).To(BeNumerically(">", 6))
})

// Guards against suspecting the upstreams of a service with long work times
// because they return no response while they work. The objects of a suspected
// upstream are requested from upstreams that do not have them in their caches.
var _ = It("upstream of a service with long work times is not suspected while it works", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 4}, 9), newCatalog(0))
	q := balance.Query{AffinityKey: "x", Objective: 1200 * time.Millisecond}
	first := mustChoose(s, start, q)
	for range 3 {
		s.Sent(start, &first)
	}
	Expect(mustChoose(s, start.Add(time.Second), q).ID).To(Equal(first.ID))
	Expect(mustChoose(s, start.Add(1400*time.Millisecond), q).ID).NotTo(Equal(first.ID))
})

// Guards against rejecting requests because of the queue at the upstream of their
// object while another region has free slots.
var _ = It("another region takes a request if the queue at its upstream is too long", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 1, "b1": 1}, 4), newCatalog(0))
	q := balance.Query{AffinityKey: "x", Objective: time.Second}
	at := start
	for range 60 {
		at = at.Add(10 * time.Millisecond)
		c := mustChoose(s, at, q)
		Expect(c.Zone).To(BeEquivalentTo("a1"))
		s.Sent(at, &c)
		s.Ended(at, c.ID, &balance.End{Result: balance.Answered, Cached: true, ResponseTime: 100 * time.Millisecond})
	}
	c := mustChoose(s, at, q)
	for ; c.Zone == "a1"; c = mustChoose(s, at, q) {
		Expect(balance.QueueTooLong(c.ResponseTime, c.QueueTime, q.Objective)).To(BeFalse(), "the request would be rejected")
		s.Sent(at, &c)
	}
	Expect(c.QueueTime).To(BeZero())
})

// Guards against losing one request after another at upstreams that close idle
// connections earlier than they state.
var _ = It("only recently used connections are reused after requests were lost on idle connections", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 5}, 9), newCatalog(0))
	loseRequest := func(responseTime time.Duration) model.UpstreamID {
		c := mustChoose(s, start, balance.Query{})
		Expect(c.MaxIdleTime).To(BeZero())
		s.Sent(start, &c)
		s.Ended(start, c.ID, &balance.End{Result: balance.Failed, IdleTime: 2 * time.Second, ResponseTime: responseTime})
		return c.ID
	}
	loseRequest(time.Second) // the upstream was processing the request
	firstLost := loseRequest(time.Millisecond)
	at := start.Add(5 * time.Second)
	for {
		c := mustChoose(s, at, balance.Query{})
		if c.ID == firstLost {
			Expect(c.MaxIdleTime).To(Equal(500 * time.Millisecond))
			break
		}
		s.Sent(at, &c)
	}
	loseRequest(time.Millisecond)
	loseRequest(time.Millisecond)
	Expect(mustChoose(s, start, balance.Query{}).MaxIdleTime).To(Equal(500*time.Millisecond), "after three upstreams")
	Expect(mustChoose(s, start.Add(time.Minute), balance.Query{}).MaxIdleTime).To(BeZero())
})
