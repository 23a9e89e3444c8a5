package agreement

import (
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// defaultSchedules is the number of random schedules that TestRandomSchedules
// runs in CI.
const defaultSchedules = 2000

// envUint returns the number in an environment variable, or fallback if the
// variable holds none. ANVILCRANK_SCHEDULES sets the number of schedules of a
// longer run, and ANVILCRANK_SEED sets the seed of its first schedule.
func envUint(name string, fallback uint64) uint64 {
	if v, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return v
	}
	return fallback
}

// forEachSeed calls do for consecutive seeds on eight goroutines until a call
// returns false.
func forEachSeed(first, count uint64, do func(seed uint64) bool) {
	var wg sync.WaitGroup
	var next atomic.Uint64
	for range 8 {
		wg.Go(func() {
			for k := next.Add(1) - 1; k < count; k = next.Add(1) - 1 {
				if !do(first + k) {
					next.Store(count)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against two leaders in one term, logs that agree at one index but differ
// at a lower one, committed entries that are lost or change, and a group that
// does not recover after the faults end, and reads that miss an entry that was
// committed before. The schedules contain lost, delayed,
// reordered and duplicated messages, partitions, crashes, frozen processes, lost
// disks and changes of the member list.
func TestRandomSchedules(t *testing.T) { runRandomSchedules(t, false) }

// Guards in addition against a group that stays without a leader because it
// counts members that are gone, against an entry that is lost because members
// were removed, and against a removed member that does not join again.
func TestRandomSchedulesOfOpenGroup(t *testing.T) { runRandomSchedules(t, true) }

// runRandomSchedules runs random schedules with a group with or without
// OpenMembership.
func runRandomSchedules(t *testing.T, open bool) {
	count := envUint("ANVILCRANK_SCHEDULES", defaultSchedules)
	if testing.Short() {
		count = min(count, defaultSchedules/10)
	}
	var accepted, committed, reads atomic.Int64
	forEachSeed(envUint("ANVILCRANK_SEED", 1), count, func(seed uint64) bool {
		s := newGroup(seed, disabledRules{}, open)
		s.runSchedule()
		accepted.Add(int64(s.accepted))
		committed.Add(int64(len(s.committed)))
		reads.Add(int64(s.answeredReads))
		if len(s.failures) > 0 {
			t.Errorf("seed %d: %s", seed, s.failures[0])
		}
		return len(s.failures) == 0
	})
	t.Logf("%d schedules, %d proposals accepted, %d entries committed, %d reads answered", count, accepted.Load(), committed.Load(), reads.Load())
}

// Guards against a decision of a member that depends on anything other than its
// events and its seed, for example on the order of a map.
func TestSameSeedSameTrace(t *testing.T) {
	for seed := range uint64(20) {
		a, b := newSim(seed, disabledRules{}), newSim(seed, disabledRules{})
		a.runSchedule()
		b.runSchedule()
		if a.trace != b.trace || a.now != b.now {
			t.Fatalf("seed %d gave two different traces", seed)
		}
	}
}

// Guards against checks of the simulation that detect nothing. Each case disables
// one rule of the protocol, and at least one random schedule must then report a
// violation.
func TestDisabledRulesAreDetected(t *testing.T) {
	for name, rules := range map[string]disabledRules{
		"messages sent before the sync":      {sendBeforeSync: true},
		"commit without a majority":          {commitWithoutMajority: true},
		"learners counted in majorities":     {countLearners: true},
		"learners promoted before caught up": {promoteEarly: true},
		"two votes in a term":                {voteTwice: true},
		"votes for logs that lack an entry":  {skipUpToDateCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			var detectingSeed atomic.Uint64
			forEachSeed(1, defaultSchedules, func(seed uint64) bool {
				s := newSim(seed, rules)
				s.runSchedule()
				if len(s.failures) > 0 && detectingSeed.CompareAndSwap(0, seed) {
					t.Logf("seed %d: %s", seed, s.failures[0])
				}
				return detectingSeed.Load() == 0
			})
			if detectingSeed.Load() == 0 {
				t.Error("no schedule detected the disabled rule")
			}
		})
	}
}

// Guards against an answer of a leader that trusts its lease. Its clock may have
// stood still while another leader was elected.
func TestReadAtIsolatedLeaderIsNotAnswered(t *testing.T) {
	s := newSim(1, disabledRules{})
	s.latency = 10 * time.Millisecond
	s.run(4 * time.Second)
	s.propose()
	s.run(time.Second)
	leader := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.state.role == Leader })]
	s.read()
	s.run(time.Second)
	answered := s.answeredReads
	s.isolate(leader)
	s.read()
	s.run(3 * time.Second)
	if answered != len(s.nodes) || s.answeredReads != answered || len(s.failures) > 0 {
		t.Errorf("%d reads answered before the partition, %d after; %v", answered, s.answeredReads-answered, s.failures)
	}
}

// Guards against a group that cannot elect a leader because a member was removed
// while another one was lost.
func TestRemovalThatLeavesNoMajorityIsRefused(t *testing.T) {
	s := newSim(1, disabledRules{})
	s.run(4 * time.Second)
	leader := slices.IndexFunc(s.nodes, func(n *node) bool { return n.state.role == Leader })
	if leader < 0 || len(s.nodes) != 3 {
		t.Fatalf("leader %d of %d nodes", leader, len(s.nodes))
	}
	lost, other := s.nodes[(leader+1)%3], s.nodes[(leader+2)%3]
	s.crash(lost)
	s.run(responsiveTimeout + time.Second)
	s.step(s.nodes[leader], func(out *event.Effects) {
		if _, code := s.nodes[leader].state.Remove(s.now, other.state.self, out); code != result.MembershipBusy {
			t.Errorf("removal of %v while %v is lost: %v", other.state.self, lost.state.self, code)
		}
	})
}
