package catalog_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// evacuation applies the start or end of the evacuation of zone z, on the given basis.
func evacuation(s *catalog.State, active bool, basis uint64) result.Code {
	return s.Apply(s.Position()+1, &catalog.Command{Conditional: true, Basis: basis, Evacuation: &model.Evacuation{Zone: "z", Active: active}}).Code
}

func change(s *catalog.State, basis uint64, items ...model.Item) result.Code {
	return s.Apply(s.Position()+1, &catalog.Command{Conditional: true, Basis: basis, Items: items}).Code
}

// Guards against an order that is applied late, after its caller had left and gave the
// opposite order. A snapshot in between must not change what is overtaken.
var _ = It("late start or end of an evacuation does not overtake a later one", func() {
	s := newStateWithRoute()
	before := s.Position()
	Expect(evacuation(s, true, before)).To(Equal(result.Success))
	Expect(evacuation(s, false, s.Position())).To(Equal(result.Success))
	Expect(evacuation(s, true, before)).To(Equal(result.ChangeOvertaken))
	s = catalog.Restore(s.Snapshot())
	Expect(evacuation(s, true, before)).To(Equal(result.ChangeOvertaken))
	Expect(s.IsEvacuated("z")).To(BeFalse())
	// The end is acknowledged again, and that overtakes earlier orders too.
	arrived := s.Position()
	Expect(evacuation(s, false, arrived)).To(Equal(result.Success))
	s = catalog.Restore(s.Snapshot())
	Expect(evacuation(s, true, arrived)).To(Equal(result.ChangeOvertaken))
	Expect(evacuation(s, true, s.Position())).To(Equal(result.Success))
	Expect(s.IsEvacuated("z")).To(BeTrue())
	// An order that repeats the state is acknowledged whatever its basis.
	Expect(evacuation(s, true, before)).To(Equal(result.Success))
})

// Guards against a change that comes into force although its caller was told that it is
// invalid, because it was proposed again when it had become valid.
var _ = It("change that was rejected does not come into force late", func() {
	s := newStateWithRoute()
	late := route("late", 9, "/late/", "archive")
	before := s.Position()
	Expect(change(s, before, late)).To(Equal(result.InvalidChange))
	rejected := s.Position()
	Expect(change(s, rejected, service("archive", 9))).To(Equal(result.Success))
	Expect(change(s, before, late)).To(Equal(result.ChangeOvertaken))
	s = catalog.Restore(s.Snapshot())
	Expect(change(s, before, late)).To(Equal(result.ChangeOvertaken))
	// Another change that arrived at the same time is not concerned.
	Expect(change(s, before, route("other", 9, "/other/", "archive"))).To(Equal(result.Success))
	// Sent again after the rejection, the change is valid, and is acknowledged from then on.
	Expect(change(s, rejected, late)).To(Equal(result.Success))
	Expect(change(s, before, late)).To(Equal(result.Success))
})

// Guards against a list of rejected changes that grows for ever, and against a late
// change that comes into force because its rejection was forgotten.
var _ = It("number of retained rejections is limited", func() {
	s := newStateWithRoute()
	before := s.Position()
	late := route("late", 9, "/late/", "archive")
	Expect(change(s, before, late)).To(Equal(result.InvalidChange))
	for i := range 1000 {
		Expect(change(s, s.Position(), route(fmt.Sprint("r", i), 9, fmt.Sprint("/", i, "/"), "unknown"))).To(Equal(result.InvalidChange))
	}
	Expect(len(s.Snapshot().Rejections.Latest)).To(BeNumerically("<=", 256))
	Expect(change(s, s.Position(), service("archive", 9))).To(Equal(result.Success))
	Expect(change(s, before, late)).To(Equal(result.ChangeOvertaken))
	Expect(change(s, s.Position(), late)).To(Equal(result.Success))
})
