package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// catchUpTime is how long after a repair an instance may count as lost.
	catchUpTime = 4 * time.Second
	// applyTimeout is how long after its acknowledgement a change may take to be
	// in force at every connected entry instance.
	applyTimeout = 2 * time.Second
	// recoveryTime is how long all instances may take to serve again after they
	// were lost together.
	recoveryTime = 8 * time.Second
)

// seeds returns the number of seeds to play: count, or a quarter of them in short
// runs.
func seeds(count uint64) uint64 {
	if testing.Short() {
		return (count + 3) / 4
	}
	return count
}

func TestReplacedControlInstancesDoNotBlockTheGroup(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(5) {
		s := newConfiguredSim(seed)
		s.replace("core-a2", "core-a3")
		s.run(time.Second + catchUpTime)
		s.replace("core-b2", "core-b3")
		s.run(time.Second + catchUpTime)
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("r", 30)))).To(Equal(result.Success))
		s.losePower("core-c1", "core-a1")
		s.run(recoveryTime)
		forEachRunning(s, true, func(id model.InstanceID) {
			Expect(s.itemVersions(id)).To(HaveKeyWithValue("r", BeEquivalentTo(30)), "%s, seed %d", id, seed)
		})
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("r", 31)))).To(Equal(result.Success))
		Expect(s.invariantFailures).To(BeEmpty())
	}
}

func TestEntryInstanceReceivesChangesWhenItsNearestControlInstancesAreLost(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(5) {
		s := newConfiguredSim(seed)
		s.nodes["core-a2"].diskFails = true
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("r", 30)))).To(Equal(result.Success))
		s.crashSilently("core-a1")
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("q", 31)))).To(Equal(result.Success))
		s.run(catchUpTime)
		forEachRunning(s, false, func(id model.InstanceID) {
			Expect(s.routeVersion(id, "/r/x")).To(BeEquivalentTo(30), "%s, seed %d", id, seed)
			Expect(s.routeVersion(id, "/q/x")).To(BeEquivalentTo(31), "%s, seed %d", id, seed)
		})
		Expect(s.call("core-c1", ackTimeout, proposeItems(route("q", 32)))).To(Equal(result.Success))
		s.run(applyTimeout)
		forEachRunning(s, false, func(id model.InstanceID) {
			Expect(s.routeVersion(id, "/q/x")).To(BeEquivalentTo(32), "%s, seed %d", id, seed)
		})
	}
}

func TestControlInstanceReturnsAfterItsDiskWasFull(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(5) {
		s := newConfiguredSim(seed)
		for i, id := range []model.InstanceID{"core-a2", "core-b1", "core-a2"} {
			s.nodes[id].diskFails = true
			Expect(s.call("core-c1", ackTimeout, proposeItems(route("r", 30+2*i)))).To(Equal(result.Success))
			s.run(3 * time.Second)
			s.nodes[id].diskFails = false
			s.run(catchUpTime)
			Expect(s.itemVersions(id)).To(HaveKeyWithValue("r", BeEquivalentTo(30+2*i)), "%s, seed %d", id, seed)
			Expect(s.call(id, ackTimeout, proposeItems(route("r", 31+2*i)))).To(Equal(result.Success))
		}
		Expect(s.invariantFailures).To(BeEmpty())
	}
}

func TestReadNeverReturnsAnOlderConfigurationThanWasAcknowledged(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(5) {
		s := newConfiguredSim(seed)
		reads := map[event.CallID]model.ItemVersion{}
		readAll := func(acked model.ItemVersion) {
			forEachRunning(s, true, func(id model.InstanceID) {
				reads[s.submit(id, func(c event.CallID) event.Body { return event.ItemsRequested{Call: c} })] = acked
			})
		}
		// The wiped instance knows a leader before it has received the log again.
		s.crash("core-a2")
		s.replaceDisk("core-a2")
		s.start(s.nodes["core-a2"])
		for range 200 {
			readAll(7)
			s.run(20 * time.Millisecond)
		}
		// The instance that is cut off believes for some time that it has a leader.
		s.partition([]model.InstanceID{"core-c2"}, s.order, true)
		Expect(s.call("core-b1", ackTimeout, proposeItems(route("r", 30)))).To(Equal(result.Success))
		for range 100 {
			readAll(30)
			s.run(20 * time.Millisecond)
		}
		s.run(2 * time.Second)
		answered := 0
		for call, acked := range reads {
			if reply, ok := s.replies[call].(event.ItemsReply); ok {
				answered++
				Expect(reply.Items).To(ContainElement(And(HaveField("Key.Name", "r"), HaveField("Version", BeNumerically(">=", acked)))))
			}
		}
		Expect(answered).To(BeNumerically(">", len(reads)/2))
	}
}

// A deregistration or drain that is acknowledged from memory is lost when all processes
// end before the registrations are saved: the saved file brings the upstream back.
func TestAcknowledgedDepartureSurvivesTheLossOfAllInstances(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(8) {
		s := newConfiguredSim(seed)
		for i := range 6 {
			Expect(s.call("core-b1", ackTimeout, sendHeartbeat(fmt.Sprint("u", i), "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
		}
		s.run(4 * time.Second)
		for i := range 3 {
			Expect(s.call(s.anyControl(), ackTimeout, deregister(fmt.Sprint("u", i)))).To(Equal(result.Success))
			s.run(time.Duration(s.rng.IntN(700)) * time.Millisecond)
		}
		Expect(s.call(s.anyControl(), ackTimeout, sendHeartbeat("u3", "a1", 2, model.RegistrationDraining))).To(Equal(result.Success))
		s.losePower("core-c1", "core-a2")
		s.run(1500 * time.Millisecond)
		s.losePower()
		s.run(catchUpTime)
		for range 20 {
			s.run(500 * time.Millisecond)
			for i := 4; i < 6; i++ {
				Expect(s.call("core-b1", ackTimeout, sendHeartbeat(fmt.Sprint("u", i), "a1", 2, model.RegistrationServing))).To(Equal(result.Success))
			}
			forEachRunning(s, false, func(id model.InstanceID) {
				Expect(s.forwardedTo(id, "/r/x")).To(BeElementOf(model.UpstreamID("u4"), model.UpstreamID("u5")), "%s, seed %d", id, seed)
			})
		}
	}
}

// A control instance that lost its disk and is cut off knows no voters. It must not take
// itself for a majority and acknowledge a departure that no other instance knows.
func TestInstanceThatKnowsNoVotersAcknowledgesNoDeparture(t *testing.T) {
	RegisterTestingT(t)
	s := newConfiguredSim(1)
	Expect(s.call("core-b1", ackTimeout, sendHeartbeat("u1", "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
	s.crash("core-a2")
	s.replaceDisk("core-a2")
	s.partition([]model.InstanceID{"core-a2"}, s.order, true)
	s.start(s.nodes["core-a2"])
	Expect(s.call("core-a2", ackTimeout, sendHeartbeat("u1", "a1", 2, model.RegistrationDraining))).To(Equal(result.ControlUnavailable))
	Expect(s.call("core-a2", ackTimeout, deregister("u1"))).To(Equal(result.ControlUnavailable))
	s.partition([]model.InstanceID{"core-a2"}, s.order, false)
	s.run(catchUpTime)
	Expect(s.call("core-a2", ackTimeout, deregister("u1"))).To(Equal(result.Success))
}

func deregister(id string) func(event.CallID) event.Body {
	return func(c event.CallID) event.Body {
		return event.DepartureReceived{Call: c, Upstream: model.UpstreamID(id), StartTimeMs: 1}
	}
}
