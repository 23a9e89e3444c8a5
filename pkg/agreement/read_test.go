package agreement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against members that answer no read during an update, as long as a leader
// of an earlier version leads.
func TestReadsAreAnsweredUnderALeaderOfAnEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		s := newSim(seed, disabledRules{})
		s.olderLeaders, s.latency = true, time.Millisecond
		s.run(5 * time.Second)
		s.propose()
		s.run(3 * time.Second)
		s.read()
		s.run(time.Second)
		g.Expect(s.failures).To(BeEmpty(), "seed %d", seed)
		g.Expect(s.answeredReads).To(Equal(len(s.nodes)), "seed %d", seed)
	}
}

// Guards against members that take a leader for one of an earlier version before
// they know, and then answer without its confirmation.
func TestReadIsNotAnsweredUnconfirmedBeforeTheLeaderIsKnown(t *testing.T) {
	g := NewWithT(t)
	s := newSim(1, disabledRules{})
	s.latency = time.Millisecond
	s.run(5 * time.Second)
	followers := 0
	for _, n := range s.nodes {
		if n.state.role == Leader {
			continue
		}
		followers++
		n.state.leaderReads = readsUnknown
		_, ok := n.state.Read(s.now, nil)
		g.Expect(ok).To(BeFalse())
	}
	g.Expect(followers).To(BeNumerically(">=", 2))
}
