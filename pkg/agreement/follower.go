package agreement

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Receive handles a message from another instance. It ignores messages that do
// not belong to the replicated log.
func (s *State) Receive(at model.Time, from model.InstanceID, m message.Message, out *event.Effects) {
	if !s.isActive() {
		return
	}
	s.checkLease(at, out)
	switch m := m.(type) {
	case *message.AgreementVoteRequest:
		if s.acceptHeader(from, &m.AgreementHeader, true, out) {
			s.receiveVoteRequest(at, m, out)
		}
	case *message.AgreementVoteReply:
		if s.acceptHeader(from, &m.AgreementHeader, false, out) {
			s.receiveVoteReply(at, m, out)
		}
	case *message.AgreementAppend:
		if s.acceptHeader(from, &m.AgreementHeader, true, out) {
			s.receiveAppend(at, m, out)
		}
	case *message.AgreementAppendReply:
		if s.acceptHeader(from, &m.AgreementHeader, false, out) {
			s.receiveAppendReply(at, m, out)
		}
	case *message.AgreementSnapshot:
		if s.acceptHeader(from, &m.AgreementHeader, true, out) {
			s.receiveSnapshot(at, m, out)
		}
	case *message.AgreementSnapshotReply:
		if s.acceptHeader(from, &m.AgreementHeader, false, out) {
			s.receiveSnapshotReply(at, m, out)
		}
	case *message.AgreementRead:
		if s.acceptHeader(from, &m.AgreementHeader, false, out) && s.role == Leader {
			s.confirmRead(at, m.From, ReadID(m.ID), out)
		}
	case *message.AgreementReadReply:
		if s.acceptHeader(from, &m.AgreementHeader, false, out) {
			s.readConfirmed(ReadID(m.ID), m.Index)
		}
	case *message.AgreementJoin:
		s.receiveJoin(at, from, m, out)
	case *message.AgreementJoinReply:
		s.receiveJoinReply(at, from, m, out)
	}
}

// acceptHeader reports whether a message is addressed to this member and its
// group. A member with an empty log adopts the group of a request that is
// addressed to it. Such a request names the member's disk, so it comes from a
// bootstrap member or from a leader that has added this disk. The adopting member
// records a vote for itself: it may already have voted in another group in its
// present term, and must not vote again in that term.
func (s *State) acceptHeader(from model.InstanceID, h *message.AgreementHeader, isRequest bool, out *event.Effects) bool {
	if h.From.Instance != from || h.To != s.self || h.Group == "" {
		return false
	}
	if s.group != h.Group && s.hasEmptyLog() && isRequest {
		s.group = h.Group
		s.votedFor = s.self
		s.persistHardState(out)
	}
	return h.Group == s.group
}

// acceptLeader records the sender of a leader's message as the leader and resets
// the election timer. It reports false, and does neither, if the message has an
// earlier term than this member or if a different leader of the same term is
// known.
func (s *State) acceptLeader(at model.Time, h *message.AgreementHeader, out *event.Effects) bool {
	if h.Term < s.term {
		// The reply contains this member's higher term, which makes the sender
		// step down.
		s.send(0, h.From.Instance, &message.AgreementAppendReply{AgreementHeader: s.header(h.From), Rejected: true}, out)
		return false
	}
	isSoleLeader := h.Term > s.term || s.role != Leader && (s.leader == model.MemberID{} || s.leader == h.From)
	if !s.checkInvariant(isSoleLeader, "agreement-election-safety",
		fmt.Sprintf("%v and %v lead term %d", s.leader, h.From, h.Term), out) {
		return false
	}
	if h.Term > s.term || s.role != Follower {
		s.becomeFollower(at, h.Term, out)
	}
	if at > s.lastLeaderContact.Add(maxLeaderSilence) {
		s.caughtUp = false
	}
	if s.leader != h.From {
		s.leaderReads = readsUnknown
	}
	s.leader = h.From
	s.lastLeaderContact = at
	s.nextJoinAt = at.Add(learnerJoinTimeout)
	s.resetElectionTimer(at)
	return true
}

// receiveAppend merges the entries of an append request into the log, raises the
// commit index to that of the leader and acknowledges the request.
func (s *State) receiveAppend(at model.Time, m *message.AgreementAppend, out *event.Effects) {
	if !isContiguous(m.PrevIndex, m.PrevTerm, m.Term, m.Entries) || !s.acceptLeader(at, &m.AgreementHeader, out) {
		return
	}
	s.observeLeaderCommit(at, m.CommitIndex)
	s.leaderReads = readsUnconfirmed
	if m.ConfirmsReads {
		s.leaderReads = readsConfirmed
	}
	prevIndex := m.PrevIndex
	entries := m.Entries
	matchIndex := prevIndex + uint64(len(entries))
	if base := s.log.snapshot.Index; prevIndex < base {
		// The entries up to the snapshot's index are committed, so they are the
		// same at the leader and are skipped.
		entries = entries[min(base-prevIndex, uint64(len(entries))):]
	} else if term, ok := s.log.term(prevIndex); !ok || term != m.PrevTerm {
		s.rejectAppend(m, out)
		return
	}
	if !s.mergeEntries(at, entries, out) {
		return
	}
	if commitIndex := min(m.CommitIndex, matchIndex); commitIndex > s.commitIndex {
		s.setCommitIndex(commitIndex, out)
	}
	s.acknowledge(m.From, matchIndex, m.SentAt, len(m.Entries) == 0, out)
}

// acknowledge tells the leader that its log and this log are equal up to
// matchIndex. It does so only after the entries up to matchIndex are synced. A
// heartbeat is acknowledged at once, but only up to the last synced index, so
// that a slow disk at this member does not end the leader's lease.
func (s *State) acknowledge(to model.MemberID, matchIndex uint64, sentAt model.Time, heartbeat bool, out *event.Effects) {
	if heartbeat {
		matchIndex = min(matchIndex, s.outbox.syncedIndex)
	}
	s.send(s.syncSeqFor(matchIndex), to.Instance, &message.AgreementAppendReply{
		AgreementHeader: s.header(to), MatchIndex: matchIndex, SentAt: sentAt}, out)
}

// syncSeqFor returns the sequence number of the Persist effect that syncs the
// entry at index, 0 if the entry is synced already.
func (s *State) syncSeqFor(index uint64) uint64 {
	if index <= s.outbox.syncedIndex {
		return 0
	}
	for _, w := range s.outbox.pendingWrites {
		if w.lastIndex >= index {
			return w.seq
		}
	}
	return s.outbox.issuedSeq
}

// rejectAppend rejects an append request if this log has no entry at PrevIndex or
// has an entry of another term there. The leader then continues after the index
// RejectHint of the reply. If this log has another term at PrevIndex, RejectHint
// is before all uncommitted entries of that other term, so that the leader needs
// fewer attempts.
func (s *State) rejectAppend(m *message.AgreementAppend, out *event.Effects) {
	prevIndex := m.PrevIndex
	r := &message.AgreementAppendReply{
		AgreementHeader: s.header(m.From), Rejected: true, RejectHint: min(s.log.lastIndex(), prevIndex-1), SentAt: m.SentAt}
	if term, ok := s.log.term(prevIndex); ok {
		if !s.checkInvariant(prevIndex > s.commitIndex, "agreement-committed-unchanged",
			fmt.Sprintf("leader %v disagrees at committed index %d", r.To, prevIndex), out) {
			return
		}
		for t := term; t == term && r.RejectHint > s.commitIndex; {
			if t, _ = s.log.term(r.RejectHint); t == term {
				r.RejectHint--
			}
		}
	}
	s.send(0, r.To.Instance, r, out)
}

// mergeEntries truncates the log at the first entry whose term differs from that
// of the received entry, and appends the received entries that the log lacks. It
// reports false if an invariant failed.
func (s *State) mergeEntries(at model.Time, entries []message.Entry, out *event.Effects) bool {
	for i := range entries {
		e := &entries[i]
		term, ok := s.log.term(e.Index)
		if ok && term == e.Term {
			if !s.checkInvariant(equalEntries(s.log.entry(e.Index), e), "agreement-log-matching",
				fmt.Sprintf("index %d term %d differs", e.Index, e.Term), out) {
				return false
			}
			continue
		}
		if ok {
			if !s.checkInvariant(e.Index > s.commitIndex, "agreement-committed-unchanged",
				fmt.Sprintf("index %d of term %d replaced by term %d", e.Index, term, e.Term), out) {
				return false
			}
			s.log.truncate(e.Index)
			s.outbox.logTruncated(e.Index)
		}
		s.log.append(entries[i:]...)
		s.persist(event.Persist{Entries: s.log.slice(e.Index, s.log.lastIndex())}, out)
		s.updateMembers(at)
		break
	}
	return true
}
