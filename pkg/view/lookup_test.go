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

// Guards against lookups that send callers to other zones although their own has
// instances, and against lookups that send all callers to one instance.
var _ = It("lookup prefers the callers zone and spreads clients", func() {
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

// Guards against a lookup result whose key zone is not part of the deployment.
var _ = It("lookup with unknown zone uses the instances zone", func() {
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
