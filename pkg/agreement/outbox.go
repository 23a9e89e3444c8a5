package agreement

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxQueuedMessages bounds the messages that wait until their Persist effect is
// confirmed. Further messages are dropped, which the protocol handles like
// messages lost by the network.
const maxQueuedMessages = 1024

// outbox queues messages until the term, vote or entries that they promise are
// synced to the disk of this member.
type outbox struct {
	// issuedSeq is the sequence number of the latest Persist effect. syncedSeq is
	// the sequence number of the latest Persist effect that was confirmed.
	issuedSeq, syncedSeq uint64
	// hardStateSeq is the sequence number of the latest Persist effect that
	// changed the term, the vote or the group.
	hardStateSeq uint64
	// syncedIndex is the index of the last entry that is synced. syncedCommitIndex
	// is the highest commit index that is stored in a synced write.
	syncedIndex       uint64
	syncedCommitIndex uint64
	pendingWrites     []pendingWrite
	queuedMessages    []queuedMessage
}

// pendingWrite is a Persist effect that is not confirmed yet.
type pendingWrite struct {
	seq uint64
	// lastIndex is the index of the last entry that is synced once the write is
	// confirmed.
	lastIndex uint64
	// commitIndex is the commit index that the write contains.
	commitIndex uint64
}

// queuedMessage is a message that is sent once the Persist effect with the
// sequence number seq is confirmed.
type queuedMessage struct {
	seq     uint64
	to      model.InstanceID
	message message.Message
}

// persist adds a Persist effect with the given entries or snapshot and the
// present hard state: the group, the term, the vote and the commit index.
func (s *State) persist(p event.Persist, out *event.Effects) {
	o := &s.outbox
	o.issuedSeq++
	p.Seq = o.issuedSeq
	p.Hard = event.HardState{Group: s.group, Term: s.term, Vote: s.votedFor, Commit: s.commitIndex}
	o.pendingWrites = append(o.pendingWrites, pendingWrite{seq: o.issuedSeq, lastIndex: s.log.lastIndex(), commitIndex: s.commitIndex})
	out.Add(p)
}

// persistHardState adds a Persist effect after the term, the vote or the group
// has changed. Messages sent from now on wait until this effect is confirmed.
func (s *State) persistHardState(out *event.Effects) {
	s.persist(event.Persist{}, out)
	s.outbox.hardStateSeq = s.outbox.issuedSeq
}

// logTruncated marks the entry at index from and all later ones as not synced,
// even if earlier writes contain entries at these indexes.
func (o *outbox) logTruncated(from uint64) {
	o.syncedIndex = min(o.syncedIndex, from-1)
	for i := range o.pendingWrites {
		o.pendingWrites[i].lastIndex = min(o.pendingWrites[i].lastIndex, from-1)
	}
}

// header returns the header of a message to a member.
func (s *State) header(to model.MemberID) message.AgreementHeader {
	return message.AgreementHeader{Group: s.group, From: s.self, To: to, Term: s.term}
}

// send sends a message once the Persist effect with the sequence number seq and
// the latest term, vote and group are synced.
func (s *State) send(seq uint64, to model.InstanceID, m message.Message, out *event.Effects) {
	o := &s.outbox
	seq = max(seq, o.hardStateSeq)
	switch {
	case s.stopped:
	case seq <= o.syncedSeq || s.disabledRules.sendBeforeSync:
		out.Add(event.Send{To: to, Message: m})
	case len(o.queuedMessages) < maxQueuedMessages:
		o.queuedMessages = append(o.queuedMessages, queuedMessage{seq, to, m})
	}
}

// Persisted handles the confirmation that all Persist effects up to seq are
// synced.
func (s *State) Persisted(at model.Time, seq uint64, out *event.Effects) {
	if !s.isActive() {
		return
	}
	o := &s.outbox
	o.syncedSeq = max(o.syncedSeq, min(seq, o.issuedSeq))
	for len(o.pendingWrites) > 0 && o.pendingWrites[0].seq <= o.syncedSeq {
		o.syncedIndex = max(o.syncedIndex, o.pendingWrites[0].lastIndex)
		o.syncedCommitIndex = max(o.syncedCommitIndex, o.pendingWrites[0].commitIndex)
		o.pendingWrites = o.pendingWrites[1:]
	}
	kept := o.queuedMessages[:0]
	for _, q := range o.queuedMessages {
		if q.seq <= o.syncedSeq {
			out.Add(event.Send{To: q.to, Message: q.message})
		} else {
			kept = append(kept, q)
		}
	}
	clear(o.queuedMessages[len(kept):])
	o.queuedMessages = kept
	switch s.role {
	case Candidate:
		s.countVotes(at, out)
	case Leader:
		s.advanceCommit(at, out)
		s.replicateAll(at, out)
	}
}

// StorageFailed handles an error of writing or syncing the state of this member.
// The member becomes inactive until its data folder was opened again, since after
// a restart it would not know the votes and acknowledgements that it sent.
func (s *State) StorageFailed(at model.Time, detail string, out *event.Effects) {
	if s.failure == "" {
		s.failStorage(at, detail, out)
	}
}
