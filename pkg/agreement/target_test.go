package agreement

import (
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// regionLatency is the one-way latency between regions of the larger deployment.
const regionLatency = 55 * time.Millisecond

// current returns the node that counts as current, nil if none does.
func (s *sim) current() *node {
	for _, n := range s.nodes {
		if n.up && n.st.Status(s.now).Current {
			return n
		}
	}
	return nil
}

// isolate cuts a node off in both directions.
func (s *sim) isolate(n *node) {
	for k := range s.nodes {
		s.cut[[2]int{n.k, k}], s.cut[[2]int{k, n.k}] = true, true
	}
}

// eachCalm runs do on groups without random faults that have a leader.
func eachCalm(t *testing.T, do func(t *testing.T, seed uint64, s *sim, leader *node)) {
	for seed := range uint64(200) {
		s := newSim(seed, faults{})
		s.calm, s.latency = true, regionLatency
		s.run(5 * time.Second)
		leader := s.current()
		if leader == nil {
			t.Fatalf("seed %d: no leader after 5 s: %v", seed, s.failures)
		}
		do(t, seed, s, leader)
		if len(s.failures) > 0 {
			t.Fatalf("seed %d: %s", seed, s.failures[0])
		}
	}
}

// Guards against an election that takes longer than the target of 3 s from the
// loss of the leader to the next accepted change, and against an isolated leader
// that counts as current after its lease of 500 ms.
func TestLeaderLossAndLease(t *testing.T) {
	var longest model.Duration
	eachCalm(t, func(t *testing.T, seed uint64, s *sim, leader *node) {
		lost := s.now
		s.isolate(leader)
		s.run(Lease)
		if leader.st.Status(s.now).Current {
			t.Errorf("seed %d: isolated leader is current after its lease", seed)
		}
		if _, code := leader.st.Propose(s.now, []byte("x"), &event.Effects{}); code != result.NotLeader {
			t.Errorf("seed %d: isolated leader accepted a proposal after its lease: %v", seed, code)
		}
		for s.current() == nil && s.now < lost.Add(3*time.Second) {
			s.run(10 * time.Millisecond)
		}
		s.propose()
		longest = max(longest, s.now.Sub(lost))
		if s.accepted == 0 {
			t.Errorf("seed %d: no change accepted in 3 s", seed)
		}
	})
	t.Logf("longest time to the next accepted change: %v", longest)
}

// Guards against a member that needs more than 2 s to be current after it was
// away for 1,000 changes, with a snapshot as well as with the log alone.
func TestCatchUp(t *testing.T) {
	var longest model.Duration
	eachCalm(t, func(t *testing.T, seed uint64, s *sim, leader *node) {
		away := s.nodes[(leader.k+1)%len(s.nodes)]
		s.isolate(away)
		for range 20 {
			for range 50 {
				s.propose()
			}
			s.run(200 * time.Millisecond)
		}
		s.run(time.Second)
		clear(s.cut)
		back := s.now
		for away.taken < uint64(len(s.committed)) && s.now < back.Add(2*time.Second) {
			s.run(10 * time.Millisecond)
		}
		longest = max(longest, s.now.Sub(back))
		if s.accepted < 1000 || away.taken < uint64(len(s.committed)) {
			t.Errorf("seed %d: %d of %d after 2 s, %d accepted", seed, away.taken, len(s.committed), s.accepted)
		}
	})
	t.Logf("longest time to be current: %v", longest)
}
