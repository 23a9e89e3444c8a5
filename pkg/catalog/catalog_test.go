package catalog_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

func service(name string, version int) model.Item {
	return model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: name}, Version: model.ItemVersion(version),
		Service: &model.ServiceSpec{}, Document: []byte(name)}
}

func route(name string, version int, prefix, service string) model.Item {
	return model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: name}, Version: model.ItemVersion(version),
		Route: &model.Route{Host: "h.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
			Splits: []model.Split{{Service: model.ServiceName(service), Weight: 1}}},
		Document: []byte(prefix + service)}
}

func removal(name string, version int) model.Item {
	return model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: name}, Version: model.ItemVersion(version), Removed: true}
}

// newStateWithRoute returns a state with the service "reads" and a route "r" to
// it.
func newStateWithRoute() *catalog.State {
	s := catalog.New()
	r := s.Apply(1, &catalog.Command{Items: []model.Item{service("reads", 7), route("r", 7, "/a/", "reads")}})
	Expect(r.Code).To(Equal(result.Success))
	return s
}

func apply(s *catalog.State, items ...model.Item) catalog.Result {
	return s.Apply(s.Position()+1, &catalog.Command{Items: items})
}

// Guards against restoring a removed route when a change with a lower version
// arrives after the removal.
var _ = It("highest version of an item is in force even if it is a removal", func() {
	s := newStateWithRoute()
	Expect(apply(s, removal("r", 9)).ChangedItems).To(HaveLen(1))
	resend := apply(s, route("r", 8, "/a/", "reads"))
	Expect(resend.Code).To(Equal(result.Success))
	Expect(resend.ChangedItems).To(BeEmpty())
	_, ok := s.Table().Route("h.example", "/a/x")
	Expect(ok).To(BeFalse())
})

// Guards against accepting two different contents for the same version. Some
// instances would then use one of them and some the other.
var _ = It("equal version with different content is rejected", func() {
	s := newStateWithRoute()
	Expect(apply(s, route("r", 7, "/b/", "reads")).Code).To(Equal(result.VersionConflict))
	Expect(apply(s, route("r", 7, "/a/", "reads")).Code).To(Equal(result.Success))
	_, ok := s.Table().Route("h.example", "/b/x")
	Expect(ok).To(BeFalse())
})

// Guards against rejecting a resend of an accepted change because an item it
// refers to has been removed since.
var _ = It("resent change is acknowledged even if its items have been removed since", func() {
	s := newStateWithRoute()
	serviceRemoval := model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: "reads"}, Version: 9, Removed: true}
	Expect(apply(s, removal("r", 9), serviceRemoval).Code).To(Equal(result.Success))
	Expect(apply(s, service("reads", 7), route("r", 7, "/a/", "reads")).Code).To(Equal(result.Success))
})

var _ = DescribeTable("invalid change is rejected as a whole", func(broken model.Item, code result.Code) {
	s := newStateWithRoute()
	r := apply(s, service("writes", 8), broken)
	Expect(r.Code).To(Equal(code))
	Expect(r.Detail).NotTo(BeEmpty())
	Expect(s.Table().Service("writes")).To(BeNil())
},
	Entry("unknown service", route("q", 8, "/q/", "nobody"), result.InvalidChange),
	Entry("same host and prefix", route("q", 8, "/a/", "reads"), result.InvalidChange),
	Entry("no attempts", func() model.Item { i := route("q", 8, "/q/", "reads"); i.Route.MaxAttempts = 0; return i }(), result.InvalidChange),
	Entry("weight below zero", func() model.Item {
		i := route("q", 8, "/q/", "reads")
		i.Route.Splits = append(i.Route.Splits, model.Split{Service: "reads", Weight: -1})
		return i
	}(), result.InvalidChange),
	Entry("objective a minute above the timeout", func() model.Item {
		i := route("q", 8, "/q/", "reads")
		i.Route.Objective = i.Route.Timeout + time.Minute
		return i
	}(), result.InvalidChange),
	Entry("route without content", model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: "q"}, Version: 8}, result.InvalidChange),
	Entry("item of an unknown kind", model.Item{Key: model.ItemKey{Kind: 77, Name: "q"}, Version: 8}, result.InvalidChange),
	Entry("weight that is not finite", func() model.Item {
		i := route("q", 8, "/q/", "reads")
		i.Route.Splits = append(i.Route.Splits, model.Split{Service: "reads", Weight: math.Inf(1)})
		return i
	}(), result.InvalidChange),
	Entry("removal of a service in use", model.Item{
		Key: model.ItemKey{Kind: model.ServiceItem, Name: "reads"}, Version: 8, Removed: true}, result.InvalidChange),
)

// Guards against a crash of all instances by an item that an instance of another
// version sends. The other items stay in force.
var _ = It("items without content are stored and not used", func() {
	s := newStateWithRoute()
	for _, kind := range []model.ItemKind{model.RouteItem, model.ServiceItem, model.LimitsItem, 77} {
		Expect(s.Merge(model.Item{Key: model.ItemKey{Kind: kind, Name: "odd"}, Version: 8})).To(BeTrue())
	}
	_, ok := s.Table().Route("h.example", "/a/x")
	Expect(ok).To(BeTrue())
	Expect(s.Table().Service("odd")).To(BeNil())
})

// Guards against validating a change against the state before it: a route may
// have the same host and prefix as a route that the same change removes.
var _ = It("change is validated against the state that results from it", func() {
	s := newStateWithRoute()
	Expect(apply(s, removal("r", 8), route("q", 8, "/a/", "reads")).Code).To(Equal(result.Success))
	found, ok := s.Table().Route("H.example:8080", "/a/x")
	Expect(ok).To(BeTrue())
	Expect(found.Name).To(Equal("q"))
})

var _ = It("route with the longest prefix is selected", func() {
	s := newStateWithRoute()
	Expect(apply(s, route("deep", 8, "/a/b/", "reads")).Code).To(Equal(result.Success))
	for path, name := range map[string]string{"/a/x": "r", "/a/b/x": "deep", "/a/bc": "r"} {
		found, ok := s.Table().Route("h.example", path)
		Expect(ok).To(BeTrue())
		Expect(found.Name).To(Equal(name), path)
	}
	for _, path := range []string{"/ax", "/a", "", "a/x"} {
		_, ok := s.Table().Route("h.example", path)
		Expect(ok).To(BeFalse(), path)
	}
})

// Guards against instances that use different routes of two with the same host and
// prefix.
var _ = It("of two routes with the same prefix the one with the higher version is selected", func() {
	for _, names := range [][]string{{"p", "q"}, {"q", "p"}} {
		s := newStateWithRoute()
		s.Merge(route(names[0], 8, "/c/", "reads"))
		s.Merge(route(names[1], 8, "/c/", "reads"))
		s.Merge(route("o", 7, "/c/", "reads"))
		found, _ := s.Table().Route("h.example", "/c/x")
		Expect(found.Name).To(Equal("p"))
	}
})

// Guards against instances that have different items in force because they
// received the same versions in different orders.
var _ = It("state does not depend on the order in which items are merged", func() {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var items []model.Item
		for range 30 {
			name, version := fmt.Sprint("r", rng.IntN(5)), 1+rng.IntN(20)
			if rng.IntN(3) == 0 {
				items = append(items, removal(name, version*2))
			} else {
				items = append(items, route(name, version*2+1, fmt.Sprintf("/%s/", name), "reads"))
			}
		}
		a, b := catalog.New(), catalog.New()
		for _, i := range items {
			a.Merge(i)
		}
		rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		for _, i := range items {
			b.Merge(i)
		}
		Expect(a.Items()).To(Equal(b.Items()))
		Expect(catalog.Restore(a.Snapshot()).Snapshot()).To(Equal(b.Snapshot()))
	}
})

// Guards against starting or ending an evacuation again when its command is
// resent.
var _ = It("evacuation commands are idempotent and take effect in log order", func() {
	s := catalog.New()
	evacuate := func(position uint64, active bool) catalog.Result {
		return s.Apply(position, &catalog.Command{Evacuation: &model.Evacuation{Zone: "z", Active: active}})
	}
	Expect(evacuate(3, true).ChangedEvacuations).To(HaveLen(1))
	Expect(evacuate(4, true).ChangedEvacuations).To(BeEmpty())
	Expect(s.IsEvacuated("z")).To(BeTrue())
	Expect(evacuate(5, false).ChangedEvacuations).To(HaveLen(1))
	Expect(s.MergeEvacuation(model.Evacuation{Zone: "z", Active: true, Position: 3})).To(BeFalse())
	Expect(s.IsEvacuated("z")).To(BeFalse())
})
