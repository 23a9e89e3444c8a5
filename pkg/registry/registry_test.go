package registry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
)

const start = model.Time(1000 * time.Second)

func registration(id string, startTimeMs int64, sequence uint64) model.Registration {
	return model.Registration{ID: model.UpstreamID(id), Service: "reads", Address: "10.0.0.1:80", Zone: "z", Slots: 3, StartTimeMs: startTimeMs, Sequence: sequence}
}

func draining(r model.Registration) model.Registration {
	r.State = model.RegistrationDraining
	return r
}

func usable(s *registry.State, id string) bool {
	e := s.Get(model.UpstreamID(id))
	return e != nil && s.Usable(e)
}

// Guards against ending a drain when a heartbeat that the upstream sent before
// the drain arrives late.
var _ = It("late heartbeat does not end a drain", func() {
	s := registry.New(time.Second)
	Expect(s.Heartbeat(start, registration("u", 5, 1))).To(BeTrue())
	Expect(s.Heartbeat(start, draining(registration("u", 5, 9)))).To(BeTrue())
	Expect(s.Heartbeat(start, registration("u", 5, 8))).To(BeFalse())
	Expect(usable(s, "u")).To(BeFalse())
})

// Guards against making a deregistered upstream usable again when a late
// heartbeat of the deregistered process arrives. Also guards against an
// upstream that stays deregistered although a new process of it has started.
var _ = It("deregistered upstream becomes usable only after a new process start", func() {
	s := registry.New(time.Second)
	s.Heartbeat(start, registration("u", 5, 1))
	_, changed := s.Deregister(start, "u", 0)
	Expect(changed).To(BeTrue())
	Expect(s.Heartbeat(start, registration("u", 5, 70))).To(BeFalse())
	Expect(usable(s, "u")).To(BeFalse())
	Expect(s.Heartbeat(start, registration("u", 6, 1))).To(BeTrue())
	Expect(usable(s, "u")).To(BeTrue())
	_, changed = s.Deregister(start, "u", 5)
	Expect(changed).To(BeFalse())
	Expect(usable(s, "u")).To(BeTrue())
})

// Guards against losing a deregistration because the instance that receives it
// does not know the upstream yet.
var _ = It("deregistration of an unknown upstream takes effect at other instances", func() {
	s := registry.New(time.Second)
	r, changed := s.Deregister(start, "u", 0)
	Expect(changed).To(BeTrue())
	other := registry.New(time.Second)
	other.Heartbeat(start, registration("u", start.UnixMilli()-5000, 3))
	Expect(other.Merge(start, r)).To(BeTrue())
	Expect(usable(other, "u")).To(BeFalse())
})

// Guards against an entry of another writer that repeats an upstream's registration under
// another identifier and takes over its address.
var _ = It("registration with the same process start does not take over an address", func() {
	s := registry.New(time.Second)
	s.Heartbeat(start, registration("u", 5, 1))
	repeated := registration("v", 5, 1)
	repeated.Address = s.Get("u").Address
	s.Heartbeat(start, repeated)
	Expect(usable(s, "u")).To(BeTrue())
	Expect(usable(s, "v")).To(BeFalse())
	// The upstream has crashed, and the other one goes on.
	repeated.Sequence, repeated.Slots = 9, repeated.Slots+1
	s.Heartbeat(start.Add(time.Minute), repeated)
	Expect(usable(s, "v")).To(BeTrue())
	Expect(usable(s, "u")).To(BeFalse())
})

// Guards against sending requests for a former upstream to an address that
// another upstream uses now.
var _ = It("only the upstream with the latest process start is usable at an address", func() {
	s := registry.New(time.Second)
	s.Heartbeat(start, registration("old", 5, 40))
	s.Heartbeat(start, registration("new", 6, 1))
	Expect(usable(s, "old")).To(BeFalse())
	Expect(usable(s, "new")).To(BeTrue())
	s.Heartbeat(start, registration("old", 5, 41))
	Expect(usable(s, "old")).To(BeFalse())
	Expect(usable(s, "new")).To(BeTrue())
})

// Guards against an odd registration that reaches this instance through another one:
// it must not be used, nor take the address or the place of a good one.
var _ = DescribeTable("registration with an invalid value is stored and not used", func(change func(*model.Registration)) {
	s := registry.New(time.Second)
	good := registration("good", 5, 1)
	s.Merge(start, good)
	odd := registration("odd", 6, 1)
	change(&odd)
	Expect(s.Merge(start, odd)).To(BeTrue())
	Expect(usable(s, "odd")).To(BeFalse())
	Expect(usable(s, "good")).To(BeTrue())
	Expect(odd.State.String()).NotTo(BeEmpty())
	Expect(s.Registrations(start)).To(HaveLen(2))
},
	Entry("state", func(r *model.Registration) { r.State = 200 }),
	Entry("slots", func(r *model.Registration) { r.Slots = 1 << 60 }),
	Entry("start in the future", func(r *model.Registration) { r.StartTimeMs = 1 << 60 }),
	Entry("sequence", func(r *model.Registration) { r.Sequence = 1<<64 - 1 }),
	Entry("service that is not UTF-8", func(r *model.Registration) { r.Service = "\xff" }),
	Entry("no zone", func(r *model.Registration) { r.Zone = "" }),
)

var _ = It("registration with a port out of range is not used", func() {
	s := registry.New(time.Second)
	for _, address := range []string{"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1", ":80"} {
		r := registration("odd", 6, 1)
		r.Address = address
		s.Merge(start, r)
		Expect(usable(s, "odd")).To(BeFalse(), address)
	}
})

// Guards against a digest that is kept up to date by changes and no longer follows
// from the registrations: instances with the same records would pull them for ever.
var _ = It("digest follows from the registrations alone", func() {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := registry.New(time.Second)
		for range 400 {
			r := registration(fmt.Sprint("u", rng.IntN(12)), int64(rng.IntN(4)+1), uint64(rng.IntN(9)))
			switch rng.IntN(5) {
			case 0:
				s.Deregister(start, r.ID, r.StartTimeMs)
			case 1:
				s.MarkLeaving(r.ID, r.StartTimeMs, true)
			case 2:
				s.Heartbeat(start, draining(r))
			default:
				s.Merge(start, r)
			}
		}
		want := uint64(0)
		for _, r := range s.Registrations(start) {
			want ^= message.RegistrationVersion(&r).Hash()
		}
		Expect(s.Digest()).To(Equal(want), fmt.Sprint("seed ", seed))
	}
})

var _ = It("registration changes when the upstream becomes cold again", func() {
	s := registry.New(time.Second)
	s.Heartbeat(start, registration("u", 5, 1))
	r := registration("u", 5, 2)
	r.ColdRemaining = 3 * time.Second
	Expect(s.Heartbeat(start, r)).To(BeTrue())
	r.Sequence, r.ColdRemaining = 3, 2*time.Second
	Expect(s.Heartbeat(start.Add(time.Second), r)).To(BeFalse())
	Expect(s.Get("u").RegistrationAt(start.Add(time.Second)).ColdRemaining).To(Equal(2 * time.Second))
})

var _ = It("lease of an upstream without heartbeats expires", func() {
	s := registry.New(time.Second)
	s.Heartbeat(start, registration("u", 5, 1))
	Expect(s.Expired(start.Add(4*time.Second), s.Get("u"))).To(BeFalse())
	Expect(s.Expired(start.Add(4*time.Second+1), s.Get("u"))).To(BeTrue())
	s.ForwardedHeartbeat(start.Add(3*time.Second), message.RegistrationKey("u"))
	Expect(s.Expired(start.Add(5*time.Second), s.Get("u"))).To(BeFalse())
})

// Guards against a process that ends because the limit of retained registrations deletes the
// one that has just been deregistered: upstreams start again under their identifiers.
var _ = It("upstreams that start again and again are deregistered each time", func() {
	s := registry.New(time.Second)
	const upstreams, restarts = 16, 300
	for n := range int64(restarts) {
		for u := range upstreams {
			id := fmt.Sprint("u", u)
			s.Heartbeat(start, registration(id, n+1, 1))
			r, changed := s.Deregister(start, model.UpstreamID(id), n+1)
			Expect(changed).To(BeTrue())
			Expect(r.State).To(Equal(model.RegistrationDeregistered))
		}
	}
	for u := range upstreams {
		id := fmt.Sprint("u", u)
		Expect(s.Heartbeat(start, registration(id, restarts, 2))).To(BeFalse(), "a late heartbeat has no effect")
	}
})
