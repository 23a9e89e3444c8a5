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

// Guards against an operation that is wrongly accepted, wrongly rejected or
// rejected with the wrong code, and against a dry run that changes the state.
// expected is the version that the change expects; the present version is 2.
var _ = Describe("result code of one change", func() {
	shift := &model.Shift{ID: "x", Service: "s", From: "r", To: "q", Percent: 10, Cap: 4}
	badShift := &model.Shift{ID: "x", Service: "s", From: "r", To: "nowhere", Percent: 10, Cap: 4}
	for name, tc := range map[string]struct {
		expected  model.Version
		operation change.Operation
		code      result.Code
	}{
		"set a new profile":               {2, change.Operation{Kind: change.SetProfile, Profile: newProfile("n")}, result.Success},
		"delete a profile in use":         {2, change.Operation{Kind: change.DeleteProfile, Name: "p"}, result.InvalidChange},
		"delete an unknown profile":       {2, change.Operation{Kind: change.DeleteProfile, Name: "n"}, result.InvalidChange},
		"bind to an unknown profile":      {2, change.Operation{Kind: change.BindService, Service: &model.Service{Name: "s", Profile: "n"}}, result.InvalidChange},
		"bind a new service":              {2, change.Operation{Kind: change.BindService, Service: &model.Service{Name: "t", Profile: "p"}}, result.Success},
		"set a new shift":                 {2, change.Operation{Kind: change.SetShift, Shift: shift}, result.Success},
		"shift to an unknown region":      {2, change.Operation{Kind: change.SetShift, Shift: badShift}, result.InvalidChange},
		"delete an unknown shift":         {2, change.Operation{Kind: change.DeleteShift, Name: "x"}, result.InvalidChange},
		"drain an upstream":               {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainUpstream, Target: "u"}}, result.Success},
		"drain a zone":                    {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainZone, Target: "a"}}, result.Success},
		"drain an unknown zone":           {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainZone, Target: "aa"}}, result.InvalidChange},
		"drain an unknown region":         {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainRegion, Target: "rr"}}, result.InvalidChange},
		"drain an unknown instance":       {2, change.Operation{Kind: change.AddDrain, Drain: &model.Drain{Kind: model.DrainInstance, Target: "a-9"}}, result.InvalidChange},
		"remove a missing drain":          {2, change.Operation{Kind: change.RemoveDrain, Drain: &model.Drain{Kind: model.DrainZone, Target: "a"}}, result.InvalidChange},
		"roster with an unknown zone":     {2, change.Operation{Kind: change.SetRoster, Zones: firstConfig().Zones, Roster: []model.RosterEntry{{ID: "c", Zone: "c"}}}, result.InvalidChange},
		"set a link without a rate":       {2, change.Operation{Kind: change.SetLinks, Links: []model.Link{{A: "r", B: "q"}}}, result.InvalidChange},
		"remove all links":                {2, change.Operation{Kind: change.SetLinks}, result.Success},
		"roll back to an unknown version": {2, change.Operation{Kind: change.RollBack, Version: 9}, result.InvalidChange},
		"bootstrap a second time":         {2, change.Operation{Kind: change.Bootstrap, Config: firstConfig()}, result.InvalidChange},
		"expect an earlier version":       {1, change.Operation{Kind: change.SetProfile, Profile: newProfile("n")}, result.VersionConflict},
		"expect a later version":          {3, change.Operation{Kind: change.SetProfile, Profile: newProfile("n")}, result.VersionConflict},
		"unknown operation":               {2, change.Operation{Kind: "explode"}, result.MalformedChange},
		"operation without its field":     {2, change.Operation{Kind: change.SetShift}, result.MalformedChange},
		"operation with another field":    {2, change.Operation{Kind: change.SetProfile, Profile: newProfile("n"), Name: "n"}, result.MalformedChange},
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

// Guards against a change that is accepted although another change has already
// replaced its expected version. Also guards against a result of the rejected
// change that names a later change instead of the one that replaced the version.
var _ = It("result of a rejected change names the accepted change", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	g.Expect(s.Apply(5, profileChange("winner", 2)).Version).To(BeEquivalentTo(5))
	g.Expect(s.Apply(6, profileChange("later", 5)).Version).To(BeEquivalentTo(6))
	r := s.Apply(7, profileChange("loser", 2))
	g.Expect(r.Code).To(Equal(result.VersionConflict))
	g.Expect(r.Winner).To(Equal(change.Summary{Version: 5, ID: "change-winner", Author: "ada"}))
})

// Guards against a resent change that is applied twice or gets another result
// the second time. Also guards against a different change that is accepted under
// an identifier in use.
var _ = It("resent change is applied once", func() {
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

// Guards against results, a history or kept versions that grow with every change,
// and against a result that is removed before MaxResults later ones are recorded.
var _ = It("results, history and kept versions are bounded", func() {
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

// Guards against a roll back that reuses the earlier version number, or that
// does not bring back the content of the earlier version.
var _ = It("roll back creates a new version", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	s.Apply(2, profileChange("extra", 2))
	r := s.Apply(3, newChange("back", 3, change.Operation{Kind: change.RollBack, Version: 2}))
	g.Expect(r.Code).To(Equal(result.Success), r.Detail)
	g.Expect(r.Version).To(BeEquivalentTo(4))
	g.Expect(s.Config().Profiles).To(Equal(firstConfig().Profiles))
})

// Guards against a member of the control group that is restored from an encoded
// snapshot and then has other results than the other members.
var _ = It("restored state returns the same results as the original", func() {
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

// Guards against a change that modifies the configuration of an earlier version.
// This could happen because the two configurations share their lists.
var _ = It("change does not modify earlier versions", func() {
	g := NewWithT(GinkgoTB())
	s := newState()
	before := s.Config()
	changed := newProfile("p")
	changed.QueueLimit = 99
	s.Apply(2, newChange("edit", 2, change.Operation{Kind: change.SetProfile, Profile: changed}))
	g.Expect(before.Profiles[0].QueueLimit).To(Equal(10))
	g.Expect(s.Config().Profiles[0].QueueLimit).To(Equal(99))
})
