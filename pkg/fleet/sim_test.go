package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/fleet"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
)

var regions = map[model.Zone]model.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

// diskSyncTime is how long a synced write to the data folder takes.
const diskSyncTime = 2 * time.Millisecond

// sim runs control and entry instances in virtual time.
type sim struct {
	rng       *rand.Rand
	now       model.Time
	scheduled []action
	nodes     map[model.InstanceID]*node
	// order lists the identifiers of all nodes in ascending order.
	order []model.InstanceID
	// blocked holds the pairs of sender and receiver between which messages are
	// lost.
	blocked map[[2]model.InstanceID]bool
	// silent holds the pairs of sender and receiver whose connection is dead without a
	// reset: messages are lost until the sender opens it again.
	silent map[[2]model.InstanceID]bool
	// gone holds the instances that were replaced.
	gone map[model.InstanceID]bool
	// replies holds the results of calls.
	replies  map[event.CallID]event.Effect
	lastCall event.CallID
	// invariantFailures lists the reported InvariantFailed effects.
	invariantFailures []string
	// reconnects counts the connections that were opened again by an effect.
	reconnects int
}

type action struct {
	at  model.Time
	run func()
}

// node is an instance. stored is the content of its data folder. generation
// counts its starts and crashes, so that actions scheduled by an earlier
// process are dropped.
type node struct {
	identity   fleet.Identity
	state      *fleet.State
	up         bool
	generation int
	stored     *event.StorageLoaded
	timer      model.Time
	directory  *directory.View
	effects    []event.Effect
	stopped    bool
	// diskFailed is true after a failed write until the data folder was opened
	// again. diskFails makes all writes to the data folder fail.
	diskFailed, diskFails bool
	// registrations are those in the data folder.
	registrations []model.Registration
	// frozen is true while the process stands still. waiting holds what has arrived
	// since.
	frozen  bool
	waiting []event.Body
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 5)), now: model.Time(1000 * time.Second), nodes: map[model.InstanceID]*node{},
		blocked: map[[2]model.InstanceID]bool{}, silent: map[[2]model.InstanceID]bool{}, gone: map[model.InstanceID]bool{}, replies: map[event.CallID]event.Effect{}}
}

// bootstrapMembers are the first members of the control group.
var bootstrapMembers = []model.InstanceID{"core-a1", "core-b1", "core-c1"}

// newDeployment starts one control and one entry instance in each of six zones.
func newDeployment(seed uint64) *sim {
	s := newSim(seed)
	for _, zone := range []model.Zone{"a1", "a2", "b1", "b2", "c1", "c2"} {
		s.add(model.InstanceID("core-"+string(zone)), zone, true, bootstrapMembers)
		s.add(model.InstanceID("edge-"+string(zone)), zone, false, nil)
	}
	s.run(8 * time.Second)
	return s
}

func (s *sim) add(id model.InstanceID, zone model.Zone, control bool, bootstrapMembers []model.InstanceID) *node {
	n := &node{identity: fleet.Identity{
		ID: id, Control: control, Zone: zone, Regions: regions, BootstrapMembers: bootstrapMembers, MinVoters: 5, Seed: s.rng.Uint64(),
		HeartbeatInterval: 1500 * time.Millisecond, RetryBudget: routed.RetryBudgetLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 60},
		StopGracePeriod: 6 * time.Second,
	}}
	if control {
		n.stored = &event.StorageLoaded{Disk: model.DiskID(fmt.Sprint("disk-", id))}
	}
	s.nodes[id] = n
	s.order = append(s.order, id)
	slices.Sort(s.order)
	s.start(n)
	return n
}

func (s *sim) start(n *node) {
	n.up, n.stopped, n.diskFailed = true, false, false
	n.generation++
	n.timer = 0
	n.identity.Incarnation = model.Incarnation(s.now) + model.Incarnation(n.generation)
	n.state = fleet.New(n.identity, codec.CommandCodec{})
	s.step(n, event.Started{})
	if n.stored != nil {
		s.step(n, *n.stored)
		s.step(n, event.RegistrationsLoaded{Registrations: n.registrations})
	}
	for _, id := range s.order {
		if other := s.nodes[id]; other != n && other.up {
			s.connect(n, other)
			s.connect(other, n)
		}
	}
}

// crash ends the process of an instance. Writes that are not synced are lost.
func (s *sim) crash(id model.InstanceID) {
	n := s.nodes[id]
	n.up = false
	n.generation++
	for _, other := range s.order {
		if o := s.nodes[other]; o.up {
			s.step(o, event.PeerLost{Peer: id})
		}
	}
}

// silentLossTimeout is how long an instance keeps the connection to one that was
// lost without a reset.
const silentLossTimeout = 3 * time.Second

// crashSilently ends the process of an instance. The others notice the loss of
// their connections only after silentLossTimeout.
func (s *sim) crashSilently(id model.InstanceID) {
	n := s.nodes[id]
	n.up = false
	n.generation++
	s.schedule(silentLossTimeout, func() {
		for _, other := range s.order {
			if o := s.nodes[other]; o.up && !n.up {
				s.step(o, event.PeerLost{Peer: id})
			}
		}
	})
}

// freeze makes the process of an instance stand still.
func (s *sim) freeze(id model.InstanceID) { s.nodes[id].frozen = true }

// thaw lets a frozen process go on. What arrived meanwhile keeps its order, but calls
// are handled before everything else if callsFirst is true, and after it if not.
func (s *sim) thaw(id model.InstanceID, callsFirst bool) {
	n := s.nodes[id]
	n.frozen = false
	waiting := n.waiting
	n.waiting = nil
	slices.SortStableFunc(waiting, func(a, b event.Body) int {
		switch callA, callB := isOrder(a), isOrder(b); {
		case callA == callB:
			return 0
		case callA == callsFirst:
			return -1
		}
		return 1
	})
	for _, b := range waiting {
		s.step(n, b)
	}
}

func isOrder(b event.Body) bool {
	switch b.(type) {
	case event.ItemsProposed, event.EvacuationProposed:
		return true
	}
	return false
}

// replace ends a control instance for good and starts a new one, which has an
// empty data folder, in the same zone.
func (s *sim) replace(id, successor model.InstanceID) {
	s.crash(id)
	s.add(successor, s.nodes[id].identity.Zone, true, nil)
	s.gone[id] = true
}

// losePower ends the processes of all instances and starts those again that were
// not replaced. The instances in wiped start with empty data folders.
func (s *sim) losePower(wiped ...model.InstanceID) {
	for _, id := range s.order {
		if s.nodes[id].up {
			s.crash(id)
		}
	}
	for _, id := range wiped {
		s.replaceDisk(id)
	}
	s.run(time.Second)
	for _, id := range s.order {
		if !s.gone[id] {
			s.start(s.nodes[id])
		}
	}
}

// replaceDisk replaces the data folder of an instance that is down by an empty
// one. The instance then joins the control group instead of founding it.
func (s *sim) replaceDisk(id model.InstanceID) {
	n := s.nodes[id]
	n.stored = &event.StorageLoaded{Disk: model.DiskID(fmt.Sprint("disk-", id, "-", n.generation))}
	n.identity.BootstrapMembers = nil
	n.registrations = nil
}

// connect reports to node n that it is connected to the other node. Two entry
// instances are not connected to each other.
func (s *sim) connect(n, other *node) {
	if !n.identity.Control && !other.identity.Control || s.blocked[[2]model.InstanceID{n.identity.ID, other.identity.ID}] {
		return
	}
	s.step(n, event.PeerConnected{Peer: other.identity.ID, Incarnation: other.identity.Incarnation, Zone: other.identity.Zone,
		Address: "front-" + string(other.identity.ID), PeerAddress: string(other.identity.ID)})
}

// reconnectTime is how long opening a connection takes.
const reconnectTime = 200 * time.Millisecond

// reconnect closes the connection of an instance to a peer and opens another one.
func (s *sim) reconnect(n *node, peer model.InstanceID, generation int) {
	if n.generation != generation {
		return
	}
	s.reconnects++
	s.step(n, event.PeerLost{Peer: peer})
	s.schedule(reconnectTime, func() {
		delete(s.silent, [2]model.InstanceID{n.identity.ID, peer})
		if n.generation == generation && s.nodes[peer].up {
			s.connect(n, s.nodes[peer])
		}
	})
}

// partition blocks or unblocks all messages between two groups of instances.
func (s *sim) partition(groupA, groupB []model.InstanceID, blocked bool) {
	for _, x := range groupA {
		for _, y := range groupB {
			if x == y {
				continue
			}
			s.blocked[[2]model.InstanceID{x, y}], s.blocked[[2]model.InstanceID{y, x}] = blocked, blocked
			for _, pair := range [][2]model.InstanceID{{x, y}, {y, x}} {
				switch n := s.nodes[pair[0]]; {
				case !n.up || !s.nodes[pair[1]].up:
				case blocked:
					s.step(n, event.PeerLost{Peer: pair[1]})
				default:
					s.connect(n, s.nodes[pair[1]])
				}
			}
		}
	}
}

func (s *sim) schedule(d time.Duration, run func()) {
	at := s.now.Add(d)
	i := sort.Search(len(s.scheduled), func(i int) bool { return s.scheduled[i].at > at })
	s.scheduled = slices.Insert(s.scheduled, i, action{at, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.scheduled) > 0 && s.scheduled[0].at <= end {
		a := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		s.now = a.at
		a.run()
	}
	s.now = end
}

func (s *sim) step(n *node, b event.Body) {
	if !n.up || n.stopped {
		return
	}
	if n.frozen {
		n.waiting = append(n.waiting, b)
		return
	}
	effects := slices.Clone(n.state.Step(event.Event{At: s.now, Body: b}))
	generation := n.generation
	for _, e := range effects {
		switch e := e.(type) {
		case event.Send:
			s.transmit(n, e)
		case event.Persist:
			s.schedule(diskSyncTime, func() {
				switch {
				case n.generation != generation:
				case n.diskFails || n.diskFailed:
					n.diskFailed = true
					s.step(n, event.Persisted{Seq: e.Seq, Failure: "no space left on device"})
				default:
					n.persist(&e)
					s.step(n, event.Persisted{Seq: e.Seq})
				}
			})
		case event.SaveRegistrations:
			s.schedule(diskSyncTime, func() {
				if n.generation == generation && !n.diskFails {
					n.registrations = e.Registrations
				}
			})
		case event.PersistRegistrations:
			s.schedule(diskSyncTime, func() {
				if n.generation != generation {
					return
				}
				result := event.RegistrationsPersisted{Seq: e.Seq}
				if n.diskFails {
					result.Failure = "no space left on device"
				} else {
					n.registrations = append(slices.Clone(n.registrations), e.Registrations...)
				}
				s.step(n, result)
			})
		case event.Reconnect:
			s.schedule(time.Millisecond, func() { s.reconnect(n, e.Peer, generation) })
		case event.ReopenStorage:
			s.schedule(diskSyncTime, func() {
				switch {
				case n.generation != generation:
				case n.diskFails:
					s.step(n, event.StorageLoaded{Failure: "no space left on device"})
				default:
					n.diskFailed = false
					s.step(n, *n.stored)
				}
			})
		case event.SetTimer:
			n.timer = e.At
			s.schedule(max(0, e.At.Sub(s.now)), func() {
				if n.generation == generation && n.timer == e.At {
					n.timer = 0
					s.step(n, event.TimerFired{})
				}
			})
		case event.PublishDirectory:
			n.directory = e.View
		case event.CallReply:
			s.replies[e.Call] = e
		case event.ItemsReply:
			s.replies[e.Call] = e
		case event.InvariantFailed:
			s.invariantFailures = append(s.invariantFailures, fmt.Sprintf("%s: %s %s", n.identity.ID, e.Name, e.Detail))
		case event.Stopped:
			n.stopped = true
		case event.Forward, event.Reject, event.Deliver, event.CancelSend:
			n.effects = append(n.effects, e)
		}
	}
}

// transmit delivers a message after the delay between the zones, unless the pair
// is blocked at the time of sending or of delivery.
func (s *sim) transmit(from *node, e event.Send) {
	to := s.nodes[e.To]
	if to == nil || s.blocked[[2]model.InstanceID{from.identity.ID, e.To}] {
		return
	}
	if s.silent[[2]model.InstanceID{from.identity.ID, e.To}] {
		return
	}
	delay := 1400 * time.Microsecond
	if regions[from.identity.Zone] != regions[to.identity.Zone] {
		delay = 55 * time.Millisecond
	}
	generation, incarnation := to.generation, from.identity.Incarnation
	data, err := codec.EncodeMessage(e.Message)
	Expect(err).NotTo(HaveOccurred())
	s.schedule(delay, func() {
		if to.generation != generation || s.blocked[[2]model.InstanceID{from.identity.ID, e.To}] {
			return
		}
		m, err := codec.DecodeMessage(data)
		Expect(err).NotTo(HaveOccurred())
		s.step(to, event.PeerReceived{From: from.identity.ID, Incarnation: incarnation, Message: m})
	})
}

// persist applies a Persist effect to the content of the data folder.
func (n *node) persist(p *event.Persist) {
	stored := n.stored
	stored.Hard = p.Hard
	if p.Snapshot.Index != 0 {
		stored.Snapshot = p.Snapshot
		if !p.KeepTail {
			stored.Entries = nil
		}
		stored.Entries = slices.DeleteFunc(slices.Clone(stored.Entries), func(e message.Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		stored.Entries = slices.DeleteFunc(slices.Clone(stored.Entries), func(e message.Entry) bool { return e.Index >= first })
		stored.Entries = append(stored.Entries, p.Entries...)
	}
}

// maxConfirmations is how often the caller of an order confirms it at one instance.
const maxConfirmations = 2

// call submits a call to an instance and waits for its result. It confirms an order if the
// instance asks for that. It returns result.ChangeUnknown if no result arrives within the
// wait time.
func (s *sim) call(id model.InstanceID, wait time.Duration, body func(event.CallID) event.Body) result.Code {
	end := s.now.Add(wait)
	for range maxConfirmations + 1 {
		call := s.submit(id, body)
		for s.now < end && s.replies[call] == nil {
			s.run(time.Millisecond)
		}
		r, ok := s.replies[call].(event.CallReply)
		if !ok {
			return result.ChangeUnknown
		}
		if r.Code != result.ConfirmationNeeded {
			return r.Code
		}
		body = confirm(body, r.ConfirmedAt)
	}
	return result.ConfirmationNeeded
}

// confirm returns the body of an order that its caller sends again.
func confirm(body func(event.CallID) event.Body, confirmedAt uint64) func(event.CallID) event.Body {
	return func(c event.CallID) event.Body {
		switch b := body(c).(type) {
		case event.EvacuationProposed:
			b.Receipt.ConfirmedAt = confirmedAt
			return b
		case event.ItemsProposed:
			b.Receipt.ConfirmedAt = confirmedAt
			return b
		default:
			return b
		}
	}
}

// submit submits a call and returns its identifier without waiting.
func (s *sim) submit(id model.InstanceID, body func(event.CallID) event.Body) event.CallID {
	s.lastCall++
	s.step(s.nodes[id], body(s.lastCall))
	return s.lastCall
}

func proposeItems(list ...model.Item) func(event.CallID) event.Body {
	return func(c event.CallID) event.Body { return event.ItemsProposed{Call: c, Items: list} }
}

// itemVersions returns the versions of all items by name, as returned by a
// control instance. It returns nil if the instance rejects the call.
func (s *sim) itemVersions(id model.InstanceID) map[string]model.ItemVersion {
	call := s.submit(id, func(c event.CallID) event.Body { return event.ItemsRequested{Call: c} })
	for end := s.now.Add(time.Second); s.now < end && s.replies[call] == nil; {
		s.run(time.Millisecond)
	}
	reply, ok := s.replies[call].(event.ItemsReply)
	if !ok {
		return nil
	}
	versions := map[string]model.ItemVersion{}
	for _, i := range reply.Items {
		versions[i.Key.Name] = i.Version
	}
	return versions
}

// routeVersion returns the version of the route for a path at an entry
// instance, 0 if the instance has no such route.
func (s *sim) routeVersion(id model.InstanceID, path string) model.ItemVersion {
	v := s.nodes[id].directory
	if v == nil || v.Table == nil {
		return 0
	}
	r, _ := v.Table.Route("h", path)
	return r.Version
}

// forwardedTo sends a request through an entry instance and returns the upstream
// to which it is forwarded, "" if it is rejected.
func (s *sim) forwardedTo(id model.InstanceID, path string) model.UpstreamID {
	n := s.nodes[id]
	n.effects = nil
	s.lastCall++
	request := model.RequestID(s.lastCall)
	s.step(n, event.RoutedArrived{ID: request, Host: "h", Path: path, Replayable: true})
	for _, e := range n.effects {
		if f, ok := e.(event.Forward); ok {
			s.step(n, event.SendEnded{Request: request, Attempt: 1, Upstream: f.Upstream, Outcome: event.SendAnswered, ResponseTime: time.Millisecond})
			return f.Upstream
		}
	}
	return ""
}
