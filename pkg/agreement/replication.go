package agreement

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// maxBatchBytes bounds the data of an append request that contains several
	// entries. A request with one entry of MaxEntryBytes is larger, but still
	// well below the message limit of the codec (4 MiB).
	maxBatchBytes = 256 << 10
	// maxBatchEntries bounds the entries of one append request.
	maxBatchEntries = 1024
	// maxInflightAppends bounds the unacknowledged append requests with entries
	// that a leader has sent to one member.
	maxInflightAppends = 4
	// entryOverheadBytes is the assumed encoded size of an entry without its data.
	// It counts towards maxBatchBytes.
	entryOverheadBytes = 64
)

// progress is the replication state that a leader keeps for each other member.
type progress struct {
	// matchIndex is the index of the last entry known to be synced at the member.
	// nextIndex is the index of the next entry to send to the member.
	matchIndex, nextIndex uint64
	// startedAt is when the leader began to replicate to the member.
	startedAt model.Time
	// lastAckedSentAt is when the leader sent the latest message that the
	// member has answered.
	lastAckedSentAt model.Time
	// inflightLastIndexes holds, for each unacknowledged append request with
	// entries, the index of its last entry.
	inflightLastIndexes []uint64
	// snapshotIndex is the index of the snapshot being sent, 0 if there is
	// none. snapshotOffset is the number of bytes of this snapshot that the
	// member has received. chunkSentAt is when the latest chunk was sent.
	snapshotIndex  uint64
	snapshotOffset int
	chunkSentAt    model.Time
}

// appendAsLeader appends an entry of the leader's term. The entry is sent to
// the other members once it is synced at this member.
func (s *State) appendAsLeader(at model.Time, e message.Entry, out *event.Effects) {
	e.Index = s.log.lastIndex() + 1
	e.Term = s.term
	s.log.append(e)
	s.persist(event.Persist{Entries: s.log.slice(e.Index, e.Index)}, out)
	if e.Kind == message.EntryMembers {
		s.updateMembers(at)
	}
}

// sendHeartbeats sends a message to every other member and schedules the next
// heartbeat. A member that lacks entries receives them if flow control allows it
// now. Every other member receives a heartbeat without entries.
func (s *State) sendHeartbeats(at model.Time, out *event.Effects) {
	s.nextHeartbeatAt = at.Add(HeartbeatInterval)
	for _, m := range s.members {
		if pr := s.progress[m.ID]; pr != nil && !s.replicate(at, m.ID, pr, out) {
			s.sendHeartbeat(at, m.ID, pr, out)
		}
	}
}

// replicateAll sends every member the entries that it lacks.
func (s *State) replicateAll(at model.Time, out *event.Effects) {
	for _, m := range s.members {
		if pr := s.progress[m.ID]; pr != nil {
			s.replicate(at, m.ID, pr, out)
		}
	}
}

// replicate sends a member the entries that it lacks, in at most
// maxInflightAppends unacknowledged requests. If the member lacks entries that
// are only in the snapshot, it sends a chunk of the snapshot instead. It reports
// whether it sent a message.
func (s *State) replicate(at model.Time, id model.MemberID, pr *progress, out *event.Effects) bool {
	if pr.nextIndex <= s.log.snapshot.Index {
		return s.sendNextChunk(at, id, pr, out)
	}
	sent := false
	for pr.nextIndex <= s.outbox.syncedIndex && len(pr.inflightLastIndexes) < maxInflightAppends {
		last := s.batchEnd(pr.nextIndex)
		s.sendAppend(at, id, pr.nextIndex, s.log.slice(pr.nextIndex, last), out)
		pr.nextIndex = last + 1
		pr.inflightLastIndexes = append(pr.inflightLastIndexes, last)
		sent = true
	}
	return sent
}

// batchEnd returns the index of the last entry that fits into one append request
// whose first entry has the index first.
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

// sendHeartbeat sends a member a heartbeat: an append request without entries, or
// a snapshot message without data if the member needs the snapshot.
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
		Entries: entries, CommitIndex: s.commitIndex, SentAt: at, ConfirmsReads: true,
	}, out)
}

// recordReply records that a member has replied to a message that this member
// sent at sentAt. It returns the replication progress of the replying member. It
// returns nil if this member does not lead in the term of the reply, or if it
// does not replicate to the replying member.
func (s *State) recordReply(at model.Time, h *message.AgreementHeader, sentAt model.Time, out *event.Effects) *progress {
	if h.Term > s.term {
		s.becomeFollower(at, h.Term, out)
	}
	if s.role != Leader || h.Term != s.term {
		return nil
	}
	pr := s.progress[h.From]
	if pr != nil {
		pr.lastAckedSentAt = max(pr.lastAckedSentAt, sentAt)
		s.advanceReads(out)
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
		pr.inflightLastIndexes = nil
	} else if m.MatchIndex > pr.matchIndex {
		if !s.checkInvariant(m.MatchIndex <= s.log.lastIndex(), "agreement-match-in-log",
			fmt.Sprintf("%v acknowledged %d of %d", m.From, m.MatchIndex, s.log.lastIndex()), out) {
			return
		}
		pr.matchIndex = m.MatchIndex
		pr.nextIndex = max(pr.nextIndex, pr.matchIndex+1)
		pr.inflightLastIndexes = slices.DeleteFunc(pr.inflightLastIndexes, func(last uint64) bool { return last <= pr.matchIndex })
		s.advanceCommit(at, out)
	}
	if s.role == Leader {
		s.replicate(at, m.From, pr, out)
		s.advanceLearners(at, out)
	}
}

// advanceCommit commits the entries that a majority has synced. Entries of
// earlier terms are committed only together with a later entry of the leader's
// own term, since otherwise another leader could still replace them. A leader
// whose own removal is committed steps down.
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
	if s.disabledRules.commitWithoutMajority {
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

// setCommitIndex raises the commit index and stores it, so that a member that
// restarts without reaching a majority still knows which entries are committed.
// No message waits until the commit index is synced.
func (s *State) setCommitIndex(index uint64, out *event.Effects) {
	if !s.checkInvariant(index > s.commitIndex && index <= s.log.lastIndex(), "agreement-commit-monotone",
		fmt.Sprintf("commit index %d after %d, log ends at %d", index, s.commitIndex, s.log.lastIndex()), out) {
		return
	}
	s.commitIndex = index
	s.persist(event.Persist{}, out)
}
