package directory_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// newView returns a view with an entry instance in each of the given zones.
func newView(zones ...model.Zone) *directory.View {
	v := &directory.View{Regions: map[model.Zone]model.Region{"a1": "a", "a2": "a", "b1": "b"}}
	for i, zone := range zones {
		v.Entries = append(v.Entries, directory.Entry{Address: fmt.Sprintf("%s-%d", zone, i), Zone: zone})
	}
	return v
}

// Guards against lookups that return distant instances although there are near
// ones. Also guards against lookups that return no address if all instances in
// the client's zone are lost.
var _ = DescribeTable("lookup returns the nearest instances", func(v *directory.View, want ...string) {
	Expect(v.Resolve("a1", "a")).To(Equal(want))
},
	Entry("own zone", newView("a1", "a1", "a2", "b1"), "a1-0", "a1-1"),
	Entry("one in the own zone and one in another zone of the region", newView("a1", "a2", "b1"), "a1-0", "a2-1"),
	Entry("none in the zone", newView("a2", "b1"), "a2-0"),
	Entry("none in the region", newView("b1"), "b1-0"),
)

var _ = It("lookup returns at most MaxAddresses and uses the given region for unknown zones", func() {
	var zones []model.Zone
	for range 2 * directory.MaxAddresses {
		zones = append(zones, "a1")
	}
	Expect(newView(zones...).Resolve("a1", "a")).To(HaveLen(directory.MaxAddresses))
	Expect(newView("a1", "b1").Resolve("moon", "b")).To(Equal([]string{"b1-1"}))
	Expect(newView().Resolve("a1", "a")).To(BeEmpty())
})
