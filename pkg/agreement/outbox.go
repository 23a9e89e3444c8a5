package agreement

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxWaiting bounds the messages that wait for a sync. Further ones are dropped,
// which the protocol handles like loss.
const maxWaiting = 1024

// outbox holds messages back until what they promise is synced.
type outbox struct {
	// seq numbers Persist effects; done is the last one confirmed.
	seq, done uint64
	// hardSeq is the last one that changed term, vote or group.
	hardSeq uint64
	// synced is the last synced index of the log, commit the synced commit index.
	synced  uint64
	commit  uint64
	writes  []write
	waiting []waiting
}

// write is a Persist effect that is not confirmed yet.
type write struct {
	seq uint64
	// last is the last index that is synced once the write is.
	last uint64
	// commit is the commit index that the write holds.
	commit uint64
}

// waiting is a message that waits for a write.
type waiting struct {
	seq uint64
	to  model.InstanceID
	m   message.Message
}

// persist adds a Persist effect for what the state holds now.
func (s *State) persist(p event.Persist, out *event.Effects) {
	o := &s.outbox
	o.seq++
	p.Seq = o.seq
	p.Hard = event.HardState{Group: s.group, Term: s.term, Vote: s.vote, Commit: s.commit}
	o.writes = append(o.writes, write{seq: o.seq, last: s.log.last(), commit: s.commit})
	out.Add(p)
}

// persistHard adds a Persist effect for a changed term, vote or group.
func (s *State) persistHard(out *event.Effects) {
	s.persist(event.Persist{}, out)
	s.outbox.hardSeq = s.outbox.seq
}

// dropped says that the log was cut: indexes from this one on are not synced,
// whatever earlier writes held.
func (o *outbox) dropped(from uint64) {
	o.synced = min(o.synced, from-1)
	for i := range o.writes {
		o.writes[i].last = min(o.writes[i].last, from-1)
	}
}

// header returns the header of a message to a member.
func (s *State) header(to model.MemberID) message.AgreementHeader {
	return message.AgreementHeader{Group: s.group, From: s.self, To: to, Term: s.term}
}

// send sends a message once the write seq, and the term, vote and group, are
// synced.
func (s *State) send(seq uint64, to model.InstanceID, m message.Message, out *event.Effects) {
	o := &s.outbox
	seq = max(seq, o.hardSeq)
	switch {
	case s.stopped:
	case seq <= o.done || s.faults.sendBeforeSync:
		out.Add(event.Send{To: to, Message: m})
	case len(o.waiting) < maxWaiting:
		o.waiting = append(o.waiting, waiting{seq, to, m})
	}
}

// Persisted takes the confirmation that all Persist effects up to seq are
// synced.
func (s *State) Persisted(at model.Time, seq uint64, out *event.Effects) {
	if !s.active() {
		return
	}
	o := &s.outbox
	o.done = max(o.done, min(seq, o.seq))
	for len(o.writes) > 0 && o.writes[0].seq <= o.done {
		o.synced = max(o.synced, o.writes[0].last)
		o.commit = max(o.commit, o.writes[0].commit)
		o.writes = o.writes[1:]
	}
	kept := o.waiting[:0]
	for _, w := range o.waiting {
		if w.seq <= o.done {
			out.Add(event.Send{To: w.to, Message: w.m})
		} else {
			kept = append(kept, w)
		}
	}
	clear(o.waiting[len(kept):])
	o.waiting = kept
	switch s.role {
	case Candidate:
		s.countVotes(at, out)
	case Leader:
		s.advanceCommit(at, out)
		s.replicateAll(at, out)
	}
}

// StorageFailed takes a write or sync error. The member stops voting, since it
// can no longer keep a promise over a restart.
func (s *State) StorageFailed(_ model.Time, detail string, out *event.Effects) {
	s.fail(detail, out)
}
