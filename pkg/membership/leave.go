package membership

import (
	"math"
	"math/bits"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// leaveState is the state of the announcement that this instance leaves. A
// planned stop begins with this announcement.
type leaveState struct {
	// unacknowledged lists the members that were sent the announcement directly
	// and have not acknowledged it.
	unacknowledged []model.InstanceID
	// lastSeqBeforeLeave is the sequence number of the last ping before the
	// announcement.
	lastSeqBeforeLeave uint64
	// lastAckAt is when the latest acknowledgement of the announcement was
	// received.
	lastAckAt model.Time
	// disseminatedAt is the time by which gossip is expected to have spread the
	// announcement to all members. From then on the stop waits for no further
	// acknowledgements.
	disseminatedAt model.Time
	// partiallyNotified is true if only some of the alive members were notified
	// directly. Acknowledgements of these members alone then do not complete the
	// announcement.
	partiallyNotified bool
}

// Leave announces that this instance leaves: it accepts no new callers. It
// notifies up to leaveFanOut members directly; gossip notifies the others.
func (s *State) Leave(at model.Time, out *event.Effects) {
	if s.self.Leaving {
		return
	}
	s.self.Leaving = true
	s.raiseRevision(s.self.Revision + 1)
	alive := s.pickRandom(math.MaxInt, isAlive)
	notified := alive[:min(leaveFanOut, len(alive))]
	s.leave = leaveState{
		unacknowledged:     slices.Clone(notified),
		lastSeqBeforeLeave: s.probes.lastSeq,
		lastAckAt:          at,
		// In each probe interval the number of members that know the announcement
		// roughly doubles, so all know of it after log2(members) intervals.
		disseminatedAt:    at.Add(probeInterval * model.Duration(bits.Len(uint(s.notDeadCount+1)))),
		partiallyNotified: len(notified) < len(alive),
	}
	for _, id := range notified {
		s.ping(id, out)
	}
}

// isAlive reports whether a member is neither suspected nor dead.
func isAlive(m *member) bool { return m.Status == message.MemberAlive }

// LeaveDisseminated returns the time since which no other instance has offered
// this leaving instance to callers. It reports false while another instance may
// still offer it.
func (s *State) LeaveDisseminated(at model.Time) (model.Time, bool) {
	l := &s.leave
	if at >= l.disseminatedAt {
		return l.disseminatedAt, true
	}
	return l.lastAckAt, !l.partiallyNotified && len(l.unacknowledged) == 0
}

// recordLeaveAck records that a member has acknowledged the announcement that
// this instance leaves. Pings up to lastSeqBeforeLeave did not contain it.
func (s *State) recordLeaveAck(at model.Time, from model.InstanceID, seq uint64) {
	l := &s.leave
	if i := slices.Index(l.unacknowledged, from); i >= 0 && seq > l.lastSeqBeforeLeave {
		l.unacknowledged = slices.Delete(l.unacknowledged, i, i+1)
		l.lastAckAt = at
	}
}

// resendLeave sends another ping to each member that has not acknowledged the
// announcement. Members that are dead by now are no longer waited for.
func (s *State) resendLeave(out *event.Effects) {
	s.leave.unacknowledged = slices.DeleteFunc(s.leave.unacknowledged, func(id model.InstanceID) bool {
		m := s.members[id]
		return m == nil || m.Status == message.MemberDead
	})
	for _, id := range s.leave.unacknowledged {
		s.ping(id, out)
	}
}
