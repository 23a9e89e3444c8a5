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
	maxBatch = 256 << 10
	// maxBatchEntries bounds the entries of one message.
	maxBatchEntries = 1024
	// maxUnacked bounds the messages with entries that a member has not answered.
	maxUnacked = 4
	// entryOverhead is added to the data of an entry when batches are counted.
	entryOverhead = 64
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to be synced there; next is the next to send.
	match, next uint64
	// acked is when the latest answered message was sent.
	acked model.Time
	// unacked holds the last index of each message with entries on its way.
	unacked []uint64
	// snapshot is the snapshot being sent, 0 if none; offset is the number of
	// bytes received; chunkAt is when the last chunk was sent.
	snapshot uint64
	offset   int
	chunkAt  model.Time
}

// appendOwn appends an entry of the leader. Others get it once it is synced.
func (s *State) appendOwn(at model.Time, e message.Entry, out *event.Effects) {
	e.Index = s.log.last() + 1
	e.Term = s.term
	s.log.append(e)
	s.persist(event.Persist{Entries: s.log.slice(e.Index, e.Index)}, out)
	if e.Kind == message.EntryMembers {
		s.updateMembers(at)
	}
}

// heartbeat sends something to every member.
func (s *State) heartbeat(at model.Time, out *event.Effects) {
	s.heartbeatAt = at.Add(Heartbeat)
	for _, m := range s.members {
		if pr := s.progress[m.ID]; pr != nil && !s.replicate(at, m.ID, pr, out) {
			s.sendEmpty(at, m.ID, pr, out)
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
	if pr.next <= s.log.snapshot.Index {
		return s.sendChunk(at, id, pr, out)
	}
	sent := false
	for pr.next <= s.outbox.synced && len(pr.unacked) < maxUnacked {
		last := s.batchEnd(pr.next)
		s.sendAppend(at, id, pr.next, s.log.slice(pr.next, last), out)
		pr.next = last + 1
		pr.unacked = append(pr.unacked, last)
		sent = true
	}
	return sent
}

// batchEnd returns the last index of a message that begins with first.
func (s *State) batchEnd(first uint64) uint64 {
	size := 0
	last := first
	for i := first; i <= s.outbox.synced && i < first+maxBatchEntries; i++ {
		size += len(s.log.entry(i).Data) + entryOverhead
		if i > first && size > maxBatch {
			break
		}
		last = i
	}
	return last
}

func (s *State) sendEmpty(at model.Time, id model.MemberID, pr *progress, out *event.Effects) {
	if pr.next <= s.log.snapshot.Index {
		s.sendSnapshotPart(at, id, pr, nil, out)
		return
	}
	s.sendAppend(at, id, pr.next, nil, out)
}

func (s *State) sendAppend(at model.Time, id model.MemberID, next uint64, entries []message.Entry, out *event.Effects) {
	prevTerm, _ := s.log.term(next - 1)
	s.send(0, id.Instance, &message.AgreementAppend{
		AgreementHeader: s.header(id), PrevIndex: next - 1, PrevTerm: prevTerm,
		Entries: entries, CommitIndex: s.commit, SentAt: at,
	}, out)
}

// answered returns the progress of the sender of a reply, nil if the reply is
// not for this term.
func (s *State) answered(at model.Time, h *message.AgreementHeader, sent model.Time, out *event.Effects) *progress {
	if h.Term > s.term {
		s.follow(at, h.Term, out)
	}
	if s.role != Leader || h.Term != s.term {
		return nil
	}
	pr := s.progress[h.From]
	if pr != nil {
		pr.acked = max(pr.acked, sent)
	}
	return pr
}

func (s *State) receiveAppendReply(at model.Time, m *message.AgreementAppendReply, out *event.Effects) {
	pr := s.answered(at, &m.AgreementHeader, m.SentAt, out)
	if pr == nil {
		return
	}
	if m.Rejected {
		pr.next = max(pr.match+1, min(pr.next, m.RejectHint+1))
		pr.unacked = nil
	} else if m.MatchIndex > pr.match {
		if !s.require(m.MatchIndex <= s.log.last(), "agreement-match-in-log",
			fmt.Sprintf("%v acknowledged %d of %d", m.From, m.MatchIndex, s.log.last()), out) {
			return
		}
		pr.match = m.MatchIndex
		pr.next = max(pr.next, pr.match+1)
		pr.unacked = slices.DeleteFunc(pr.unacked, func(last uint64) bool { return last <= pr.match })
		s.advanceCommit(at, out)
	}
	if s.role == Leader {
		s.replicate(at, m.From, pr, out)
		s.reviewMembers(at, out)
	}
}

// advanceCommit commits what a majority has synced. Entries of earlier terms are
// committed only together with one of the own term, since another leader could
// still replace them.
func (s *State) advanceCommit(at model.Time, out *event.Effects) {
	var synced []uint64
	for _, id := range s.counted() {
		switch pr := s.progress[id]; {
		case id == s.self:
			synced = append(synced, s.outbox.synced)
		case pr != nil:
			synced = append(synced, pr.match)
		}
	}
	slices.Sort(synced)
	index := synced[len(synced)-s.majority()]
	if s.faults.commitWithoutMajority {
		index = s.outbox.synced
	}
	if term, _ := s.log.term(index); index <= s.commit || term != s.term {
		return
	}
	s.setCommit(index, out)
	if s.active() && s.membersIndex <= s.commit && !s.isMember(s.self) {
		s.follow(at, s.term, out)
	}
}

// setCommit raises the commit index. It is stored without being waited for, so
// that a restarted member that finds no majority still knows what it had.
func (s *State) setCommit(index uint64, out *event.Effects) {
	if !s.require(index > s.commit && index <= s.log.last(), "agreement-commit-monotone",
		fmt.Sprintf("commit index %d after %d, log ends at %d", index, s.commit, s.log.last()), out) {
		return
	}
	s.commit = index
	s.persist(event.Persist{}, out)
}
