package storage

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// Apply carries out a write on the contents of a data folder.
func Apply(c *event.StorageLoaded, p event.Persist) error {
	c.Hard = p.Hard
	if p.Snapshot.Index > 0 {
		keep := 0
		if last := c.Snapshot.Index + uint64(len(c.Entries)); p.KeepTail && last > p.Snapshot.Index {
			keep = int(last - p.Snapshot.Index)
		}
		c.Entries = slices.Clone(c.Entries[len(c.Entries)-keep:])
		c.Snapshot = p.Snapshot
	}
	if len(p.Entries) == 0 {
		return nil
	}
	first := p.Entries[0].Index
	next := c.Snapshot.Index + uint64(len(c.Entries)) + 1
	if first <= c.Snapshot.Index || first > next {
		return fmt.Errorf("entry %d does not follow a log from %d to %d", first, c.Snapshot.Index+1, next-1)
	}
	if n := first - c.Snapshot.Index - 1; n < uint64(len(c.Entries)) {
		// The cut capacity keeps dropped entries from being overwritten: the
		// reducer may share them.
		c.Entries = c.Entries[:n:n]
	}
	c.Entries = append(c.Entries, p.Entries...)
	return nil
}
