package change_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

func newProfile(name string) *model.Profile {
	return &model.Profile{Name: name, Class: "short", Repeat: model.RetryNever, MaxAttempts: 1,
		DeadlineMs: 1000, QueueLimit: 10, Spill: model.SpillZone}
}

func firstConfig() *model.Config {
	return &model.Config{
		Zones:    []model.ZoneInfo{{Zone: "a", Region: "r"}, {Zone: "b", Region: "q"}},
		Roster:   []model.RosterEntry{{ID: "a-1", Zone: "a"}},
		Profiles: []model.Profile{*newProfile("p")},
		Services: []model.Service{{Name: "s", Profile: "p"}},
	}
}

func newChange(id string, expected model.Version, o change.Operation) *change.Change {
	return &change.Change{ID: "change-" + id, Expected: expected, Author: "ada", Time: 7, Reason: "test", Operation: o}
}

// newState returns a state at version 2 with the configuration of firstConfig.
func newState() *change.State {
	s := change.New()
	s.Apply(1, newChange("boot", 0, change.Operation{Kind: change.Bootstrap, Config: firstConfig()}))
	return s
}

func profileChange(id string, expected model.Version) *change.Change {
	return newChange(id, expected, change.Operation{Kind: change.SetProfile, Profile: newProfile(id)})
}

// Each row guards against the failure in its name.
var _ = Describe("result of one change", func() {
	shift := &model.Shift{ID: "x", Service: "s", From: "r", To: "q", Percent: 10, Cap: 4}
	badShift := &model.Shift{ID: "x", Service: "s", From: "r", To: "nowhere", Percent: 10, Cap: 4}
	for name, tc := range map[string]struct {
		expected  model.Version
		operation change.Operation
		code      result.Code
	}{
		"profile not set":              {2, change.Operation{Kind: change.SetProfile, Profile: newProfile("n")}, result.Success},
		"used profile deleted":         {2, change.Operation{Kind: change.DeleteProfile, Name: "p"}, result.InvalidChange},
		"unknown profile deleted":      {2, change.Operation{Kind: change.DeleteProfile, Name: "n"}, result.InvalidChange},
		"service bound to nothing":     {2, change.Operation{Kind: change.BindService, Service: &model.Service{Name: "s", Profile: "n"}}, result.InvalidChange},
		"service not bound":            {2, change.Operation{Kind: change.BindService, Service: &model.Service{Name: "t", Profile: "p"}}, result.Success},
		"shift not set":                {2, change.Operation{Kind: change.SetShift, Shift: shift}, result.Success},
		"shift to an unknown region":   {2, change.Operation{Kind: change.SetShift, Shift: badShift}, result.InvalidChange},
		"unknown shift deleted":        {2, change.Operation{Kind: change.DeleteShift, Name: "x"}, result.InvalidChange},
		"upstream not drained":         {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainUpstream, Target: "u"}}, result.Success},
		"zone not drained":             {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainZone, Target: "a"}}, result.Success},
		"misspelled zone drained":      {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainZone, Target: "aa"}}, result.InvalidChange},
		"misspelled region drained":    {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainRegion, Target: "rr"}}, result.InvalidChange},
		"misspelled instance drained":  {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainInstance, Target: "a-9"}}, result.InvalidChange},
		"missing drain removed":        {2, change.Operation{Kind: change.RemoveDrain, Drain: &model.Drain{Kind: model.DrainZone, Target: "a"}}, result.InvalidChange},
		"roster in an unknown zone":    {2, change.Operation{Kind: change.SetRoster, Zones: firstConfig().Zones, Roster: []model.RosterEntry{{ID: "c", Zone: "c"}}}, result.InvalidChange},
		"link without a rate":          {2, change.Operation{Kind: change.SetLinks, Links: []model.Link{{A: "r", B: "q"}}}, result.InvalidChange},
		"links not removed":            {2, change.Operation{Kind: change.SetLinks}, result.Success},
		"roll back to nothing":         {2, change.Operation{Kind: change.RollBack, Version: 9}, result.InvalidChange},
		"second bootstrap":             {2, change.Operation{Kind: change.Bootstrap, Config: firstConfig()}, result.InvalidChange},
		"older version expected":       {1, change.Operation{Kind: change.SetProfile, Profile: newProfile("n")}, result.VersionConflict},
		"future version expected":      {3, change.Operation{Kind: change.SetProfile, Profile: newProfile("n")}, result.VersionConflict},
		"unknown operation":            {2, change.Operation{Kind: "explode"}, result.MalformedChange},
		"operation without its field":  {2, change.Operation{Kind: change.SetShift}, result.MalformedChange},
		"operation with another field": {2, change.Operation{Kind: change.SetProfile, Profile: newProfile("n"), Name: "n"}, result.MalformedChange},
	} {
		It(name, func() {
			g := NewWithT(GinkgoTB())
			s := newState()
			c := newChange("tested", tc.expected, tc.operation)
			dryRunResult, _ := s.DryRun(c)
			g.Expect(dryRunResult.Code).To(Equal(tc.code), dryRunResult.Detail)
			g.Expect(s.Version()).To(BeEquivalentTo(2), "a dry run changed the state")
			r := s.Apply(2, c)
			g.Expect(r.Code).To(Equal(tc.code), r.Detail)
			g.Expect(s.Version() == 3).To(Equal(tc.code == result.Success))
		})
	}
})

// Guards against two accepted changes that replace the same version, and
// against a rejected change whose result does not name the accepted one after
// further changes.
var _ = It("loser is told the winner", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	g.Expect(s.Apply(5, profileChange("winner", 2)).Version).To(BeEquivalentTo(5))
	g.Expect(s.Apply(6, profileChange("later", 5)).Version).To(BeEquivalentTo(6))
	r := s.Apply(7, profileChange("loser", 2))
	g.Expect(r.Code).To(Equal(result.VersionConflict))
	g.Expect(r.Winner).To(Equal(change.Summary{Version: 5, ID: "change-winner", Author: "ada"}))
})

// Guards against a resent change that is applied twice or gets another result
// the second time, and against another change with the same identifier.
var _ = It("change ID is idempotent", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	c := profileChange("same", 2)
	want := s.Apply(2, c)
	s.Apply(3, profileChange("other", 3))
	resent := *c
	resent.Time = 99
	g.Expect(s.Apply(4, &resent)).To(Equal(want))
	differentBody := *c
	differentBody.Operation.Profile = newProfile("different")
	g.Expect(s.Apply(5, &differentBody).Code).To(Equal(result.ChangeIDReused))
	g.Expect(s.History(10)).To(HaveLen(3))
})

// Guards against a state that grows without bound, and against a recorded
// result that is removed too early.
var _ = It("bounds of memory", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	for i := range change.MaxResults {
		r := s.Apply(uint64(i+2), newChange(fmt.Sprint(i), s.Version(), change.Operation{Kind: change.SetLinks}))
		g.Expect(r.Code).To(Equal(result.Success))
	}
	snap := s.Snapshot()
	g.Expect(snap.Results).To(HaveLen(change.MaxResults))
	g.Expect(snap.Results[0].ID).To(Equal("change-0"))
	g.Expect(snap.History).To(HaveLen(change.MaxHistory))
	g.Expect(snap.Kept).To(HaveLen(change.MaxRollbackVersions))
})

// Guards against a roll back that reuses the old version number, or that does
// not bring back the content.
var _ = It("roll back is a new version", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	s.Apply(2, profileChange("extra", 2))
	r := s.Apply(3, newChange("back", 3, change.Operation{Kind: change.RollBack, Version: 2}))
	g.Expect(r.Code).To(Equal(result.Success), r.Detail)
	g.Expect(r.Version).To(BeEquivalentTo(4))
	g.Expect(s.Config().Profiles).To(Equal(firstConfig().Profiles))
})

// Guards against a member that differs from the others after it was restored
// from an encoded snapshot.
var _ = It("restored state continues equally", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	s.Apply(2, profileChange("one", 2))
	snap := s.Snapshot()
	data, err := codec.EncodeSnapshot(&snap)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := codec.DecodeSnapshot(data)
	g.Expect(err).NotTo(HaveOccurred())
	restored := change.Restore(*decoded)
	for i, c := range []*change.Change{profileChange("one", 2), profileChange("two", 3), profileChange("late", 2),
		newChange("back", 4, change.Operation{Kind: change.RollBack, Version: 2})} {
		entry, err := codec.EncodeChange(c)
		g.Expect(err).NotTo(HaveOccurred())
		decodedChange, err := codec.DecodeChange(entry)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(restored.Apply(uint64(i+3), decodedChange)).To(Equal(s.Apply(uint64(i+3), c)))
	}
	g.Expect(restored.Config().Profiles).To(Equal(s.Config().Profiles))
	g.Expect(restored.History(10)).To(Equal(s.History(10)))
})

// Guards against changes that modify an earlier version, whose lists are shared
// with later versions.
var _ = It("earlier versions stay unchanged", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	before := s.Config()
	changed := newProfile("p")
	changed.QueueLimit = 99
	s.Apply(2, newChange("edit", 2, change.Operation{Kind: change.SetProfile, Profile: changed}))
	g.Expect(before.Profiles[0].QueueLimit).To(Equal(10))
	g.Expect(s.Config().Profiles[0].QueueLimit).To(Equal(99))
})
