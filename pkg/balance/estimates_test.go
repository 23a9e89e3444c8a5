package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against full queues taken for short ones in the first seconds, at
// services whose work takes longer than that of the smaller deployments.
var _ = It("work takes its part of the objective until a response says otherwise", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 1}, 1), newCatalog(0))
	q := balance.Query{AffinityKey: "x", Objective: 1200 * time.Millisecond}
	c := mustChoose(s, start, q)
	Expect(c.ResponseTime).To(Equal(360 * time.Millisecond))
	s.Sent(start, &c)
	Expect(mustChoose(s, start, q).QueueTime).To(Equal(1200 * time.Millisecond))
})

// Guards against upstreams taken for idle when their last report is old: with
// many entry instances each one hears from an upstream every few seconds only.
var _ = It("upstream without a fresh report is as busy as its region", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 9}, 9), newCatalog(0))
	busy := &model.LoadReport{Running: 9, Waiting: 3, Slots: 9, Slowdown: 1}
	at := start
	for range 100 {
		at = at.Add(10 * time.Millisecond)
		c := mustChoose(s, at, balance.Query{})
		s.Sent(at, &c)
		s.Ended(at, c.ID, &balance.End{Result: balance.Answered, ResponseTime: 100 * time.Millisecond, Load: busy})
	}
	later := at.Add(time.Second)
	Expect(mustChoose(s, later, balance.Query{}).Load).To(BeNumerically(">", 6))
})

// Guards against upstreams suspected for work that usually takes longer than the
// requests of other services, which moves their objects to where they are not
// known.
var _ = It("long work is no silence", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 4}, 9), newCatalog(0))
	q := balance.Query{AffinityKey: "x", Objective: 1200 * time.Millisecond}
	first := mustChoose(s, start, q)
	for range 3 {
		s.Sent(start, &first)
	}
	Expect(mustChoose(s, start.Add(time.Second), q).ID).To(Equal(first.ID))
	Expect(mustChoose(s, start.Add(1400*time.Millisecond), q).ID).NotTo(Equal(first.ID))
})

// Guards against a series of lost requests at upstreams that forget connections
// earlier than they state.
var _ = It("lost requests bound the rest of connections", func() {
	s := newInstance("a1", newRegistry(map[model.Zone]int{"a1": 5}, 9), newCatalog(0))
	lose := func(took time.Duration) model.UpstreamID {
		c := mustChoose(s, start, balance.Query{})
		Expect(c.MaxIdleTime).To(BeZero())
		s.Sent(start, &c)
		s.Ended(start, c.ID, &balance.End{Result: balance.Failed, IdleTime: 2 * time.Second, ResponseTime: took})
		return c.ID
	}
	lose(time.Second) // the upstream was at work
	first := lose(time.Millisecond)
	at := start.Add(5 * time.Second)
	for {
		c := mustChoose(s, at, balance.Query{})
		if c.ID == first {
			Expect(c.MaxIdleTime).To(Equal(500 * time.Millisecond))
			break
		}
		s.Sent(at, &c)
	}
	lose(time.Millisecond)
	lose(time.Millisecond)
	Expect(mustChoose(s, start, balance.Query{}).MaxIdleTime).To(Equal(500*time.Millisecond), "after three upstreams")
	Expect(mustChoose(s, start.Add(time.Minute), balance.Query{}).MaxIdleTime).To(BeZero())
})
