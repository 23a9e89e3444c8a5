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
type leave struct {
	// untold are the members that were told directly and have not acknowledged.
	untold []model.InstanceID
	// seq is the last ping before the first that told of the stop.
	seq uint64
	// known is when the last acknowledgement came.
	known model.Time
	// spreadBy is when the news has reached the members that are reached through
	// others. It also ends the wait for members that do not answer.
	spreadBy model.Time
	// partly is set if not all members were told directly.
	partly bool
}

// Leave announces that this instance takes no new callers: to some members at
// once, and through them to the others.
func (s *State) Leave(at model.Time, out *event.Effects) {
	if s.self.Leaving {
		return
	}
	s.self.Leaving = true
	s.revise(s.self.Revision + 1)
	all := s.pick(math.MaxInt, isAlive)
	told := all[:min(leaveFanOut, len(all))]
	s.leave = leave{
		untold: slices.Clone(told),
		seq:    s.probes.seq,
		known:  at,
		// Each probe interval about doubles the members that know.
		spreadBy: at.Add(probeInterval * model.Duration(bits.Len(uint(s.alive+1)))),
		partly:   len(told) < len(all),
	}
	for _, id := range told {
		s.ping(id, out)
	}
}

func isAlive(m *member) bool { return m.Status == message.MemberAlive }

// LeaveKnown returns since when no other instance names this leaving one to
// callers, and reports false while some may do so.
func (s *State) LeaveKnown(at model.Time) (model.Time, bool) {
	l := &s.leave
	if at >= l.spreadBy {
		return l.spreadBy, true
	}
	return l.known, !l.partly && len(l.untold) == 0
}

// acknowledged notes that a member has heard of the stop.
func (s *State) acknowledged(at model.Time, from model.InstanceID, seq uint64) {
	l := &s.leave
	if i := slices.Index(l.untold, from); i >= 0 && seq > l.seq {
		l.untold = slices.Delete(l.untold, i, i+1)
		l.known = at
	}
}

// repeatLeave tells the members that have not acknowledged once more, and no
// longer waits for dead ones.
func (s *State) repeatLeave(out *event.Effects) {
	s.leave.untold = slices.DeleteFunc(s.leave.untold, func(id model.InstanceID) bool {
		m := s.members[id]
		return m == nil || m.Status == message.MemberDead
	})
	for _, id := range s.leave.untold {
		s.ping(id, out)
	}
}
