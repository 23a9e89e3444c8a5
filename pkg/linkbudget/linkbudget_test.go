package linkbudget

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// config returns a configuration with three regions and a budget for the regions a
// and b. Three instances are in these two regions.
func config() *model.Config {
	return &model.Config{
		Version: 1,
		Zones:   []model.ZoneInfo{{Zone: "a1", Region: "a"}, {Zone: "b1", Region: "b"}, {Zone: "c1", Region: "c"}},
		Roster:  []model.RosterEntry{{ID: "i1", Zone: "a1"}, {ID: "i2", Zone: "a1"}, {ID: "i3", Zone: "b1"}, {ID: "i4", Zone: "c1"}},
		Links:   []model.Link{{A: "a", B: "b", BytesPerSecond: 3_000_001}},
	}
}

// Guards against instances that together exceed the budget of a link.
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

// bytesPassed returns the number of bytes that the bucket allows within a time if
// they are sent in chunks.
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

// Guards against a rate that is exceeded, or not reached, over a second.
var _ = It("bucket allows its rate and at most one burst more", func() {
	g := NewWithT(GinkgoTB())
	b := &bucket{}
	b.setRate(model.Time(time.Hour), 1_000_000)
	n := bytesPassed(b, 10_000, time.Second)
	g.Expect(n).To(BeNumerically("<=", 1_000_000+50_000))
	g.Expect(n).To(BeNumerically(">=", 1_000_000))
})

// Guards against a change of the budget that fills the bucket again, or that resets
// the negative balance of tokens taken before they were due.
var _ = It("change of the rate keeps the balance of the bucket", func() {
	g := NewWithT(GinkgoTB())
	at := model.Time(time.Hour)
	b := &bucket{}
	b.setRate(at, 1000)
	b.take(at, 1050)
	b.setRate(at, 2000)
	g.Expect(b.take(at, 1000)).To(Equal(time.Second))
})

// Guards against a long body that uses the whole share, and against a rate
// limit on traffic inside a region.
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
