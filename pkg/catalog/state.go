package catalog

import (
	"bytes"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Command is one entry of the replicated log.
type Command struct {
	// Origin and Call name the call that waits for the result at the instance
	// that took it.
	Origin      model.InstanceID
	Incarnation model.Incarnation
	Call        uint64
	Items       []model.Item
	// Evacuation is set by orders for a zone.
	Evacuation *model.Evacuation
}

// Snapshot is the whole state.
type Snapshot struct {
	Position    uint64
	Items       []model.Item
	Evacuations []model.Evacuation
}

// Result is the outcome of a command.
type Result struct {
	Code   result.Code
	Detail string
	// Items and Evacuations are what the command changed.
	ChangedItems       []model.Item
	ChangedEvacuations []model.Evacuation
}

// State holds the items and evacuations.
type State struct {
	position    uint64
	items       map[model.ItemKey]model.Item
	evacuations map[model.Zone]model.Evacuation
	table       *Table
}

// New returns an empty state.
func New() *State {
	return &State{items: map[model.ItemKey]model.Item{}, evacuations: map[model.Zone]model.Evacuation{}}
}

// Restore returns the state of a snapshot.
func Restore(s Snapshot) *State {
	c := New()
	c.position = s.Position
	for _, i := range s.Items {
		c.items[i.Key] = i
	}
	for _, e := range s.Evacuations {
		c.evacuations[e.Zone] = e
	}
	return c
}

// Snapshot returns the whole state in a fixed order.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Position: s.position, Items: s.Items()}
	for _, e := range s.evacuations {
		snap.Evacuations = append(snap.Evacuations, e)
	}
	slices.SortFunc(snap.Evacuations, func(a, b model.Evacuation) int { return orderOf(a.Zone < b.Zone) })
	return snap
}

// Position returns the log position of the last command applied.
func (s *State) Position() uint64 { return s.position }

// Known reports whether there is any item.
func (s *State) HasItems() bool { return len(s.items) > 0 }

// Items returns all items, removed ones included, in the order of their keys.
func (s *State) Items() []model.Item {
	list := make([]model.Item, 0, len(s.items))
	for _, i := range s.items {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b model.Item) int { return orderOf(a.Key.Less(b.Key)) })
	return list
}

func orderOf(less bool) int {
	if less {
		return -1
	}
	return 1
}

// Apply applies a committed command. All members of the control group get the
// same result, since they apply the same commands in the same order.
func (s *State) Apply(position uint64, c *Command) Result {
	s.position = position
	if c.Evacuation != nil {
		return s.applyEvacuation(position, *c.Evacuation)
	}
	if r := s.Check(c.Items); r.Code != result.Answered {
		return r
	}
	var r Result
	for _, i := range c.Items {
		if s.Merge(i) {
			r.ChangedItems = append(r.ChangedItems, i)
		}
	}
	return r
}

// order applies an evacuation order. An order that repeats what stands changes
// nothing.
func (s *State) applyEvacuation(position uint64, e model.Evacuation) Result {
	if s.evacuations[e.Zone].Active == e.Active {
		return Result{}
	}
	e.Position = position
	s.MergeEvacuation(e)
	return Result{ChangedEvacuations: []model.Evacuation{e}}
}

// Merge keeps an item that is newer than the one held. It reports whether it is.
func (s *State) Merge(i model.Item) bool {
	if current, ok := s.items[i.Key]; ok && current.Version >= i.Version {
		return false
	}
	s.items[i.Key] = i
	s.table = nil
	return true
}

// MergeEvacuation keeps an evacuation that is newer than the one held. It
// reports whether it is.
func (s *State) MergeEvacuation(e model.Evacuation) bool {
	if s.evacuations[e.Zone].Position >= e.Position {
		return false
	}
	s.evacuations[e.Zone] = e
	return true
}

// IsEvacuated reports whether new requests keep away from a zone.
func (s *State) IsEvacuated(z model.Zone) bool { return s.evacuations[z].Active }

// Table returns the routes in force.
func (s *State) Table() *Table {
	if s.table == nil {
		s.table = newTable(s.items)
	}
	return s.table
}

// same reports whether two versions of an item have the same content.
func sameContent(a, b *model.Item) bool {
	return a.Removed == b.Removed && (a.Removed || bytes.Equal(a.Document, b.Document))
}
