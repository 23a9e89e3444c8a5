package event

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// HardState is the consensus state that a member of the control group must not
// lose in a restart.
type HardState struct {
	// Group identifies the control group by the disk of the member that founded it.
	// Group is empty until this member joins a control group.
	Group model.DiskID
	Term  uint64
	// Vote is the member that received this member's vote in Term, zero if this
	// member has not voted in Term.
	Vote model.MemberID
	// Commit is a log index up to which all entries are committed. The commit index
	// of the group may be higher.
	Commit uint64
}

// StorageLoaded reports the contents of the data folder. The event occurs when an
// instance that belongs to the control group starts, and after each ReopenStorage
// effect.
type StorageLoaded struct {
	Disk     model.DiskID
	Hard     HardState
	Snapshot message.Snapshot
	Entries  []message.Entry
	// Failure is the error that makes the data folder unusable, empty if there is
	// none.
	Failure string
}

// Persisted reports that the Persist effects up to Seq are synced to disk.
type Persisted struct {
	Seq uint64
	// Failure is the write or sync error, empty if there is none. After a failure,
	// nothing more is written to the data folder until it is opened again.
	Failure string
}

func (StorageLoaded) isBody() {}
func (Persisted) isBody()     {}

// Persist writes to the data folder. Persist effects are executed in order. A
// Persisted event reports that the effect and all earlier ones are synced.
type Persist struct {
	Seq  uint64
	Hard HardState
	// Snapshot replaces the stored snapshot if its Index is not 0.
	Snapshot message.Snapshot
	// KeepTail applies only together with a new snapshot. If it is true, the stored
	// entries that follow the snapshot are kept; otherwise all stored entries are
	// deleted.
	KeepTail bool
	// Entries are written to the log. They replace all stored entries whose index is
	// at least the index of Entries[0].
	Entries []message.Entry
}

func (Persist) isEffect() {}

// ReopenStorage opens the data folder again after a failure. Persist effects from
// before it that were not executed yet are dropped. The event StorageLoaded
// reports the result.
type ReopenStorage struct{}

func (ReopenStorage) isEffect() {}

// String returns a summary of the effect without snapshot and entry data. Digests
// of recordings include the summary, so its format must not change.
func (p Persist) String() string {
	var first uint64
	if len(p.Entries) > 0 {
		first = p.Entries[0].Index
	}
	return fmt.Sprintf("seq %d hard %v snapshot %d/%d keep %t entries %d from %d",
		p.Seq, p.Hard, p.Snapshot.Index, p.Snapshot.Term, p.KeepTail, len(p.Entries), first)
}
