package agreement

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxOpenReads bounds the reads that wait at a member. Further ones are dropped,
// like requests that the network loses.
const maxOpenReads = 1024

// ReadID identifies a read. Identifiers are random, so that a delayed reply to
// an earlier process completes no read of this one.
type ReadID uint64

// reads holds the reads that wait at a member.
type reads struct {
	// confirming holds the reads that a leader confirms for itself and for other
	// members.
	confirming []readConfirmation
	// confirmed holds the confirmed reads of this member that TakeReads has not
	// returned yet.
	confirmed []confirmedRead
}

// readConfirmation is a read that waits until a majority has answered messages
// that the leader sent at or after since. No other leader can then have committed
// an entry after index before the read began.
type readConfirmation struct {
	member model.MemberID
	id     ReadID
	index  uint64
	since  model.Time
}

// confirmedRead is a read that may be answered once the entries up to index are
// applied.
type confirmedRead struct {
	id    ReadID
	index uint64
}

// leaderReads is what a leader does with reads of its followers.
type leaderReads int

const (
	readsUnknown leaderReads = iota
	readsConfirmed
	// readsUnconfirmed means that the leader is of an earlier version, which knows no
	// reads.
	readsUnconfirmed
)

// Read begins a read of the state that the log describes. TakeReads returns the
// identifier once the applied entries include all that were committed when the
// read began. A read whose messages are lost is never returned. Read reports
// false if this member knows no leader. As long as a leader of an earlier version
// leads, reads are not confirmed: a follower that is not lagging returns what the
// leader has said to be committed, as the earlier version does.
func (s *State) Read(at model.Time, out *event.Effects) (ReadID, bool) {
	s.checkLease(at, out)
	id := ReadID(s.rng.Uint64())
	switch {
	case !s.isActive():
		return 0, false
	case s.role == Leader:
		s.confirmRead(at, s.self, id, out)
	case s.leader == (model.MemberID{}):
		return 0, false
	case s.leaderReads == readsUnconfirmed && !s.IsLagging(at):
		s.reads.confirmed = append(s.reads.confirmed, confirmedRead{id: id, index: s.leaderCommitIndex})
	case s.leaderReads == readsConfirmed:
		s.send(0, s.leader.Instance, &message.AgreementRead{AgreementHeader: s.header(s.leader), ID: uint64(id)}, out)
	default:
		return 0, false
	}
	return id, true
}

// TakeReads returns the reads that may be answered with the entries that
// TakeCommitted has returned so far.
func (s *State) TakeReads() []ReadID {
	var list []ReadID
	s.reads.confirmed = slices.DeleteFunc(s.reads.confirmed, func(r confirmedRead) bool {
		if s.snapshotPending || r.index > s.appliedIndex {
			return false
		}
		list = append(list, r.id)
		return true
	})
	return list
}

// confirmRead begins to confirm a read at the leader. A leader that has committed
// no entry of its own term may not know the latest committed entries, and drops
// the read.
func (s *State) confirmRead(at model.Time, member model.MemberID, id ReadID, out *event.Effects) {
	if !s.ownTermCommitted() || len(s.reads.confirming) >= maxOpenReads {
		return
	}
	s.reads.confirming = append(s.reads.confirming, readConfirmation{member, id, s.commitIndex, at})
	s.sendHeartbeats(at, out)
	s.advanceReads(out)
}

// advanceReads completes the reads that a majority has confirmed.
func (s *State) advanceReads(out *event.Effects) {
	s.reads.confirming = slices.DeleteFunc(s.reads.confirming, func(r readConfirmation) bool {
		answered := 0
		for _, id := range s.quorumMembers() {
			if pr := s.progress[id]; id == s.self || pr != nil && pr.lastAckedSentAt >= r.since {
				answered++
			}
		}
		if answered < s.quorum() {
			return false
		}
		if r.member == s.self {
			s.readConfirmed(r.id, r.index)
		} else {
			s.send(0, r.member.Instance, &message.AgreementReadReply{AgreementHeader: s.header(r.member), ID: uint64(r.id), Index: r.index}, out)
		}
		return true
	})
}

// readConfirmed records that a read of this member may be answered once the
// entries up to index are applied.
func (s *State) readConfirmed(id ReadID, index uint64) {
	if len(s.reads.confirmed) < maxOpenReads {
		s.reads.confirmed = append(s.reads.confirmed, confirmedRead{id, index})
	}
}
