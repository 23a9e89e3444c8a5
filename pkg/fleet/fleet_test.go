package fleet_test

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/fleet"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// ackTimeout is how long operators and upstreams wait for an acknowledgement.
const ackTimeout = 5 * time.Second

func service(version int) model.Item {
	return model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: "reads"}, Version: model.ItemVersion(version),
		Service: &model.ServiceSpec{ColdRequestRate: 20}, Document: []byte("reads")}
}

func route(name string, version int) model.Item {
	return model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: name}, Version: model.ItemVersion(version),
		Route: &model.Route{Host: "h", Prefix: "/" + name + "/", Timeout: time.Second, MaxAttempts: 2,
			Splits: []model.Split{{Service: "reads", Weight: 1}}}, Document: []byte(fmt.Sprint(name, version))}
}

func sendHeartbeat(id string, zone model.Zone, sequence uint64, state model.RegistrationState) func(event.CallID) event.Body {
	return func(c event.CallID) event.Body {
		return event.HeartbeatReceived{Call: c, Registration: model.Registration{ID: model.UpstreamID(id), Service: "reads",
			Address: addressOf(id), Zone: zone, Slots: 4, State: state, StartTimeMs: 1, Sequence: sequence}}
	}
}

// addressOf returns an address of its own for each upstream.
func addressOf(id string) string { return fmt.Sprintf("10.0.0.1:%d", 1+xxhash.Sum64String(id)%65535) }

func newConfiguredSim(seed uint64) *sim {
	s := newDeployment(seed)
	long := route("long", 7)
	long.Route.Kind, long.Route.Timeout, long.Route.Objective = model.NonIdempotent, time.Minute, 2*time.Second
	ExpectWithOffset(1, s.call("core-b2", ackTimeout, proposeItems(service(7), route("r", 7), long))).To(Equal(result.Success))
	s.run(time.Second)
	return s
}

func forEachRunning(s *sim, control bool, f func(model.InstanceID)) {
	for _, id := range s.order {
		if n := s.nodes[id]; n.up && n.identity.Control == control {
			f(id)
		}
	}
}

// Guards against instances that never receive an acknowledged change. Also
// guards against reporting an entry instance as ready before it has a
// configuration, which would cause clients to connect to it too early.
var _ = It("change is in force everywhere soon after its acknowledgement", func() {
	s := newDeployment(1)
	forEachRunning(s, false, func(id model.InstanceID) { Expect(s.nodes[id].directory.Ready).To(BeFalse()) })
	Expect(s.call("core-c2", ackTimeout, proposeItems(service(7), route("r", 7)))).To(Equal(result.Success))
	s.run(1500 * time.Millisecond)
	forEachRunning(s, false, func(id model.InstanceID) {
		Expect(s.routeVersion(id, "/r/x")).To(BeEquivalentTo(7))
		Expect(s.nodes[id].directory.Ready).To(BeTrue(), string(id))
	})
	forEachRunning(s, true, func(id model.InstanceID) {
		Expect(s.itemVersions(id)).To(HaveKeyWithValue("r", BeEquivalentTo(7)))
		Expect(s.nodes[id].directory.Entries).To(HaveLen(6))
	})
	Expect(s.call("core-a1", ackTimeout, proposeItems(route("r", 9)))).To(Equal(result.Success))
	s.run(time.Second)
	forEachRunning(s, false, func(id model.InstanceID) { Expect(s.routeVersion(id, "/r/x")).To(BeEquivalentTo(9)) })
	Expect(s.invariantFailures).To(BeEmpty())
})

// Guards against entry instances that become ready after a restart of all instances
// and know only the upstreams that sent a heartbeat since: these get all requests, and
// objects are requested from other upstreams than before. Two disks may be lost.
var _ = It("upstreams are known at once after a restart of all instances", func() {
	for seed := range uint64(5) {
		s := newConfiguredSim(seed)
		for i := range 30 {
			Expect(s.call("core-b1", ackTimeout, sendHeartbeat(fmt.Sprint("u", i), "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
		}
		Expect(s.call("core-b1", ackTimeout, sendHeartbeat("u1", "a1", 2, model.RegistrationDraining))).To(Equal(result.Success))
		s.run(4 * time.Second)
		s.losePower("core-c1", "core-a2")
		ready := map[model.InstanceID]bool{}
		for range 100 {
			s.run(50 * time.Millisecond)
			forEachRunning(s, false, func(id model.InstanceID) {
				if ready[id] || !s.nodes[id].directory.Ready {
					return
				}
				ready[id] = true
				n, used := s.nodes[id], map[model.UpstreamID]bool{}
				n.effects = nil
				for i := range 116 {
					s.step(n, event.RoutedArrived{ID: model.RequestID(5000 + i), Host: "h", Path: "/r/x"})
				}
				for _, e := range n.effects {
					if f, ok := e.(event.Forward); ok {
						used[f.Upstream] = true
					}
				}
				Expect(len(used)).To(BeNumerically(">=", 25), fmt.Sprintf("seed %d: %s", seed, id))
				Expect(used).NotTo(HaveKey(model.UpstreamID("u1")))
			})
		}
		Expect(ready).To(HaveLen(6))
	}
})

// Guards against saved registrations that are replaced by the first heartbeats after a
// start, before a slow disk has returned them: departures would be lost.
var _ = It("registrations are not saved before the stored ones are loaded", func() {
	s := newSim(3)
	n := s.add("core-a1", "a1", true, []model.InstanceID{"core-a1"})
	n.state = fleet.New(n.identity, codec.CommandCodec{})
	left := model.Registration{ID: "u1", StartTimeMs: 1, Sequence: 3, State: model.RegistrationDeregistered}
	n.registrations = []model.Registration{left}
	s.step(n, event.Started{})
	s.step(n, *n.stored)
	s.submit("core-a1", sendHeartbeat("u2", "a1", 1, model.RegistrationServing))
	s.run(5 * time.Second)
	Expect(n.registrations).To(Equal([]model.Registration{left}))
	s.step(n, event.RegistrationsLoaded{Registrations: n.registrations})
	s.submit("core-a1", sendHeartbeat("u3", "a1", 1, model.RegistrationServing))
	s.run(5 * time.Second)
	Expect(n.registrations).To(ConsistOf(left, HaveField("ID", model.UpstreamID("u2")), HaveField("ID", model.UpstreamID("u3"))))
})

// Guards against odd entries of other writers that end instances, or keep them from
// following later changes.
var _ = It("odd registration does not disturb the others", func() {
	s := newConfiguredSim(6)
	odd := func(change func(*model.Registration)) func(event.CallID) event.Body {
		return func(c event.CallID) event.Body {
			h := sendHeartbeat("odd", "a1", 1, model.RegistrationServing)(c).(event.HeartbeatReceived)
			change(&h.Registration)
			return h
		}
	}
	Expect(s.call("core-a1", time.Second, sendHeartbeat("good", "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
	future := odd(func(r *model.Registration) { r.ID, r.StartTimeMs = "good", 1<<60 })
	Expect(s.call("core-b1", time.Second, future)).To(Equal(result.MalformedAnnouncement))
	for _, change := range []func(*model.Registration){
		func(r *model.Registration) { r.Slots = 1 << 60 },
		func(r *model.Registration) { r.Address = "10.0.0.1:70000" },
		func(r *model.Registration) { r.State = 99 },
		func(r *model.Registration) { r.Sequence, r.Service = 1<<64-1, "\xff" },
	} {
		// An instance of another version accepts what this one rejects.
		s.submit("core-a1", odd(change))
		s.run(time.Second)
	}
	Expect(s.call("core-a1", ackTimeout, proposeItems(route("r", 9)))).To(Equal(result.Success))
	Expect(s.call("core-b1", time.Second, sendHeartbeat("good", "a1", 2, model.RegistrationDraining))).To(Equal(result.Success))
	s.run(time.Second)
	forEachRunning(s, false, func(id model.InstanceID) {
		Expect(s.routeVersion(id, "/r/x")).To(BeEquivalentTo(9))
		Expect(s.nodes[id].directory.Ready).To(BeTrue())
	})
	Expect(s.invariantFailures).To(BeEmpty())
})

// Guards against an entry with a line end in its identifier that an instance of an earlier
// version has accepted, or that is in the data folder: requests would be sent to the
// upstream with it, and their heads would end there.
var _ = It("registration with a line end in its identifier does not take over an upstream", func() {
	s := newConfiguredSim(7)
	Expect(s.call("core-a1", time.Second, sendHeartbeat("good", "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
	for _, id := range []string{"good\r\n", "good "} {
		forged := sendHeartbeat("good", "a1", 1, model.RegistrationServing)(0).(event.HeartbeatReceived).Registration
		forged.ID = model.UpstreamID(id)
		s.step(s.nodes["core-a1"], event.HeartbeatReceived{Registration: forged})
		s.step(s.nodes["core-b1"], event.RegistrationsLoaded{Registrations: []model.Registration{forged}})
	}
	s.run(time.Second)
	forEachRunning(s, false, func(id model.InstanceID) {
		Expect(s.forwardedTo(id, "/r/x")).To(Equal(model.UpstreamID("good")))
	})
})

// Guards against accepting both of two different changes that two operators
// submit at the same time with the same version. Some instances would then use
// one of them and some the other.
var _ = It("only one of two different changes with the same version is accepted", func() {
	for seed := range uint64(5) {
		s := newConfiguredSim(seed)
		a, b := route("r", 8), route("r", 8)
		b.Document = []byte("other")
		first := s.submit("core-a1", proposeItems(a))
		second := s.submit("core-c2", proposeItems(b))
		s.run(2 * time.Second)
		codes := []result.Code{s.replies[first].(event.CallReply).Code, s.replies[second].(event.CallReply).Code}
		Expect(codes).To(ConsistOf(result.Success, result.VersionConflict))
	}
})

// Guards against acknowledging changes at a minority of the control group
// during a partition, although the majority does not have them. Also guards
// against accepting no changes at the majority until the partition ends.
var _ = It("during a partition only the majority acknowledges changes and drains", func() {
	s := newConfiguredSim(3)
	minority := []model.InstanceID{"core-a1", "core-a2"}
	s.partition(minority, []model.InstanceID{"core-b1", "core-b2", "core-c1", "core-c2"}, true)
	s.run(4 * time.Second)
	Expect(s.call("core-a1", ackTimeout, proposeItems(route("r", 20)))).NotTo(Equal(result.Success))
	Expect(s.call("core-a1", time.Second, sendHeartbeat("u", "a1", 5, model.RegistrationDraining))).NotTo(Equal(result.Success))
	Expect(s.call("core-b1", ackTimeout, proposeItems(route("q", 21)))).To(Equal(result.Success))
	s.partition(minority, []model.InstanceID{"core-b1", "core-b2", "core-c1", "core-c2"}, false)
	s.run(3 * time.Second)
	forEachRunning(s, true, func(id model.InstanceID) { Expect(s.itemVersions(id)).To(HaveKey("q")) })
	Expect(s.invariantFailures).To(BeEmpty())
})

// Guards against losing an acknowledged change when all instances crash at once
// and two control instances restart with empty disks. Also guards against a
// control group that accepts no changes after such a restart.
var _ = It("acknowledged change survives a crash of all instances and the loss of two disks", func() {
	for seed := range uint64(5) {
		s := newConfiguredSim(seed)
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("r", 30)))).To(Equal(result.Success))
		for _, id := range s.order {
			s.crash(id)
		}
		for _, id := range []model.InstanceID{"core-c1", "core-a2"} {
			s.replaceDisk(id)
		}
		s.run(time.Second)
		for _, id := range s.order {
			s.start(s.nodes[id])
		}
		s.run(8 * time.Second)
		forEachRunning(s, true, func(id model.InstanceID) {
			Expect(s.itemVersions(id)).To(HaveKeyWithValue("r", BeEquivalentTo(30)), string(id))
		})
		forEachRunning(s, false, func(id model.InstanceID) { Expect(s.routeVersion(id, "/r/x")).To(BeEquivalentTo(30)) })
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("r", 31)))).To(Equal(result.Success))
		Expect(s.invariantFailures).To(BeEmpty())
	}
})

// Guards against acknowledging a drain that only one control instance has
// stored. The drain would be lost with that instance.
var _ = It("acknowledged drain stays in force after the loss of the instance that acknowledged it", func() {
	s := newConfiguredSim(4)
	for sequence := range uint64(2) {
		for _, id := range []string{"1", "2"} {
			Expect(s.call("core-b1", ackTimeout, sendHeartbeat(id, "a1", sequence+1, model.RegistrationServing))).To(Equal(result.Success))
		}
	}
	s.run(time.Second)
	// During the partition, core-b1 cannot send the drain to these entry
	// instances.
	s.partition([]model.InstanceID{"core-b1"}, []model.InstanceID{"edge-a1", "edge-a2", "edge-b1"}, true)
	Expect(s.call("core-b1", time.Second, sendHeartbeat("1", "a1", 3, model.RegistrationDraining))).To(Equal(result.Success))
	s.crash("core-b1")
	s.run(2500 * time.Millisecond)
	forEachRunning(s, false, func(id model.InstanceID) {
		for range 20 {
			Expect(s.forwardedTo(id, "/r/x")).NotTo(BeEquivalentTo("1"), string(id))
		}
	})
})

// Guards against an evacuation that is lost, or that is in force again after it
// was ended.
var _ = It("evacuation is in force everywhere until it is ended", func() {
	s := newConfiguredSim(5)
	s.call("core-b1", ackTimeout, sendHeartbeat("1", "a1", 1, model.RegistrationServing))
	s.call("core-b1", ackTimeout, sendHeartbeat("2", "b1", 1, model.RegistrationServing))
	evacuation := func(active bool) func(event.CallID) event.Body {
		return func(c event.CallID) event.Body { return event.EvacuationProposed{Call: c, Zone: "a1", Active: active} }
	}
	for range 2 {
		Expect(s.call("core-a2", ackTimeout, evacuation(true))).To(Equal(result.Success))
	}
	s.run(time.Second)
	for range 10 {
		Expect(s.forwardedTo("edge-a1", "/r/x")).To(BeEquivalentTo("2"))
	}
	Expect(s.call("core-c2", ackTimeout, evacuation(false))).To(Equal(result.Success))
	s.run(2 * time.Second)
	Expect(s.forwardedTo("edge-a1", "/r/x")).To(BeEquivalentTo("1"))
})

// Guards against lookups that send clients to an entry instance that is
// stopping or lost. Also guards against a stopping instance whose process never
// ends.
var _ = It("lookups return no stopping or lost entry instances", func() {
	s := newConfiguredSim(6)
	s.step(s.nodes["edge-a1"], event.StopRequested{})
	s.run(100 * time.Millisecond)
	forEachRunning(s, true, func(id model.InstanceID) { Expect(s.nodes[id].directory.Entries).To(HaveLen(5)) })
	s.crash("edge-b1")
	s.run(3 * time.Second)
	forEachRunning(s, true, func(id model.InstanceID) { Expect(s.nodes[id].directory.Entries).To(HaveLen(4)) })
	Expect(s.nodes["edge-a1"].stopped).To(BeTrue())
})

// Guards against rejecting requests for existing paths as not found at an entry
// instance that starts during changes and has received only the latest one.
// Until the instance has all routes, it must reject requests with a code of the
// class not_run.
var _ = It("entry instance that starts during changes has all routes or none", func() {
	for seed := range uint64(5) {
		s := newConfiguredSim(seed)
		s.crash("edge-a1")
		s.start(s.nodes["edge-a1"])
		for version := 50; version < 80; version++ {
			s.submit("core-a1", proposeItems(route("q", version)))
			s.run(20 * time.Millisecond)
			n := s.nodes["edge-a1"]
			n.effects = nil
			s.step(n, event.RoutedArrived{ID: model.RequestID(version), Host: "h", Path: "/r/x"})
			for _, e := range n.effects {
				if r, ok := e.(event.Reject); ok {
					Expect(r.Code).NotTo(Equal(result.NotFound))
				}
			}
		}
	}
})

// Guards against accepting a request so late in the stop of an instance that
// its process ends before the response is complete.
var _ = It("stopping instance accepts requests at first and rejects later ones", func() {
	s := newConfiguredSim(8)
	s.call("core-b1", ackTimeout, sendHeartbeat("1", "a1", 1, model.RegistrationServing))
	s.run(time.Second)
	n := s.nodes["edge-a1"]
	s.step(n, event.StopRequested{})
	s.run(2500 * time.Millisecond)
	Expect(s.forwardedTo("edge-a1", "/r/x")).To(BeEquivalentTo("1"))
	// A request that stays open for its timeout of 1 s delays the end of the
	// process.
	s.step(n, event.RoutedArrived{ID: 9998, Host: "h", Path: "/r/x", Replayable: true})
	s.run(600 * time.Millisecond)
	Expect(n.stopped).To(BeFalse())
	n.effects = nil
	s.step(n, event.RoutedArrived{ID: 9997, Host: "h", Path: "/r/x"})
	Expect(n.effects).To(ContainElement(event.Reject{Request: 9997, Code: result.Stopping}))
})

// Guards against requests that are sent to an upstream so late in a planned stop that
// the process ends first, and against callers whose connection is closed without an
// answer. The upstream needs 900 ms for each request, and never answers the last one.
var _ = It("each request in a planned stop is answered or refused before it is sent", func() {
	for tenth := range 10 {
		s := newConfiguredSim(uint64(tenth))
		s.call("core-b1", ackTimeout, sendHeartbeat("1", "a1", 1, model.RegistrationServing))
		s.run(time.Second)
		n := s.nodes["edge-a1"]
		grace := n.identity.StopGracePeriod
		s.step(n, event.RoutedArrived{ID: 9000, Host: "h", Path: "/long/x"})
		s.step(n, event.StopRequested{})
		stopAt := s.now.Add(grace)
		s.run(grace * time.Duration(tenth) / 10)
		if n.stopped {
			Expect(tenth).To(BeNumerically(">", 5), "one request is open until the end of the grace period")
			continue
		}
		n.effects = nil
		s.step(n, event.RoutedArrived{ID: 9001, Host: "h", Path: "/long/x"})
		for _, e := range n.effects {
			if f, ok := e.(event.Forward); ok {
				Expect(f.Deadline).To(BeNumerically("<=", stopAt))
				s.run(900 * time.Millisecond)
				Expect(n.stopped).To(BeFalse(), fmt.Sprint("tenth ", tenth))
				s.step(n, event.SendEnded{Request: f.Request, Attempt: 1, Upstream: f.Upstream, UpstreamStartMs: 1,
					Outcome: event.SendAnswered, ResponseTime: 900 * time.Millisecond})
				Expect(n.effects).To(ContainElement(event.Deliver{Request: 9001}))
			}
			if r, ok := e.(event.Reject); ok {
				Expect(r.Code).To(Equal(result.Stopping))
				Expect(tenth).To(BeNumerically(">=", 4), "there was time")
			}
		}
		// The send that never ends is canceled, and its caller is answered.
		for !n.stopped {
			n.effects = nil
			s.run(50 * time.Millisecond)
			for _, e := range n.effects {
				if _, ok := e.(event.CancelSend); ok {
					s.step(n, event.SendEnded{Request: 9000, Attempt: 1, Outcome: event.SendCanceled, Upstream: "1", UpstreamStartMs: 1})
					Expect(n.effects).To(ContainElement(event.Reject{Request: 9000, Code: result.DeadlineAfterDispatch}))
				}
			}
			Expect(s.now).To(BeNumerically("<", stopAt))
		}
	}
})

// Guards against a control instance at a new address that replaces a lost one
// but never becomes a voter.
var _ = It("new control instance joins the control group in place of a lost one", func() {
	s := newConfiguredSim(7)
	s.crash("core-b2")
	s.add("core-new", "b2", true, nil)
	s.run(5 * time.Second)
	Expect(s.itemVersions("core-new")).To(HaveKey("r"))
	Expect(s.call("core-new", ackTimeout, proposeItems(route("r", 40)))).To(Equal(result.Success))
})
