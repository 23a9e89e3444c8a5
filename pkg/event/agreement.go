package event

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// HardState is what a member of the control group must not forget.
type HardState struct {
	// Group is the disk of the founding member, "" before the member belongs to
	// a group.
	Group model.DiskID
	Term  uint64
	// Vote is the member that got the vote of Term, the zero value if none did.
	Vote model.MemberID
	// Commit is a lower bound of the commit index.
	Commit uint64
}

// StorageLoaded brings what the data folder holds. It is sent once at the start
// of an instance of the control group.
type StorageLoaded struct {
	Disk     model.DiskID
	Hard     HardState
	Snapshot message.Snapshot
	Entries  []message.Entry
	// Failure says why the folder cannot be used, "" if it can.
	Failure string
}

// Persisted says that the Persist effects up to Seq are synced.
type Persisted struct {
	Seq uint64
	// Failure is the write or sync error, "" if none. Nothing is written after a
	// failure.
	Failure string
}

func (StorageLoaded) isBody() {}
func (Persisted) isBody()     {}

// Persist writes to the data folder. Persist effects are carried out in order;
// Persisted reports that one and all before it are synced.
type Persist struct {
	Seq  uint64
	Hard HardState
	// Snapshot replaces the stored one if its Index is not 0.
	Snapshot message.Snapshot
	// KeepTail keeps stored entries after the snapshot; without it they are
	// dropped.
	KeepTail bool
	// Entries are appended. Stored entries from the first index on are dropped.
	Entries []message.Entry
}

func (Persist) isEffect() {}

// String identifies the effect in digests of recordings without printing the
// data.
func (p Persist) String() string {
	var first uint64
	if len(p.Entries) > 0 {
		first = p.Entries[0].Index
	}
	return fmt.Sprintf("seq %d hard %v snapshot %d/%d keep %t entries %d from %d",
		p.Seq, p.Hard, p.Snapshot.Index, p.Snapshot.Term, p.KeepTail, len(p.Entries), first)
}
