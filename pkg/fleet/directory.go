package fleet

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// publishedDirectory is the content of the directory view that was published
// last. published is false until there is one.
type publishedDirectory struct {
	entries   []directory.Entry
	table     *catalog.Table
	ready     bool
	stopping  bool
	published bool
	// entryRevision is the revision of the peers from which entries follows. At
	// checkAt they are determined again, since heartbeats may have stopped.
	entryRevision uint64
	checkAt       model.Time
}

// entryCheckInterval is how often an instance checks which entry instances have
// stopped sending heartbeats.
const entryCheckInterval = 100 * time.Millisecond

// isReady reports whether this instance is an entry instance that accepts new
// client connections. An entry instance accepts them from the time when it has
// received the configuration and the registrations of upstreams, until it is
// requested to stop.
func (s *State) isReady() bool {
	return !s.identity.Control && s.catalog.HasItems() && s.replica.Synced() && !s.stopping.requested()
}

// publishDirectory publishes a new directory view if its content has changed.
func (s *State) publishDirectory(at model.Time) {
	d := &s.directory
	entries := d.entries
	if revision := s.replica.EntryRevision(); revision != d.entryRevision || at >= d.checkAt {
		d.entryRevision, d.checkAt = revision, at.Add(entryCheckInterval)
		entries = s.liveEntries(at)
	}
	ready, table, stopping := s.isReady(), s.routes(), s.stopping.requested()
	if d.published && ready == d.ready && table == d.table && stopping == d.stopping && slices.Equal(entries, d.entries) {
		return
	}
	if ready != d.ready {
		s.out.Add(event.Log{Code: logevent.ReadinessChanged, Fields: []logevent.Field{logevent.F("ready", ready)}})
		s.updateHeartbeat(at)
		s.replica.SendHeartbeats(&s.out)
	}
	d.entries, d.table, d.ready, d.stopping, d.published = entries, table, ready, stopping, true
	s.out.Add(event.PublishDirectory{View: &directory.View{
		Ready: ready, Stopping: stopping, Table: table, Entries: entries, Regions: s.identity.Regions}})
}

// liveEntries returns the entry instances for the answers to lookups. At an
// entry instance it returns nil, since only control instances answer lookups.
func (s *State) liveEntries(at model.Time) []directory.Entry {
	if !s.identity.Control {
		return nil
	}
	var list []directory.Entry
	for _, p := range s.replica.EntryInstances(at) {
		list = append(list, directory.Entry{Instance: p.ID, Address: p.Address, Zone: p.Zone})
	}
	return list
}
