package agreement

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// leaseUntil returns when the lease of a leader ends: Lease after it sent the
// latest message that a majority has answered. Those members vote for nobody
// else for MinElection after they received it, which is later than it was sent.
func (s *State) leaseEnd(at model.Time) model.Time {
	acked := make([]model.Time, 0, 8)
	for _, id := range s.quorumMembers() {
		switch pr := s.progress[id]; {
		case id == s.self:
			acked = append(acked, at)
		case pr != nil:
			acked = append(acked, pr.lastAckedSentAt)
		}
	}
	slices.Sort(acked)
	if n := len(acked) - s.quorum(); n >= 0 && acked[n] != 0 {
		return acked[n].Add(LeaseDuration)
	}
	return 0
}

// LeadingTerm returns the term in which this member leads, 0 if it does not.
func (s *State) LeadingTerm() uint64 {
	if s.role != Leader {
		return 0
	}
	return s.term
}

// stepDownAt returns when the leader gives up unless a majority answers. A new
// leader has one lease to collect the first answers.
func (s *State) stepDownDeadline(at model.Time) model.Time {
	return max(s.leaseEnd(at), s.electedAt.Add(LeaseDuration))
}

// checkLease makes a leader without a majority step down.
func (s *State) checkLease(at model.Time, out *event.Effects) {
	if s.role == Leader && at >= s.stepDownDeadline(at) {
		s.becomeFollower(at, s.term, out)
	}
}
