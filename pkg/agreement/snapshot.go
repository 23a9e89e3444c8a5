package agreement

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// chunkSize is the data of one message of a snapshot in bytes, well below the
	// message limit of the codec (4 MiB).
	chunkBytes = 256 << 10
	// chunkRetry is when an unanswered chunk is sent again.
	chunkRetryInterval = 500 * time.Millisecond
)

// incoming is a snapshot that arrives in chunks.
type incomingSnapshot struct {
	leader model.MemberID
	term   uint64
	index  uint64
	data   []byte
}

// sendChunk sends the next chunk unless one is on its way. It reports whether it
// sent anything.
func (s *State) sendNextChunk(at model.Time, id model.MemberID, pr *progress, out *event.Effects) bool {
	snap := &s.log.snapshot
	if pr.snapshotIndex != snap.Index {
		pr.snapshotIndex, pr.snapshotOffset, pr.chunkSentAt, pr.inflight = snap.Index, 0, 0, nil
	}
	if pr.chunkSentAt != 0 && at < pr.chunkSentAt.Add(chunkRetryInterval) {
		return false
	}
	pr.chunkSentAt = at
	s.sendSnapshotMessage(at, id, pr, snap.Data[pr.snapshotOffset:min(pr.snapshotOffset+chunkBytes, len(snap.Data))], out)
	return true
}

// sendSnapshotPart sends a chunk, or a heartbeat if data is nil and the snapshot
// has any.
func (s *State) sendSnapshotMessage(at model.Time, id model.MemberID, pr *progress, data []byte, out *event.Effects) {
	snap := &s.log.snapshot
	s.send(0, id.Instance, &message.AgreementSnapshot{
		AgreementHeader: s.header(id), Index: snap.Index, SnapshotTerm: snap.Term, Members: snap.Members,
		Size: len(snap.Data), Offset: pr.snapshotOffset, Data: data, SentAt: at,
	}, out)
}

func (s *State) receiveSnapshotReply(at model.Time, m *message.AgreementSnapshotReply, out *event.Effects) {
	pr := s.recordReply(at, &m.AgreementHeader, m.SentAt, out)
	if pr == nil || pr.nextIndex > s.log.snapshot.Index || pr.snapshotIndex != m.Index {
		return
	}
	if m.Offset != pr.snapshotOffset && m.Offset >= 0 && m.Offset <= len(s.log.snapshot.Data) {
		pr.snapshotOffset = m.Offset
		pr.chunkSentAt = 0
	}
	s.replicate(at, m.From, pr, out)
}

func (s *State) receiveSnapshot(at model.Time, m *message.AgreementSnapshot, out *event.Effects) {
	if m.Size < 0 || m.Size > MaxSnapshotBytes || m.Index == 0 || !s.acceptLeader(at, &m.AgreementHeader, out) {
		return
	}
	if m.Index <= s.commitIndex {
		s.acknowledge(m.From, m.Index, m.SentAt, len(m.Data) == 0, out)
		return
	}
	in := &s.incoming
	if in.leader != m.From || in.term != m.Term || in.index != m.Index {
		*in = incomingSnapshot{leader: m.From, term: m.Term, index: m.Index}
	}
	if m.Offset == len(in.data) && len(in.data)+len(m.Data) <= m.Size {
		in.data = append(in.data, m.Data...)
	}
	if len(in.data) < m.Size {
		s.send(0, m.From.Instance, &message.AgreementSnapshotReply{
			AgreementHeader: s.header(m.From), Index: m.Index, Offset: len(in.data), SentAt: m.SentAt}, out)
		return
	}
	s.installSnapshot(at, message.Snapshot{Index: m.Index, Term: m.SnapshotTerm, Members: m.Members, Data: in.data}, out)
	s.acknowledge(m.From, m.Index, m.SentAt, false, out)
}

// install replaces the log by a snapshot. Entries after it are kept if the log
// holds the snapshot's last entry.
func (s *State) installSnapshot(at model.Time, snap message.Snapshot, out *event.Effects) {
	s.incoming = incomingSnapshot{}
	term, ok := s.log.term(snap.Index)
	keep := ok && term == snap.Term
	if keep {
		s.log.compact(snap)
	} else {
		s.log = entryLog{snapshot: snap}
		s.outbox.logTruncated(s.commitIndex + 1)
	}
	s.commitIndex = snap.Index
	s.appliedIndex = snap.Index
	s.snapshotPending = true
	s.persist(event.Persist{Snapshot: snap, KeepTail: keep}, out)
	s.updateMembers(at)
}
