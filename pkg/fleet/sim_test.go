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

// syncTime is how long a write to the data folder takes.
const syncTime = 2 * time.Millisecond

// sim runs control and entry instances in virtual time.
type sim struct {
	rng   *rand.Rand
	now   model.Time
	queue []action
	nodes map[model.InstanceID]*node
	// order lists the nodes in the order of their identifiers.
	order []model.InstanceID
	// cut holds directed pairs of instances between which messages are lost.
	cut map[[2]model.InstanceID]bool
	// replies holds the results of calls by number.
	replies map[event.CallID]event.Effect
	calls   event.CallID
	// failures lists failed invariants.
	failures []string
}

type action struct {
	at model.Time
	do func()
}

// node is an instance; disk is what its data folder holds.
type node struct {
	identity  fleet.Identity
	state     *fleet.State
	up        bool
	life      int
	disk      *event.StorageLoaded
	timer     model.Time
	directory *directory.View
	effects   []event.Effect
	stopped   bool
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 5)), now: model.Time(1000 * time.Second), nodes: map[model.InstanceID]*node{},
		cut: map[[2]model.InstanceID]bool{}, replies: map[event.CallID]event.Effect{}}
}

// founders are the control instances of a new deployment that all others know.
var founders = []model.InstanceID{"core-a1", "core-b1", "core-c1"}

// deploy starts six control instances and an entry instance in each zone.
func deploy(seed uint64) *sim {
	s := newSim(seed)
	for _, zone := range []model.Zone{"a1", "a2", "b1", "b2", "c1", "c2"} {
		s.add(model.InstanceID("core-"+string(zone)), zone, true, founders)
		s.add(model.InstanceID("edge-"+string(zone)), zone, false, nil)
	}
	s.run(8 * time.Second)
	return s
}

func (s *sim) add(id model.InstanceID, zone model.Zone, control bool, founders []model.InstanceID) *node {
	n := &node{identity: fleet.Identity{
		ID: id, Control: control, Zone: zone, Regions: regions, Founders: founders, Seed: s.rng.Uint64(),
		HeartbeatInterval: 1500 * time.Millisecond, Budget: routed.BudgetLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 60},
		StopGrace: 6 * time.Second,
	}}
	if control {
		n.disk = &event.StorageLoaded{Disk: model.DiskID(fmt.Sprint("disk-", id))}
	}
	s.nodes[id] = n
	s.order = append(s.order, id)
	slices.Sort(s.order)
	s.start(n)
	return n
}

func (s *sim) start(n *node) {
	n.up, n.stopped = true, false
	n.life++
	n.timer = 0
	n.identity.Incarnation = model.Incarnation(s.now) + model.Incarnation(n.life)
	n.state = fleet.New(n.identity, codec.CommandCodec{})
	s.step(n, event.Started{})
	if n.disk != nil {
		s.step(n, *n.disk)
	}
	for _, id := range s.order {
		if other := s.nodes[id]; other != n && other.up {
			s.link(n, other)
			s.link(other, n)
		}
	}
}

// kill ends a process; what it had not synced is lost.
func (s *sim) kill(id model.InstanceID) {
	n := s.nodes[id]
	n.up = false
	n.life++
	for _, other := range s.order {
		if o := s.nodes[other]; o.up {
			s.step(o, event.PeerLost{Peer: id})
		}
	}
}

// wipe replaces the disk of an instance that is down.
func (s *sim) wipe(id model.InstanceID) {
	n := s.nodes[id]
	n.disk = &event.StorageLoaded{Disk: model.DiskID(fmt.Sprint("disk-", id, "-", n.life))}
	n.identity.Founders = nil
}

// link tells a node that it reaches another. Entry instances are linked to
// control instances only.
func (s *sim) link(n, other *node) {
	if !n.identity.Control && !other.identity.Control || s.cut[[2]model.InstanceID{n.identity.ID, other.identity.ID}] {
		return
	}
	s.step(n, event.PeerConnected{Peer: other.identity.ID, Incarnation: other.identity.Incarnation, Zone: other.identity.Zone,
		Address: "front-" + string(other.identity.ID), PeerAddress: string(other.identity.ID)})
}

// partition cuts or joins two groups of instances.
func (s *sim) partition(a, b []model.InstanceID, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				continue
			}
			s.cut[[2]model.InstanceID{x, y}], s.cut[[2]model.InstanceID{y, x}] = cut, cut
			for _, pair := range [][2]model.InstanceID{{x, y}, {y, x}} {
				switch n := s.nodes[pair[0]]; {
				case !n.up || !s.nodes[pair[1]].up:
				case cut:
					s.step(n, event.PeerLost{Peer: pair[1]})
				default:
					s.link(n, s.nodes[pair[1]])
				}
			}
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, i, action{at, do})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.now = a.at
		a.do()
	}
	s.now = end
}

func (s *sim) step(n *node, b event.Body) {
	if !n.up || n.stopped {
		return
	}
	effects := slices.Clone(n.state.Step(event.Event{At: s.now, Body: b}))
	life := n.life
	for _, e := range effects {
		switch e := e.(type) {
		case event.Send:
			s.send(n, e)
		case event.Persist:
			s.after(syncTime, func() {
				if n.life == life {
					n.write(&e)
					s.step(n, event.Persisted{Seq: e.Seq})
				}
			})
		case event.SetTimer:
			n.timer = e.At
			s.after(max(0, e.At.Sub(s.now)), func() {
				if n.life == life && n.timer == e.At {
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
			s.failures = append(s.failures, fmt.Sprintf("%s: %s %s", n.identity.ID, e.Name, e.Detail))
		case event.Stopped:
			n.stopped = true
		case event.Forward, event.Reject, event.Deliver, event.CancelSend:
			n.effects = append(n.effects, e)
		}
	}
}

// send delivers a message after the delay between zones, unless the pair is cut
// then.
func (s *sim) send(from *node, e event.Send) {
	to := s.nodes[e.To]
	if to == nil || s.cut[[2]model.InstanceID{from.identity.ID, e.To}] {
		return
	}
	delay := 1400 * time.Microsecond
	if regions[from.identity.Zone] != regions[to.identity.Zone] {
		delay = 55 * time.Millisecond
	}
	life, incarnation := to.life, from.identity.Incarnation
	data, err := codec.EncodeMessage(e.Message)
	Expect(err).NotTo(HaveOccurred())
	s.after(delay, func() {
		if to.life != life || s.cut[[2]model.InstanceID{from.identity.ID, e.To}] {
			return
		}
		m, err := codec.DecodeMessage(data)
		Expect(err).NotTo(HaveOccurred())
		s.step(to, event.PeerReceived{From: from.identity.ID, Incarnation: incarnation, Message: m})
	})
}

// write applies a write to the data folder.
func (n *node) write(p *event.Persist) {
	d := n.disk
	d.Hard = p.Hard
	if p.Snapshot.Index != 0 {
		d.Snapshot = p.Snapshot
		if !p.KeepTail {
			d.Entries = nil
		}
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e message.Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if len(p.Entries) > 0 {
		first := p.Entries[0].Index
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e message.Entry) bool { return e.Index >= first })
		d.Entries = append(d.Entries, p.Entries...)
	}
}

// call submits a call to an instance and waits for its result. It returns the
// code, result.ChangeUnknown if there is none in time.
func (s *sim) call(id model.InstanceID, wait time.Duration, body func(event.CallID) event.Body) result.Code {
	call := s.submit(id, body)
	for end := s.now.Add(wait); s.now < end && s.replies[call] == nil; {
		s.run(time.Millisecond)
	}
	if r, ok := s.replies[call].(event.CallReply); ok {
		return r.Code
	}
	return result.ChangeUnknown
}

// submit submits a call without waiting.
func (s *sim) submit(id model.InstanceID, body func(event.CallID) event.Body) event.CallID {
	s.calls++
	s.step(s.nodes[id], body(s.calls))
	return s.calls
}

func items(list ...model.Item) func(event.CallID) event.Body {
	return func(c event.CallID) event.Body { return event.ItemsProposed{Call: c, Items: list} }
}

// read returns the items at a control instance by name.
func (s *sim) read(id model.InstanceID) map[string]model.ItemVersion {
	call := s.submit(id, func(c event.CallID) event.Body { return event.ItemsRequested{Call: c} })
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

// inForce returns the version of a route at an entry instance, 0 if it has none.
func (s *sim) inForce(id model.InstanceID, path string) model.ItemVersion {
	v := s.nodes[id].directory
	if v == nil || v.Table == nil {
		return 0
	}
	r, _ := v.Table.Route("h", path)
	return r.Version
}

// forwards sends a request through an entry instance and returns the upstream
// that it goes to, "" if it is refused.
func (s *sim) forwards(id model.InstanceID, path string) model.UpstreamID {
	n := s.nodes[id]
	n.effects = nil
	s.calls++
	request := model.RequestID(s.calls)
	s.step(n, event.RoutedArrived{ID: request, Host: "h", Path: path, Replayable: true})
	for _, e := range n.effects {
		if f, ok := e.(event.Forward); ok {
			s.step(n, event.SendEnded{Request: request, Attempt: 1, Upstream: f.Upstream, Outcome: event.SendAnswered, ResponseTime: time.Millisecond})
			return f.Upstream
		}
	}
	return ""
}
