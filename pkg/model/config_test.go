package model_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

func TestSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

// Guards against two instances that compute different ledger groups from the same
// roster, because they list it in different orders. Also guards against a group
// with instances of other zones while the home zone has unused instances.
var _ = It("prefers instances of the home zone, then of its region, for a ledger group", func() {
	c := &model.Config{Zones: []model.ZoneInfo{{Zone: "a", Region: "r"}, {Zone: "b", Region: "r"}, {Zone: "c", Region: "s"}}}
	for _, z := range c.Zones {
		for k := range 4 {
			c.Roster = append(c.Roster, model.RosterEntry{ID: model.InstanceID(fmt.Sprintf("%s-%d", z.Zone, k)), Zone: z.Zone})
		}
	}
	// Zone b has only one instance.
	c.Roster = append(c.Roster[:5], c.Roster[8:]...)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		rng.Shuffle(len(c.Roster), func(i, j int) { c.Roster[i], c.Roster[j] = c.Roster[j], c.Roster[i] })
		Expect(c.LedgerGroup("a")).To(Equal([]model.InstanceID{"a-0", "a-1", "a-2"}))
		Expect(c.LedgerGroup("b")).To(Equal([]model.InstanceID{"b-0", "a-0", "a-1"}))
		Expect(c.LedgerGroup("c")).To(Equal([]model.InstanceID{"c-0", "c-1", "c-2"}))
	}
})

// Each entry makes one element of a valid configuration invalid. Guards against
// accepting such a configuration, and against an error whose path names an element
// other than the invalid one.
var _ = DescribeTable("reports the path of the invalid element", func(path string, invalidate func(*model.Config)) {
	c := &model.Config{
		Zones:    []model.ZoneInfo{{Zone: "a", Region: "r"}, {Zone: "b", Region: "s"}},
		Roster:   []model.RosterEntry{{ID: "a-1", Zone: "a"}},
		Profiles: []model.Profile{{Name: "p", Class: "short", Repeat: model.RetryNever, MaxAttempts: 1, DeadlineMs: 1000, Spill: model.SpillAny}},
		Services: []model.Service{{Name: "tabs", Profile: "p"}},
		Shifts:   []model.Shift{{ID: "x", Service: "tabs", From: "r", To: "s", Percent: 10, Cap: 3}},
		Drains:   []model.Drain{{Kind: model.DrainZone, Target: "a"}},
		Links:    []model.Link{{A: "r", B: "s", BytesPerSecond: 1}},
	}
	Expect(c.Validate()).To(Succeed())
	invalidate(c)
	var field *model.FieldError
	Expect(c.Validate()).To(BeAssignableToTypeOf(field))
	Expect(c.Validate().(*model.FieldError).Path).To(Equal(path))
},
	Entry("duplicate zone", "zones[1]", func(c *model.Config) { c.Zones[1].Zone = "a" }),
	Entry("instance in unknown zone", "roster[0]", func(c *model.Config) { c.Roster[0].Zone = "z" }),
	Entry("two attempts with repeat never", "profiles[0]", func(c *model.Config) { c.Profiles[0].MaxAttempts = 2 }),
	Entry("profile without deadline", "profiles[0]", func(c *model.Config) { c.Profiles[0].DeadlineMs = 0 }),
	Entry("service without profile", "services[0]", func(c *model.Config) { c.Services[0].Profile = "q" }),
	Entry("shift over 100 percent", "shifts[0]", func(c *model.Config) { c.Shifts[0].Percent = 101 }),
	Entry("shift into the same region", "shifts[0]", func(c *model.Config) { c.Shifts[0].To = "r" }),
	Entry("two shifts with the same origin", "shifts[1]", func(c *model.Config) {
		c.Shifts = append(c.Shifts, model.Shift{ID: "y", Service: "tabs", From: "r", To: "s"})
	}),
	Entry("drain of an unknown kind", "drains[0]", func(c *model.Config) { c.Drains[0].Kind = "rack" }),
	Entry("link without rate", "links[0]", func(c *model.Config) { c.Links[0].BytesPerSecond = 0 }),
)
