package agreement

import (
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// regionLatency is the one-way latency between regions of the deployment
// "bell". It is larger than that of the other deployment in docs/design.md.
const regionLatency = 55 * time.Millisecond

// runUntil runs the group until done returns true, for at most limit, and returns
// the virtual time that passed.
func (s *sim) runUntil(limit model.Duration, done func() bool) model.Duration {
	start := s.now
	for !done() && s.now < start.Add(limit) {
		s.run(10 * time.Millisecond)
	}
	return s.now.Sub(start)
}

// current returns a running node whose status is current, nil if there is none.
func (s *sim) current() *node {
	for _, n := range s.nodes {
		if n.running && n.state.Status(s.now).Current {
			return n
		}
	}
	return nil
}

// Guards against missing one of three targets. An isolated leader must not be
// current after its lease of 500 ms. The next change must be accepted within 3 s
// after the leader was isolated. A member that missed 1,000 changes must have
// applied all of them within 2 s after it is connected again.
func TestTargets(t *testing.T) {
	var longestElection, longestCatchUp model.Duration
	for seed := range uint64(200) {
		s := newSim(seed, disabledRules{})
		s.latency = regionLatency
		s.runUntil(5*time.Second, func() bool { return s.current() != nil })
		isolated := s.current()
		s.isolate(isolated)
		isolatedAt := s.now
		s.run(LeaseDuration)
		_, code := isolated.state.Propose(s.now, []byte("x"), &event.Effects{})
		if isolated.state.Status(s.now).Current || code != result.NotLeader {
			t.Errorf("seed %d: isolated leader is current after its lease", seed)
		}
		s.runUntil(3*time.Second-LeaseDuration, func() bool { return s.current() != nil })
		longestElection = max(longestElection, s.now.Sub(isolatedAt))
		if s.propose(); s.accepted == 0 {
			t.Errorf("seed %d: no change accepted in 3 s", seed)
		}
		for range 20 {
			for range 50 {
				s.propose()
			}
			s.run(200 * time.Millisecond)
		}
		clear(s.blocked)
		caughtUp := func() bool { return isolated.state.appliedIndex >= uint64(len(s.committed)) }
		longestCatchUp = max(longestCatchUp, s.runUntil(2*time.Second, caughtUp))
		if s.accepted < 1000 || !caughtUp() || len(s.failures) > 0 {
			t.Errorf("seed %d: %d of %d entries applied after 2 s, %d proposals accepted: %v", seed, isolated.state.appliedIndex, len(s.committed), s.accepted, s.failures)
		}
	}
	t.Logf("longest time to the next accepted change %v, to catch up %v", longestElection, longestCatchUp)
}
