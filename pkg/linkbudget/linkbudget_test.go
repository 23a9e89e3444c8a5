package linkbudget

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// config returns a configuration with the three regions a, b and c and a bandwidth
// budget between a and b. Three of its four instances are in a or b.
func config() *model.Config {
	return &model.Config{
		Version: 1,
		Zones:   []model.ZoneInfo{{Zone: "a1", Region: "a"}, {Zone: "b1", Region: "b"}, {Zone: "c1", Region: "c"}},
		Roster:  []model.RosterEntry{{ID: "i1", Zone: "a1"}, {ID: "i2", Zone: "a1"}, {ID: "i3", Zone: "b1"}, {ID: "i4", Zone: "c1"}},
		Links:   []model.Link{{A: "a", B: "b", BytesPerSecond: 3_000_001}},
	}
}

// Each instance keeps to its own share without asking the others. If the shares
// added up to more than the bandwidth budget of a region pair, the instances
// together would exceed it.
var _ = It("shares add up to the budget", func() {
	g := NewWithT(GinkgoTB())
	c := config()
	total := map[[2]model.Region]int64{}
	for _, r := range c.Roster {
		for _, s := range Shares(c, r.ID) {
			total[[2]model.Region{s.From, s.To}] += s.BytesPerSecond
			g.Expect(s.LongBytesPerSecond).To(Equal(s.BytesPerSecond * 80 / 100))
		}
	}
	g.Expect(total).To(HaveLen(2))
	for _, sum := range total {
		g.Expect(sum).To(BeNumerically("<=", c.Links[0].BytesPerSecond))
		g.Expect(sum).To(BeNumerically(">", c.Links[0].BytesPerSecond-3))
	}
	g.Expect(Shares(c, "i4")).To(BeEmpty())
})

// bytesPassed returns how many bytes a sender can send in the given time if it
// takes the tokens for one chunk of bytes at a time.
func bytesPassed(b *bucket, chunk int, within time.Duration) int {
	at, n := model.Time(time.Hour), 0
	b.filledAt = at
	end := at.Add(within)
	for {
		at = at.Add(b.take(at, chunk))
		if at > end {
			return n
		}
		n += chunk
	}
}

// The bytes sent in one second must reach the rate of the bucket. They may exceed
// it only by the capacity, which is the rate times burstTime.
var _ = It("bucket allows its rate and at most one burst more", func() {
	g := NewWithT(GinkgoTB())
	b := &bucket{}
	b.setRate(model.Time(time.Hour), 1_000_000)
	n := bytesPassed(b, 10_000, time.Second)
	g.Expect(n).To(BeNumerically("<=", 1_000_000+50_000))
	g.Expect(n).To(BeNumerically(">=", 1_000_000))
})

// Each change of the bandwidth budget changes the rate of the bucket. If a
// change of the rate refilled the bucket or set a negative balance to zero, a sender
// could exceed the budget.
var _ = It("change of the rate keeps the balance of the bucket", func() {
	g := NewWithT(GinkgoTB())
	at := model.Time(time.Hour)
	b := &bucket{}
	b.setRate(at, 1000)
	b.take(at, 1050)
	b.setRate(at, 2000)
	g.Expect(b.take(at, 1000)).To(Equal(time.Second))
})

// A long body must not use the whole share of the instance, because short bodies
// would then have to wait for it. Bodies that stay inside one region have no limit.
var _ = It("long bodies leave bandwidth for short bodies", func() {
	g := NewWithT(GinkgoTB())
	at := model.Time(time.Hour)
	p := NewPacer(func() model.Time { return at })
	p.Configure(config(), "i1")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(p.Wait(ctx, "a", "a", model.Long, 1<<30)).To(Succeed())
	g.Expect(p.Wait(ctx, "b", "a", model.Long, 40_000)).To(Succeed())
	g.Expect(p.Wait(ctx, "b", "a", model.Long, 10_000)).To(MatchError(context.Canceled))
	g.Expect(p.Wait(ctx, "b", "a", model.Short, 9_000)).To(Succeed())
})
