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
	chunkSize = 256 << 10
	// chunkRetry is when an unanswered chunk is sent again.
	chunkRetry = 500 * time.Millisecond
)

// incoming is a snapshot that arrives in chunks.
type incoming struct {
	from  model.MemberID
	term  uint64
	index uint64
	data  []byte
}

// sendChunk sends the next chunk unless one is on its way. It reports whether it
// sent anything.
func (s *State) sendChunk(at model.Time, id model.MemberID, pr *progress, out *event.Effects) bool {
	snap := &s.log.snapshot
	if pr.snapshot != snap.Index {
		pr.snapshot, pr.offset, pr.chunkAt, pr.unacked = snap.Index, 0, 0, nil
	}
	if pr.chunkAt != 0 && at < pr.chunkAt.Add(chunkRetry) {
		return false
	}
	pr.chunkAt = at
	s.sendSnapshotPart(at, id, pr, snap.Data[pr.offset:min(pr.offset+chunkSize, len(snap.Data))], out)
	return true
}

// sendSnapshotPart sends a chunk, or a heartbeat if data is nil and the snapshot
// has any.
func (s *State) sendSnapshotPart(at model.Time, id model.MemberID, pr *progress, data []byte, out *event.Effects) {
	snap := &s.log.snapshot
	s.send(0, id.Instance, &message.AgreementSnapshot{
		AgreementHeader: s.header(id), Index: snap.Index, SnapshotTerm: snap.Term, Members: snap.Members,
		Size: len(snap.Data), Offset: pr.offset, Data: data, SentAt: at,
	}, out)
}

func (s *State) receiveSnapshotReply(at model.Time, m *message.AgreementSnapshotReply, out *event.Effects) {
	pr := s.answered(at, &m.AgreementHeader, m.SentAt, out)
	if pr == nil || pr.next > s.log.snapshot.Index || pr.snapshot != m.Index {
		return
	}
	if m.Offset != pr.offset && m.Offset >= 0 && m.Offset <= len(s.log.snapshot.Data) {
		pr.offset = m.Offset
		pr.chunkAt = 0
	}
	s.replicate(at, m.From, pr, out)
}

func (s *State) receiveSnapshot(at model.Time, m *message.AgreementSnapshot, out *event.Effects) {
	if m.Size < 0 || m.Size > MaxSnapshot || m.Index == 0 || !s.hearLeader(at, &m.AgreementHeader, out) {
		return
	}
	if m.Index <= s.commit {
		s.ack(m.From, m.Index, m.SentAt, len(m.Data) == 0, out)
		return
	}
	in := &s.incoming
	if in.from != m.From || in.term != m.Term || in.index != m.Index {
		*in = incoming{from: m.From, term: m.Term, index: m.Index}
	}
	if m.Offset == len(in.data) && len(in.data)+len(m.Data) <= m.Size {
		in.data = append(in.data, m.Data...)
	}
	if len(in.data) < m.Size {
		s.send(0, m.From.Instance, &message.AgreementSnapshotReply{
			AgreementHeader: s.header(m.From), Index: m.Index, Offset: len(in.data), SentAt: m.SentAt}, out)
		return
	}
	s.install(at, message.Snapshot{Index: m.Index, Term: m.SnapshotTerm, Members: m.Members, Data: in.data}, out)
	s.ack(m.From, m.Index, m.SentAt, false, out)
}

// install replaces the log by a snapshot. Entries after it are kept if the log
// holds the snapshot's last entry.
func (s *State) install(at model.Time, snap message.Snapshot, out *event.Effects) {
	s.incoming = incoming{}
	term, ok := s.log.term(snap.Index)
	keep := ok && term == snap.Term
	if keep {
		s.log.compact(snap)
	} else {
		s.log = entryLog{snapshot: snap}
		s.outbox.dropped(s.commit + 1)
	}
	s.commit = snap.Index
	s.applied = snap.Index
	s.snapshotDue = true
	s.persist(event.Persist{Snapshot: snap, KeepTail: keep}, out)
	s.updateMembers(at)
}
