package membership

import (
	"math"
	"math/bits"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// leave is the state of a planned stop of this instance.
type leaveState struct {
	// untold are the members that were told directly and have not acknowledged.
	unacknowledged []model.InstanceID
	// seq is the last ping before the first that told of the stop.
	seqBefore uint64
	// known is when the last acknowledgement came.
	lastAckAt model.Time
	// spreadBy is when the news has reached the members that are reached through
	// others. It also ends the wait for members that do not answer.
	disseminatedAt model.Time
	// partly is set if not all members were told directly.
	partial bool
}

// Leave announces that this instance takes no new callers: to some members at
// once, and through them to the others.
func (s *State) Leave(at model.Time, out *event.Effects) {
	if s.self.Leaving {
		return
	}
	s.self.Leaving = true
	s.raiseRevision(s.self.Revision + 1)
	all := s.pickRandom(math.MaxInt, isAlive)
	told := all[:min(leaveFanOut, len(all))]
	s.leave = leaveState{
		unacknowledged: slices.Clone(told),
		seqBefore:      s.probes.lastSeq,
		lastAckAt:      at,
		// Each probe interval about doubles the members that know.
		disseminatedAt: at.Add(probeInterval * model.Duration(bits.Len(uint(s.notDead+1)))),
		partial:        len(told) < len(all),
	}
	for _, id := range told {
		s.ping(id, out)
	}
}

func isAlive(m *member) bool { return m.Status == message.MemberAlive }

// LeaveKnown returns since when no other instance names this leaving one to
// callers, and reports false while some may do so.
func (s *State) LeaveDisseminated(at model.Time) (model.Time, bool) {
	l := &s.leave
	if at >= l.disseminatedAt {
		return l.disseminatedAt, true
	}
	return l.lastAckAt, !l.partial && len(l.unacknowledged) == 0
}

// acknowledged notes that a member has heard of the stop.
func (s *State) recordLeaveAck(at model.Time, from model.InstanceID, seq uint64) {
	l := &s.leave
	if i := slices.Index(l.unacknowledged, from); i >= 0 && seq > l.seqBefore {
		l.unacknowledged = slices.Delete(l.unacknowledged, i, i+1)
		l.lastAckAt = at
	}
}

// repeatLeave tells the members that have not acknowledged once more, and no
// longer waits for dead ones.
func (s *State) resendLeave(out *event.Effects) {
	s.leave.unacknowledged = slices.DeleteFunc(s.leave.unacknowledged, func(id model.InstanceID) bool {
		m := s.members[id]
		return m == nil || m.Status == message.MemberDead
	})
	for _, id := range s.leave.unacknowledged {
		s.ping(id, out)
	}
}
