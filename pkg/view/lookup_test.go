package view_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

func testView() *view.View {
	config := &model.Config{
		Version:  7,
		Zones:    []model.ZoneInfo{{Zone: "a", Region: "r"}, {Zone: "b", Region: "r"}, {Zone: "c", Region: "s"}},
		Profiles: []model.Profile{{Name: "p"}},
		Services: []model.Service{{Name: "reads", Profile: "p"}},
	}
	var instances []view.Instance
	for _, z := range config.Zones {
		for k := range 2 {
			instances = append(instances, view.Instance{
				ID: model.InstanceID(fmt.Sprintf("%s-%d", z.Zone, k)), Zone: z.Zone, Region: z.Region})
		}
	}
	return view.New(instances[4], config, instances, false)
}

// Guards against lookups that send a caller to another zone although the caller's
// zone has instances. Also guards against lookups that send all callers of a zone
// to the same instance first.
var _ = It("lookup prefers instances of the caller's zone and spreads callers over them", func() {
	g := NewWithT(GinkgoTB())
	v := testView()
	first := map[model.InstanceID]int{}
	for n := range 200 {
		a := v.Lookup("reads", "b", fmt.Sprint(n))
		g.Expect(a.Instances).To(HaveLen(view.MaxLookupInstances))
		zones := []model.Zone{}
		for _, i := range a.Instances {
			zones = append(zones, i.Zone)
		}
		g.Expect(zones).To(Equal([]model.Zone{"b", "b", "a", "a"}))
		first[a.Instances[0].ID]++
	}
	g.Expect(first["b-0"]).To(BeNumerically(">", 50))
	g.Expect(first["b-1"]).To(BeNumerically(">", 50))
})

// Guards against a caller that names an unknown zone and receives this zone as the
// home zone for its idempotency keys. No ledger group could store such keys.
var _ = It("lookup with an unknown zone returns the zone of the answering instance", func() {
	g := NewWithT(GinkgoTB())
	g.Expect(testView().Lookup("reads", "nowhere", "x").KeyZone).To(Equal(model.Zone("c")))
	g.Expect(testView().Lookup("nothing", "a", "x")).To(BeNil())
})

func BenchmarkLookup(b *testing.B) {
	v := testView()
	b.ReportAllocs()
	for b.Loop() {
		if v.Lookup("reads", "b", "client-17") == nil {
			b.Fatal("no answer")
		}
	}
}
