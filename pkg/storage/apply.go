package storage

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// Apply applies a write to the contents of a data folder, in three steps:
//
//   - The new hard state replaces the old one.
//   - A new snapshot replaces the old one and the log entries up to its index. If
//     KeepTail is false, it replaces all log entries.
//   - New entries replace all log entries whose index is at least that of the
//     first new entry.
//
// Apply returns an error if the new entries would leave a gap in the log or
// overlap the snapshot.
func Apply(contents *event.StorageLoaded, write event.Persist) error {
	contents.Hard = write.Hard
	if write.Snapshot.Index > 0 {
		keptEntries := 0
		if lastIndex := contents.Snapshot.Index + uint64(len(contents.Entries)); write.KeepTail && lastIndex > write.Snapshot.Index {
			keptEntries = int(lastIndex - write.Snapshot.Index)
		}
		contents.Entries = slices.Clone(contents.Entries[len(contents.Entries)-keptEntries:])
		contents.Snapshot = write.Snapshot
	}
	if len(write.Entries) == 0 {
		return nil
	}
	firstIndex := write.Entries[0].Index
	nextIndex := contents.Snapshot.Index + uint64(len(contents.Entries)) + 1
	if firstIndex <= contents.Snapshot.Index || firstIndex > nextIndex {
		return fmt.Errorf("entry %d does not follow a log from %d to %d", firstIndex, contents.Snapshot.Index+1, nextIndex-1)
	}
	if unchanged := firstIndex - contents.Snapshot.Index - 1; unchanged < uint64(len(contents.Entries)) {
		// The limited capacity makes append copy the entries. Otherwise it would
		// overwrite the replaced entries, which the reducer may share.
		contents.Entries = contents.Entries[:unchanged:unchanged]
	}
	contents.Entries = append(contents.Entries, write.Entries...)
	return nil
}
