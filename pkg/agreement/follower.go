package agreement

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Receive takes a message of another instance. Other subjects' messages are
// ignored.
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
	case *message.AgreementJoin:
		s.receiveJoin(at, from, m, out)
	case *message.AgreementJoinReply:
		s.receiveJoinReply(at, from, m, out)
	}
}

// accept reports whether a message is for this member and group. A member
// without entries joins the group of a request that names its disk: only a
// founder or a leader that has added this disk sends one. It votes for nobody in
// its present term, which may have been that of another group.
func (s *State) acceptHeader(from model.InstanceID, h *message.AgreementHeader, request bool, out *event.Effects) bool {
	if h.From.Instance != from || h.To != s.self || h.Group == "" {
		return false
	}
	if s.group != h.Group && s.hasEmptyLog() && request {
		s.group = h.Group
		s.vote = s.self
		s.persistHardState(out)
	}
	return h.Group == s.group
}

// hearLeader takes note of a leader's message. It reports false if the message
// is of an earlier term.
func (s *State) acceptLeader(at model.Time, h *message.AgreementHeader, out *event.Effects) bool {
	if h.Term < s.term {
		// The reply carries the newer term, at which the sender steps down.
		s.send(0, h.From.Instance, &message.AgreementAppendReply{AgreementHeader: s.header(h.From), Rejected: true}, out)
		return false
	}
	sole := h.Term > s.term || s.role != Leader && (s.leader == model.MemberID{} || s.leader == h.From)
	if !s.checkInvariant(sole, "agreement-election-safety",
		fmt.Sprintf("%v and %v lead term %d", s.leader, h.From, h.Term), out) {
		return false
	}
	if h.Term > s.term || s.role != Follower {
		s.becomeFollower(at, h.Term, out)
	}
	s.leader = h.From
	s.lastLeaderContact = at
	s.nextJoinAt = at.Add(learnerJoinTimeout)
	s.resetElectionTimer(at)
	return true
}

func (s *State) receiveAppend(at model.Time, m *message.AgreementAppend, out *event.Effects) {
	if !isContiguous(m.PrevIndex, m.PrevTerm, m.Term, m.Entries) || !s.acceptLeader(at, &m.AgreementHeader, out) {
		return
	}
	prev := m.PrevIndex
	entries := m.Entries
	match := prev + uint64(len(entries))
	if base := s.log.snapshot.Index; prev < base {
		// What the snapshot covers is committed and needs no comparison.
		entries = entries[min(base-prev, uint64(len(entries))):]
	} else if term, ok := s.log.term(prev); !ok || term != m.PrevTerm {
		s.rejectAppend(m, out)
		return
	}
	if !s.mergeEntries(at, entries, out) {
		return
	}
	if commit := min(m.CommitIndex, match); commit > s.commitIndex {
		s.setCommitIndex(commit, out)
	}
	s.acknowledge(m.From, match, m.SentAt, len(m.Entries) == 0, out)
}

// ack acknowledges the log up to match once it is synced. A heartbeat is
// answered at once with what is synced already, so that a slow disk does not
// cost the leader its lease.
func (s *State) acknowledge(to model.MemberID, match uint64, sent model.Time, heartbeat bool, out *event.Effects) {
	if heartbeat {
		match = min(match, s.outbox.syncedIndex)
	}
	s.send(s.writeCovering(match), to.Instance, &message.AgreementAppendReply{
		AgreementHeader: s.header(to), MatchIndex: match, SentAt: sent}, out)
}

// syncOf returns the write that must be synced before an index is.
func (s *State) writeCovering(index uint64) uint64 {
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

// reject answers entries that do not follow the log. The hint skips the whole
// term of a conflicting entry.
func (s *State) rejectAppend(m *message.AgreementAppend, out *event.Effects) {
	prev := m.PrevIndex
	r := &message.AgreementAppendReply{
		AgreementHeader: s.header(m.From), Rejected: true, RejectHint: min(s.log.lastIndex(), prev-1), SentAt: m.SentAt}
	if term, ok := s.log.term(prev); ok {
		if !s.checkInvariant(prev > s.commitIndex, "agreement-committed-unchanged",
			fmt.Sprintf("leader %v disagrees at committed index %d", r.To, prev), out) {
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

// merge adds the entries that the log lacks and drops those that conflict.
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
