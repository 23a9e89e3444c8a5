package storage

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// Apply applies a write to the contents of a data folder. First it replaces the
// hard state. Then a snapshot replaces the log: the entries up to its index, or
// all entries if KeepTail is false. Last, entries replace the log from their
// first index on. Apply returns an error if the entries would leave a gap in the
// log or overlap the snapshot.
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
		// Limiting the capacity makes append copy the entries instead of
		// overwriting dropped ones, which the reducer may share.
		contents.Entries = contents.Entries[:unchanged:unchanged]
	}
	contents.Entries = append(contents.Entries, write.Entries...)
	return nil
}
