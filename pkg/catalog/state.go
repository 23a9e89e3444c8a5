package catalog

import (
	"bytes"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Command is the content of an entry of the replicated log: a change of items,
// or the start or end of an evacuation.
type Command struct {
	// Origin is the instance that received the call for the command. Incarnation
	// identifies the process of that instance, and Call is the number of the call
	// in that process.
	Origin      model.InstanceID
	Incarnation model.Incarnation
	Call        uint64
	// Conditional is true if the command takes effect only if it was not overtaken after
	// Basis, the log position that was applied when the caller surely still waited, or when
	// the call arrived if NeedsConfirmation was false for it. A change of
	// items is overtaken if the same change was rejected since, an evacuation if another
	// start or end for the zone was applied since, also one that repeated the state. The
	// caller of a command that is
	// proposed late, or arrives late at the leader, may have left and got that answer
	// elsewhere. Instances of earlier versions ignore both fields.
	Conditional bool   `cbor:",omitempty"`
	Basis       uint64 `cbor:",omitempty"`
	Items       []model.Item
	// Evacuation is the start or end of the evacuation of a zone, nil if the
	// command changes items.
	Evacuation *model.Evacuation
}

// Snapshot is a copy of the state after the command at Position.
type Snapshot struct {
	Position    uint64
	Items       []model.Item
	Evacuations []model.Evacuation
	// Rejections and Orders are empty in snapshots of earlier versions.
	Rejections Rejections  `cbor:",omitempty"`
	Orders     []ZoneOrder `cbor:",omitempty"`
}

// ZoneOrder is the log position of the latest command that started or ended the
// evacuation of a zone, or repeated its state.
type ZoneOrder struct {
	Zone     model.Zone
	Position uint64
}

// Result is the outcome of a command.
type Result struct {
	Code   result.Code
	Detail string
	// ChangedItems and ChangedEvacuations are the records that the command
	// changed. They are empty if the command was rejected or repeats the current
	// state.
	ChangedItems       []model.Item
	ChangedEvacuations []model.Evacuation
}

// State holds the highest version of each item and the latest evacuation
// command of each zone.
type State struct {
	position    uint64
	rejections  Rejections
	items       map[model.ItemKey]model.Item
	evacuations map[model.Zone]model.Evacuation
	// orders holds the positions of the latest evacuation commands, see ZoneOrder.
	orders map[model.Zone]uint64
	table  *Table
}

// New returns an empty state.
func New() *State {
	return &State{items: map[model.ItemKey]model.Item{}, evacuations: map[model.Zone]model.Evacuation{}, orders: map[model.Zone]uint64{}}
}

// Restore returns the state of a snapshot.
func Restore(s Snapshot) *State {
	c := New()
	c.position, c.rejections = s.Position, s.Rejections.clone()
	for _, i := range s.Items {
		c.items[i.Key] = i
	}
	for _, e := range s.Evacuations {
		c.evacuations[e.Zone] = e
		c.orders[e.Zone] = e.Position
	}
	for _, o := range s.Orders {
		c.orders[o.Zone] = o.Position
	}
	return c
}

// Snapshot returns a copy of the state. Items and evacuations are sorted by key
// and zone.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Position: s.position, Items: s.Items(), Rejections: s.rejections.clone()}
	for _, e := range s.evacuations {
		snap.Evacuations = append(snap.Evacuations, e)
	}
	for zone, position := range s.orders {
		snap.Orders = append(snap.Orders, ZoneOrder{Zone: zone, Position: position})
	}
	slices.SortFunc(snap.Evacuations, func(a, b model.Evacuation) int { return compareFromLess(a.Zone < b.Zone) })
	slices.SortFunc(snap.Orders, func(a, b ZoneOrder) int { return compareFromLess(a.Zone < b.Zone) })
	return snap
}

// Position returns the log position of the last applied command.
func (s *State) Position() uint64 { return s.position }

// HasItems reports whether the state contains any item.
func (s *State) HasItems() bool { return len(s.items) > 0 }

// Items returns the items, including removed ones, in the order of their keys.
func (s *State) Items() []model.Item {
	list := make([]model.Item, 0, len(s.items))
	for _, i := range s.items {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b model.Item) int { return compareFromLess(a.Key.Less(b.Key)) })
	return list
}

// compareFromLess converts the result of a less function to that of a
// comparison function: -1 for true, 1 for false. It is for distinct values.
func compareFromLess(less bool) int {
	if less {
		return -1
	}
	return 1
}

// Apply applies the command at the given log position. All members of the
// control group get the same result, since they apply the same commands in the
// same order.
func (s *State) Apply(position uint64, c *Command) Result {
	s.position = position
	if c.Evacuation != nil {
		return s.applyEvacuation(position, c)
	}
	if r := s.Check(c.Items); r.Code != result.Success {
		s.rejections.add(position, c.Items)
		return r
	}
	if c.Conditional && slices.ContainsFunc(c.Items, s.isNewer) && s.rejections.since(c.Basis, c.Items) {
		return Result{Code: result.ChangeOvertaken}
	}
	var r Result
	for _, i := range c.Items {
		if s.Merge(i) {
			r.ChangedItems = append(r.ChangedItems, i)
		}
	}
	return r
}

// applyEvacuation starts or ends the evacuation of a zone. A command that
// repeats the current state changes nothing.
func (s *State) applyEvacuation(position uint64, c *Command) Result {
	e := *c.Evacuation
	repeats := s.evacuations[e.Zone].Active == e.Active
	if c.Conditional && s.orders[e.Zone] > c.Basis && !repeats {
		return Result{Code: result.ChangeOvertaken}
	}
	s.orders[e.Zone] = position
	if repeats {
		return Result{}
	}
	e.Position = position
	s.MergeEvacuation(e)
	return Result{ChangedEvacuations: []model.Evacuation{e}}
}

// NeedsConfirmation reports whether a command could undo what was decided since its caller
// left, if the network has delivered the call late: it would change a zone for which another
// start or end was applied before, or apply a change that may have been rejected. A command
// for which it is false has no effect if that is different when it is applied.
func (s *State) NeedsConfirmation(c *Command) bool {
	if e := c.Evacuation; e != nil {
		return s.orders[e.Zone] > 0 && s.evacuations[e.Zone].Active != e.Active
	}
	return slices.ContainsFunc(c.Items, s.isNewer) && s.rejections.since(0, c.Items)
}

// isNewer reports whether the version of an item is above the current one.
func (s *State) isNewer(i model.Item) bool {
	current, ok := s.items[i.Key]
	return !ok || current.Version < i.Version
}

// Merge stores an item if its version is above the current one, and reports
// whether it is.
func (s *State) Merge(i model.Item) bool {
	if !s.isNewer(i) {
		return false
	}
	s.items[i.Key] = i
	s.table = nil
	return true
}

// MergeEvacuation stores the evacuation of a zone if its log position is above
// the current one, and reports whether it is.
func (s *State) MergeEvacuation(e model.Evacuation) bool {
	if s.evacuations[e.Zone].Position >= e.Position {
		return false
	}
	s.evacuations[e.Zone] = e
	return true
}

// IsEvacuated reports whether a zone is evacuated, so that its upstreams
// receive no new requests.
func (s *State) IsEvacuated(z model.Zone) bool { return s.evacuations[z].Active }

// Table returns the routes, services and client limits in force.
func (s *State) Table() *Table {
	if s.table == nil {
		s.table = newTable(s.items)
	}
	return s.table
}

// sameContent reports whether two items with the same version have the same
// content.
func sameContent(a, b *model.Item) bool {
	return a.Removed == b.Removed && (a.Removed || bytes.Equal(a.Document, b.Document))
}
