package fleet_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// operatorTimeout is how long an operator waits for an answer before it sends an order
// to another instance.
const operatorTimeout = time.Second

func evacuate(zone model.Zone, active bool) func(event.CallID) event.Body {
	return func(c event.CallID) event.Body { return event.EvacuationProposed{Call: c, Zone: zone, Active: active} }
}

// forEachControl plays with one control instance after the other, the leader among them,
// in a deployment with an upstream in zone a1 and one in zone b1. others are the other
// control instances. callsFirst takes both values.
func forEachControl(play func(s *sim, id model.InstanceID, others []model.InstanceID, callsFirst bool)) {
	for _, callsFirst := range []bool{false, true} {
		for i := range 6 {
			s := newConfiguredSim(uint64(i))
			var control []model.InstanceID
			forEachRunning(s, true, func(id model.InstanceID) { control = append(control, id) })
			Expect(s.call(control[0], ackTimeout, sendHeartbeat("u1", "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
			Expect(s.call(control[0], ackTimeout, sendHeartbeat("u2", "b1", 1, model.RegistrationServing))).To(Equal(result.Success))
			play(s, control[i], slices.Delete(slices.Clone(control), i, i+1), callsFirst)
			Expect(s.invariantFailures).To(BeEmpty())
		}
	}
}

// routeToArchives returns a route to a service that does not exist, and that service.
func routeToArchives() (archiveRoute, archives model.Item) {
	archiveRoute, archives = route("archive", 9), service(9)
	archiveRoute.Route.Splits[0].Service = "archives"
	archives.Key.Name = "archives"
	return archiveRoute, archives
}

// orderUntilClear sends an order to the instances in turn until one gives a clear answer.
func (s *sim) orderUntilClear(ids []model.InstanceID, body func(event.CallID) event.Body) result.Code {
	for n := range 10 {
		code := s.call(ids[n%len(ids)], operatorTimeout, body)
		if status := result.Lookup(code).Status; status < 500 {
			return code
		}
		s.run(100 * time.Millisecond)
	}
	return result.ChangeUnknown
}

// keepLeases sends the heartbeats of the upstreams for a time.
func (s *sim) keepLeases(id model.InstanceID, d time.Duration) {
	for range int(d / time.Second) {
		for _, u := range []model.UpstreamID{"u1", "u2"} {
			zone := map[model.UpstreamID]model.Zone{"u1": "a1", "u2": "b1"}[u]
			s.submit(id, sendHeartbeat(string(u), zone, uint64(s.now), model.RegistrationServing))
		}
		s.run(time.Second)
	}
}

func expectEvacuated(s *sim, what model.InstanceID) {
	forEachRunning(s, false, func(id model.InstanceID) {
		ExpectWithOffset(2, s.forwardedTo(id, "/r/x")).To(Equal(model.UpstreamID("u2")), "%s, order at %s", id, what)
	})
}

// An order that waits in the sockets of a process that stands still must not take effect
// after its caller has left, sent it to another instance and then ordered the opposite.
func TestOrderThatWaitedInAFrozenInstanceDoesNotOvertakeLaterOrders(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, frozen model.InstanceID, others []model.InstanceID, callsFirst bool) {
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.run(2 * time.Second)
		s.freeze(frozen)
		s.submit(frozen, evacuate("a1", false))
		s.run(operatorTimeout)
		Expect(s.orderUntilClear(others, evacuate("a1", false))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.keepLeases(others[0], 2*time.Second)
		s.thaw(frozen, callsFirst)
		s.keepLeases(others[0], 4*time.Second)
		expectEvacuated(s, frozen)
		// The instance takes orders again.
		Expect(s.orderUntilClear([]model.InstanceID{frozen}, evacuate("a1", false))).To(Equal(result.Success))
	})
}

// An order that the network holds up, within a connection or together with it, looks new
// when it arrives. It must not take effect after its caller has left, sent it to another
// instance and then ordered the opposite.
func TestOrderThatTheNetworkHeldUpDoesNotOvertakeLaterOrders(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, late model.InstanceID, others []model.InstanceID, _ bool) {
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.keepLeases(others[0], time.Second)
		// The order to end the evacuation is on its way to the late instance.
		s.run(operatorTimeout)
		Expect(s.orderUntilClear(others, evacuate("a1", false))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.keepLeases(others[0], 2*time.Second)
		s.submit(late, evacuate("a1", false))
		s.keepLeases(others[0], 4*time.Second)
		expectEvacuated(s, late)
		Expect(s.orderUntilClear([]model.InstanceID{late}, evacuate("a1", false))).To(Equal(result.Success))
	})
}

// A change that was refused as invalid must not come into force later because the network
// delivers another copy of it when it has become valid.
func TestRefusedChangeThatTheNetworkHeldUpIsNotApplied(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, late model.InstanceID, others []model.InstanceID, _ bool) {
		invalid, archives := routeToArchives()
		Expect(s.orderUntilClear(others, proposeItems(invalid))).To(Equal(result.InvalidChange))
		Expect(s.orderUntilClear(others, proposeItems(archives))).To(Equal(result.Success))
		s.run(2 * time.Second)
		s.submit(late, proposeItems(invalid))
		s.run(2 * time.Second)
		Expect(s.itemVersions(others[0])).NotTo(HaveKey("archive"))
		Expect(s.orderUntilClear([]model.InstanceID{late}, proposeItems(invalid))).To(Equal(result.Success), "sent again by its caller")
	})
}

// The confirmation of an order can be held up as well.
func TestConfirmationThatTheNetworkHeldUpDoesNotOvertakeLaterOrders(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, late model.InstanceID, others []model.InstanceID, _ bool) {
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.run(time.Second)
		asked := s.submit(late, evacuate("a1", false))
		s.run(100 * time.Millisecond)
		Expect(s.replies[asked]).To(HaveField("Code", result.ConfirmationNeeded))
		s.run(operatorTimeout)
		Expect(s.orderUntilClear(others, evacuate("a1", false))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.keepLeases(others[0], time.Second)
		s.submit(late, confirm(evacuate("a1", false), s.replies[asked].(event.CallReply).ConfirmedAt))
		s.keepLeases(others[0], 4*time.Second)
		expectEvacuated(s, late)
	})
}

// The clock of the events does not count the time for which a machine is suspended, and an
// order can wait for long in the queue of the reducer. Both make its age unknown.
func TestOrderOfUnknownAgeIsNotApplied(t *testing.T) {
	RegisterTestingT(t)
	s := newConfiguredSim(2)
	others := []model.InstanceID{"core-a1", "core-b1"}
	open := s.submit("core-c1", evacuate("a1", true))
	s.step(s.nodes["core-c1"], event.ClockStepped{By: 3 * time.Second})
	Expect(s.replies[open]).To(HaveField("Code", result.ChangeUnknown))
	Expect(s.call("core-c1", ackTimeout, evacuate("a1", true))).To(Equal(result.ChangeAgeUnknown))
	Expect(s.call("core-c1", ackTimeout, proposeItems(route("q", 12)))).To(Equal(result.ChangeAgeUnknown))
	Expect(s.orderUntilClear(others, proposeItems(route("q", 12)))).To(Equal(result.Success))
	s.run(time.Second)
	Expect(s.call("core-c1", ackTimeout, proposeItems(route("q", 12)))).To(Equal(result.Success))
	s.step(s.nodes["core-c1"], event.ClockStepped{By: -3 * time.Second})
	Expect(s.call("core-c1", ackTimeout, proposeItems(route("q", 14)))).To(Equal(result.Success))
	receivedAt := s.now
	s.run(700 * time.Millisecond)
	waited := func(c event.CallID) event.Body {
		return event.ItemsProposed{Call: c, Items: []model.Item{route("q", 16)}, Receipt: event.Receipt{At: receivedAt}}
	}
	Expect(s.call("core-c1", ackTimeout, waited)).To(Equal(result.ChangeAgeUnknown))
	Expect(s.itemVersions("core-a1")).To(HaveKeyWithValue("q", BeEquivalentTo(14)))
}

// A change that was refused as invalid must not come into force later because a frozen
// instance to which it was sent first proposes it when it has become valid.
func TestRefusedChangeThatWaitedInAFrozenInstanceIsNotApplied(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, frozen model.InstanceID, others []model.InstanceID, callsFirst bool) {
		invalid, archives := routeToArchives()
		s.freeze(frozen)
		s.submit(frozen, proposeItems(invalid))
		s.run(operatorTimeout)
		Expect(s.orderUntilClear(others, proposeItems(invalid))).To(Equal(result.InvalidChange))
		Expect(s.orderUntilClear(others, proposeItems(archives))).To(Equal(result.Success))
		s.run(2 * time.Second)
		s.thaw(frozen, callsFirst)
		s.run(4 * time.Second)
		Expect(s.itemVersions(others[0])).NotTo(HaveKey("archive"))
		forEachRunning(s, false, func(id model.InstanceID) {
			Expect(s.routeVersion(id, "/archive/x")).To(BeZero(), "%s, order at %s", id, frozen)
		})
	})
}

// An order that an instance could not pass on to the leader in time must not take effect
// later, also if the instance never notices that the caller has left.
func TestOrderOfAnInstanceThatWasCutOffDoesNotOvertakeLaterOrders(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, cutOff model.InstanceID, others []model.InstanceID, _ bool) {
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		s.run(2 * time.Second)
		invalid, archives := routeToArchives()
		s.partition([]model.InstanceID{cutOff}, others, true)
		s.submit(cutOff, evacuate("a1", false))
		s.submit(cutOff, proposeItems(invalid))
		s.run(operatorTimeout)
		Expect(s.orderUntilClear(others, evacuate("a1", false))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, proposeItems(invalid))).To(Equal(result.InvalidChange))
		Expect(s.orderUntilClear(others, proposeItems(archives))).To(Equal(result.Success))
		s.partition([]model.InstanceID{cutOff}, others, false)
		s.keepLeases(others[0], 5*time.Second)
		expectEvacuated(s, cutOff)
		forEachRunning(s, false, func(id model.InstanceID) {
			Expect(s.routeVersion(id, "/archive/x")).To(BeZero(), "%s, order at %s", id, cutOff)
		})
	})
}

// An order that was accepted is acknowledged again wherever it is sent, also when its
// first acknowledgement was lost and other changes came in between.
func TestAcceptedOrderIsAcknowledgedAgain(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, id model.InstanceID, others []model.InstanceID, _ bool) {
		Expect(s.orderUntilClear(others, evacuate("a1", true))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, proposeItems(route("q", 12)))).To(Equal(result.Success))
		Expect(s.orderUntilClear(others, proposeItems(route("q", 14)))).To(Equal(result.Success))
		Expect(s.orderUntilClear([]model.InstanceID{id}, evacuate("a1", true))).To(Equal(result.Success))
		Expect(s.orderUntilClear([]model.InstanceID{id}, proposeItems(route("q", 12)))).To(Equal(result.Success))
	})
}

// Orders of several operators at once at different instances are all acknowledged within
// the time for which an operator waits.
func TestConcurrentOrdersAreAcknowledged(t *testing.T) {
	RegisterTestingT(t)
	forEachControl(func(s *sim, _ model.InstanceID, others []model.InstanceID, _ bool) {
		var calls []event.CallID
		for i := range 8 {
			id := others[i%len(others)]
			if i%2 == 0 {
				calls = append(calls, s.submit(id, proposeItems(route("r", 20+i))))
			} else {
				calls = append(calls, s.submit(id, proposeItems(route("q", 20+i))))
			}
			s.run(20 * time.Millisecond)
		}
		s.run(operatorTimeout)
		for _, c := range calls {
			Expect(s.replies[c]).To(HaveField("Code", result.Success))
		}
	})
}
