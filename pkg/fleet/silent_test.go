package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Each direction between two instances has a connection of its own. If only one of the two
// dies without a reset, the sender hears its peer and does not notice: the control group
// stays without a leader, or changes do not reach entry instances.
func TestConnectionsThatDieInOneDirectionAreOpenedAgain(t *testing.T) {
	RegisterTestingT(t)
	for seed := range seeds(12) {
		s := newConfiguredSim(seed)
		Expect(s.call("core-a1", ackTimeout, sendHeartbeat("u1", "a1", 1, model.RegistrationServing))).To(Equal(result.Success))
		for round := range 3 {
			dead := 0
			for _, from := range s.order {
				for _, to := range s.order {
					if from != to && s.rng.IntN(3) == 0 && !s.silent[[2]model.InstanceID{to, from}] {
						s.silent[[2]model.InstanceID{from, to}] = true
						dead++
					}
				}
			}
			Expect(dead).To(BeNumerically(">", 10))
			s.run(catchUpTime)
			for pair := range s.silent {
				if s.nodes[pair[0]].identity.Control || s.nodes[pair[1]].identity.Control {
					Expect(s.silent).NotTo(HaveKey(pair), "seed %d, round %d", seed, round)
				}
			}
			version := 20 + round
			Expect(s.call(s.anyControl(), ackTimeout, proposeItems(route("r", version)))).To(Equal(result.Success), "seed %d, round %d", seed, round)
			s.run(applyTimeout)
			forEachRunning(s, false, func(id model.InstanceID) {
				Expect(s.routeVersion(id, "/r/x")).To(BeEquivalentTo(version), "%s, seed %d", id, seed)
			})
		}
		s.losePower("core-c1", "core-a2")
		s.run(recoveryTime)
		Expect(s.itemVersions("core-b1")).To(HaveKeyWithValue("r", BeEquivalentTo(22)), "seed %d", seed)
		Expect(s.invariantFailures).To(BeEmpty())
	}
}

// A connection must not be opened again because an instance that stood still finds old
// heartbeats when it goes on, and not in calm.
func TestConnectionsThatWorkAreKept(t *testing.T) {
	RegisterTestingT(t)
	s := newConfiguredSim(1)
	s.run(20 * time.Second)
	s.freeze("core-b1")
	s.run(5 * time.Second)
	s.thaw("core-b1", false)
	s.run(5 * time.Second)
	Expect(s.reconnects).To(BeZero())
}
