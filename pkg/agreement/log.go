package agreement

import (
	"bytes"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/message"
)

// entryLog holds a snapshot and the log entries after the snapshot's index.
// Effects and messages share the slice of entries, so its elements are never
// overwritten.
type entryLog struct {
	snapshot message.Snapshot
	entries  []message.Entry
}

// lastIndex returns the index of the last entry. If no entry follows the
// snapshot, this is the last entry that the snapshot covers. lastIndex returns 0
// for an empty log.
func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// lastTerm returns the term of the entry at lastIndex.
func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// entry returns the entry at an index. The index must be higher than the index of
// the snapshot and not higher than lastIndex.
func (l *entryLog) entry(index uint64) *message.Entry {
	return &l.entries[index-l.snapshot.Index-1]
}

// term returns the term of the entry at an index. It reports false if the index
// is lower than the snapshot's index or higher than the last index.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	}
	return l.entry(index).Term, true
}

// slice returns the entries from index first to index last, both included.
func (l *entryLog) slice(first, last uint64) []message.Entry {
	i, j := first-l.snapshot.Index-1, last-l.snapshot.Index
	return l.entries[i:j:j]
}

// append adds entries. The first one must follow the last entry of the log.
func (l *entryLog) append(entries ...message.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at index from and all later ones. It also limits
// the capacity of the slice, so that the next append copies the slice and does
// not overwrite shared elements.
func (l *entryLog) truncate(from uint64) {
	n := from - l.snapshot.Index - 1
	l.entries = l.entries[:n:n]
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *entryLog) compact(s message.Snapshot) {
	l.entries = slices.Clone(l.entries[s.Index-l.snapshot.Index:])
	l.snapshot = s
}

// membersAt returns the member list that would be in force if the log ended
// at an index.
func (l *entryLog) membersAt(index uint64) []message.GroupMember {
	list, _ := l.lastMembers(index)
	return list
}

// lastMembers returns the last member list at or before an index, and the index
// of the entry or snapshot that holds the list.
func (l *entryLog) lastMembers(index uint64) ([]message.GroupMember, uint64) {
	for i := index; i > l.snapshot.Index; i-- {
		if e := l.entry(i); e.Kind == message.EntryMembers {
			return e.Members, i
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// equalEntries reports whether two entries of the same index and term have the
// same content.
func equalEntries(a, b *message.Entry) bool {
	return a.Kind == b.Kind && bytes.Equal(a.Data, b.Data) && slices.Equal(a.Members, b.Members)
}

// isContiguous reports whether the indexes of the entries follow prevIndex
// without a gap. The terms of the entries must begin at prevTerm or higher,
// must not decrease, and must not exceed term, the sender's term.
func isContiguous(prevIndex, prevTerm, term uint64, entries []message.Entry) bool {
	for i := range entries {
		e := &entries[i]
		if e.Index != prevIndex+uint64(i)+1 || e.Term < prevTerm || e.Term > term {
			return false
		}
		prevTerm = e.Term
	}
	return true
}
