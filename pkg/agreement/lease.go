package agreement

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// leaseEnd returns when the lease of a leader ends: LeaseDuration after it sent
// the latest message that a majority has answered, or 0 if there is none. The
// members of that majority vote for no other candidate until MinElectionTimeout
// after they received the message. This is later than the end of the lease, since
// they received the message after it was sent and MinElectionTimeout is longer.
func (s *State) leaseEnd(at model.Time) model.Time {
	ackedAt := make([]model.Time, 0, 8)
	for _, id := range s.quorumMembers() {
		switch pr := s.progress[id]; {
		case id == s.self:
			ackedAt = append(ackedAt, at)
		case pr != nil:
			ackedAt = append(ackedAt, pr.lastAckedSentAt)
		}
	}
	slices.Sort(ackedAt)
	if n := len(ackedAt) - s.quorum(); n >= 0 && ackedAt[n] != 0 {
		return ackedAt[n].Add(LeaseDuration)
	}
	return 0
}

// LeadingTerm returns the term in which this member leads, 0 if it is not the
// leader.
func (s *State) LeadingTerm() uint64 {
	if s.role != Leader {
		return 0
	}
	return s.term
}

// LeadingSince returns when this member was elected, 0 if it is not the leader.
func (s *State) LeadingSince() model.Time {
	if s.role != Leader {
		return 0
	}
	return s.electedAt
}

// stepDownDeadline returns when the leader steps down unless a majority answers
// its messages before. A new leader, which has no lease yet, has LeaseDuration
// from its election to receive the first answers.
func (s *State) stepDownDeadline(at model.Time) model.Time {
	return max(s.leaseEnd(at), s.electedAt.Add(LeaseDuration))
}

// checkLease makes the leader step down if its lease has ended.
func (s *State) checkLease(at model.Time, out *event.Effects) {
	if s.role == Leader && at >= s.stepDownDeadline(at) {
		s.becomeFollower(at, s.term, out)
	}
}
