package agreement

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// maxBatch bounds the data of one message in bytes. With the largest entry
	// it stays well below the message limit of the codec (4 MiB).
	maxBatchBytes = 256 << 10
	// maxBatchEntries bounds the entries of one message.
	maxBatchEntries = 1024
	// maxUnacked bounds the messages with entries that a member has not answered.
	maxInflightAppends = 4
	// entryOverhead is added to the data of an entry when batches are counted.
	entryOverheadBytes = 64
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to be synced there; next is the next to send.
	matchIndex, nextIndex uint64
	// acked is when the latest answered message was sent.
	lastAckedSentAt model.Time
	// unacked holds the last index of each message with entries on its way.
	inflight []uint64
	// snapshot is the snapshot being sent, 0 if none; offset is the number of
	// bytes received; chunkAt is when the last chunk was sent.
	snapshotIndex  uint64
	snapshotOffset int
	chunkSentAt    model.Time
}

// appendOwn appends an entry of the leader. Others get it once it is synced.
func (s *State) appendAsLeader(at model.Time, e message.Entry, out *event.Effects) {
	e.Index = s.log.lastIndex() + 1
	e.Term = s.term
	s.log.append(e)
	s.persist(event.Persist{Entries: s.log.slice(e.Index, e.Index)}, out)
	if e.Kind == message.EntryMembers {
		s.updateMembers(at)
	}
}

// heartbeat sends something to every member.
func (s *State) sendHeartbeats(at model.Time, out *event.Effects) {
	s.nextHeartbeatAt = at.Add(HeartbeatInterval)
	for _, m := range s.members {
		if pr := s.progress[m.ID]; pr != nil && !s.replicate(at, m.ID, pr, out) {
			s.sendHeartbeat(at, m.ID, pr, out)
		}
	}
}

// replicateAll sends what the members lack.
func (s *State) replicateAll(at model.Time, out *event.Effects) {
	for _, m := range s.members {
		if pr := s.progress[m.ID]; pr != nil {
			s.replicate(at, m.ID, pr, out)
		}
	}
}

// replicate sends what a member lacks, as far as flow control allows, and
// reports whether it sent anything.
func (s *State) replicate(at model.Time, id model.MemberID, pr *progress, out *event.Effects) bool {
	if pr.nextIndex <= s.log.snapshot.Index {
		return s.sendNextChunk(at, id, pr, out)
	}
	sent := false
	for pr.nextIndex <= s.outbox.syncedIndex && len(pr.inflight) < maxInflightAppends {
		last := s.batchEnd(pr.nextIndex)
		s.sendAppend(at, id, pr.nextIndex, s.log.slice(pr.nextIndex, last), out)
		pr.nextIndex = last + 1
		pr.inflight = append(pr.inflight, last)
		sent = true
	}
	return sent
}

// batchEnd returns the last index of a message that begins with first.
func (s *State) batchEnd(first uint64) uint64 {
	size := 0
	last := first
	for i := first; i <= s.outbox.syncedIndex && i < first+maxBatchEntries; i++ {
		size += len(s.log.entry(i).Data) + entryOverheadBytes
		if i > first && size > maxBatchBytes {
			break
		}
		last = i
	}
	return last
}

func (s *State) sendHeartbeat(at model.Time, id model.MemberID, pr *progress, out *event.Effects) {
	if pr.nextIndex <= s.log.snapshot.Index {
		s.sendSnapshotMessage(at, id, pr, nil, out)
		return
	}
	s.sendAppend(at, id, pr.nextIndex, nil, out)
}

func (s *State) sendAppend(at model.Time, id model.MemberID, next uint64, entries []message.Entry, out *event.Effects) {
	prevTerm, _ := s.log.term(next - 1)
	s.send(0, id.Instance, &message.AgreementAppend{
		AgreementHeader: s.header(id), PrevIndex: next - 1, PrevTerm: prevTerm,
		Entries: entries, CommitIndex: s.commitIndex, SentAt: at,
	}, out)
}

// answered returns the progress of the sender of a reply, nil if the reply is
// not for this term.
func (s *State) recordReply(at model.Time, h *message.AgreementHeader, sent model.Time, out *event.Effects) *progress {
	if h.Term > s.term {
		s.becomeFollower(at, h.Term, out)
	}
	if s.role != Leader || h.Term != s.term {
		return nil
	}
	pr := s.progress[h.From]
	if pr != nil {
		pr.lastAckedSentAt = max(pr.lastAckedSentAt, sent)
	}
	return pr
}

func (s *State) receiveAppendReply(at model.Time, m *message.AgreementAppendReply, out *event.Effects) {
	pr := s.recordReply(at, &m.AgreementHeader, m.SentAt, out)
	if pr == nil {
		return
	}
	if m.Rejected {
		pr.nextIndex = max(pr.matchIndex+1, min(pr.nextIndex, m.RejectHint+1))
		pr.inflight = nil
	} else if m.MatchIndex > pr.matchIndex {
		if !s.checkInvariant(m.MatchIndex <= s.log.lastIndex(), "agreement-match-in-log",
			fmt.Sprintf("%v acknowledged %d of %d", m.From, m.MatchIndex, s.log.lastIndex()), out) {
			return
		}
		pr.matchIndex = m.MatchIndex
		pr.nextIndex = max(pr.nextIndex, pr.matchIndex+1)
		pr.inflight = slices.DeleteFunc(pr.inflight, func(last uint64) bool { return last <= pr.matchIndex })
		s.advanceCommit(at, out)
	}
	if s.role == Leader {
		s.replicate(at, m.From, pr, out)
		s.advanceLearners(at, out)
	}
}

// advanceCommit commits what a majority has synced. Entries of earlier terms are
// committed only together with one of the own term, since another leader could
// still replace them.
func (s *State) advanceCommit(at model.Time, out *event.Effects) {
	var synced []uint64
	for _, id := range s.quorumMembers() {
		switch pr := s.progress[id]; {
		case id == s.self:
			synced = append(synced, s.outbox.syncedIndex)
		case pr != nil:
			synced = append(synced, pr.matchIndex)
		}
	}
	slices.Sort(synced)
	index := synced[len(synced)-s.quorum()]
	if s.faults.commitWithoutMajority {
		index = s.outbox.syncedIndex
	}
	if term, _ := s.log.term(index); index <= s.commitIndex || term != s.term {
		return
	}
	s.setCommitIndex(index, out)
	if s.isActive() && s.membersIndex <= s.commitIndex && !s.isMember(s.self) {
		s.becomeFollower(at, s.term, out)
	}
}

// setCommit raises the commit index. It is stored without being waited for, so
// that a restarted member that finds no majority still knows what it had.
func (s *State) setCommitIndex(index uint64, out *event.Effects) {
	if !s.checkInvariant(index > s.commitIndex && index <= s.log.lastIndex(), "agreement-commit-monotone",
		fmt.Sprintf("commit index %d after %d, log ends at %d", index, s.commitIndex, s.log.lastIndex()), out) {
		return
	}
	s.commitIndex = index
	s.persist(event.Persist{}, out)
}
