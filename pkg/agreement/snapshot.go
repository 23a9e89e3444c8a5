package agreement

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// chunkBytes bounds the snapshot data of one message. It is well below the
	// message limit of the codec (4 MiB).
	chunkBytes = 256 << 10
	// chunkRetryInterval is the time after which an unacknowledged chunk is sent
	// again, since the chunk or its acknowledgement may be lost.
	chunkRetryInterval = 500 * time.Millisecond
)

// incomingSnapshot is a snapshot that this member is receiving from a leader in
// chunks. data holds the chunks received so far.
type incomingSnapshot struct {
	leader model.MemberID
	term   uint64
	index  uint64
	data   []byte
}

// sendNextChunk sends the next chunk of the snapshot, unless the latest chunk
// is unacknowledged and was sent less than chunkRetryInterval ago. It reports
// whether it sent a chunk.
func (s *State) sendNextChunk(at model.Time, id model.MemberID, pr *progress, out *event.Effects) bool {
	snap := &s.log.snapshot
	if pr.snapshotIndex != snap.Index {
		pr.snapshotIndex, pr.snapshotOffset, pr.chunkSentAt, pr.inflightLastIndexes = snap.Index, 0, 0, nil
	}
	if pr.chunkSentAt != 0 && at < pr.chunkSentAt.Add(chunkRetryInterval) {
		return false
	}
	pr.chunkSentAt = at
	s.sendSnapshotMessage(at, id, pr, snap.Data[pr.snapshotOffset:min(pr.snapshotOffset+chunkBytes, len(snap.Data))], out)
	return true
}

// sendSnapshotMessage sends a member data of the snapshot from snapshotOffset on.
// A message without data is a heartbeat.
func (s *State) sendSnapshotMessage(at model.Time, id model.MemberID, pr *progress, data []byte, out *event.Effects) {
	snap := &s.log.snapshot
	s.send(0, id.Instance, &message.AgreementSnapshot{
		AgreementHeader: s.header(id), Index: snap.Index, SnapshotTerm: snap.Term, Members: snap.Members,
		Size: len(snap.Data), Offset: pr.snapshotOffset, Data: data, SentAt: at,
	}, out)
}

// receiveSnapshotReply sends the next chunk of the snapshot. The chunk begins at
// the offset up to which the member has received the snapshot.
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

// receiveSnapshot collects the chunks of a snapshot and installs it when it is
// complete.
func (s *State) receiveSnapshot(at model.Time, m *message.AgreementSnapshot, out *event.Effects) {
	if m.Size < 0 || m.Size > MaxSnapshotBytes || m.Index == 0 || !s.acceptLeader(at, &m.AgreementHeader, out) {
		return
	}
	s.observeLeaderCommit(at, m.Index)
	if m.Index <= s.commitIndex {
		s.acknowledge(m.From, m.Index, m.SentAt, len(m.Data) == 0, out)
		return
	}
	incoming := &s.incoming
	if incoming.leader != m.From || incoming.term != m.Term || incoming.index != m.Index {
		*incoming = incomingSnapshot{leader: m.From, term: m.Term, index: m.Index}
	}
	if m.Offset == len(incoming.data) && len(incoming.data)+len(m.Data) <= m.Size {
		incoming.data = append(incoming.data, m.Data...)
	}
	if len(incoming.data) < m.Size {
		s.send(0, m.From.Instance, &message.AgreementSnapshotReply{
			AgreementHeader: s.header(m.From), Index: m.Index, Offset: len(incoming.data), SentAt: m.SentAt}, out)
		return
	}
	s.installSnapshot(at, message.Snapshot{Index: m.Index, Term: m.SnapshotTerm, Members: m.Members, Data: incoming.data}, out)
	s.acknowledge(m.From, m.Index, m.SentAt, false, out)
}

// installSnapshot replaces the log up to the snapshot's index by the snapshot. If
// the log contains the last entry that the snapshot covers, the entries after it
// are kept. Otherwise they may conflict with the leader's log and are removed.
func (s *State) installSnapshot(at model.Time, snap message.Snapshot, out *event.Effects) {
	s.incoming = incomingSnapshot{}
	term, ok := s.log.term(snap.Index)
	keepTail := ok && term == snap.Term
	if keepTail {
		s.log.compact(snap)
	} else {
		s.log = entryLog{snapshot: snap}
		s.outbox.logTruncated(s.commitIndex + 1)
	}
	s.commitIndex = snap.Index
	s.appliedIndex = snap.Index
	s.snapshotPending = true
	s.persist(event.Persist{Snapshot: snap, KeepTail: keepTail}, out)
	s.updateMembers(at)
}
