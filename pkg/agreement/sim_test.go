package agreement

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// sim runs a control group in virtual time with faults drawn from a seed.
type sim struct {
	rng    *rand.Rand
	now    model.Time
	queue  []action // in order of time
	nodes  []*node
	faults faults
	// failures holds the violations found; a run stops at the first.
	failures []string
	trace    uint64
	// loss and cut describe the network; cut holds directed pairs.
	loss      float64
	cut       map[[2]int]bool
	committed []message.Entry // by index, from 1
	members   []message.GroupMember
	leaders   map[uint64]model.MemberID
	pad       int
	// encoded passes messages through the codec.
	encoded bool
	// latency is the delay of all messages, 0 for random ones.
	latency model.Duration
	// disks holds all disks, lost ones included: what a lost one had synced when
	// it acknowledged still counts.
	disks    map[model.DiskID]*event.StorageLoaded
	accepted int
}

type node struct {
	k       int
	st      *State
	up      bool
	life    int
	disk    *event.StorageLoaded
	frozen  model.Time
	slow    model.Duration // added to each sync
	timer   model.Time
	wroteAt model.Time
	writes  []event.Persist
	checked uint64
	// taken is the last index taken, by this process and with this disk.
	taken, takenOnDisk uint64
}

// action is something to do at a time. Equal times keep their order.
type action struct {
	at model.Time
	do func()
}

func newSim(seed uint64, f faults) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), now: 1, faults: f, cut: map[[2]int]bool{},
		disks: map[model.DiskID]*event.StorageLoaded{}, leaders: map[uint64]model.MemberID{}}
	s.encoded = seed%50 == 0
	n := 3 + 2*s.rng.IntN(2)
	if s.rng.IntN(10) == 0 {
		s.pad = 700 << 10 // snapshots of several chunks
	}
	for k := range n {
		s.nodes = append(s.nodes, &node{k: k})
	}
	for _, n := range s.nodes {
		s.replaceDisk(n)
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf("%v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
}

func (s *sim) after(d model.Duration, do func()) {
	at := s.now.Add(max(0, d))
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, i, action{at, do})
}

// run handles actions until the time or the first failure.
func (s *sim) run(d model.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end && len(s.failures) == 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.now = a.at
		a.do()
	}
	s.now = end
}

func (s *sim) id(k int) model.InstanceID { return model.InstanceID(rune('a' + k)) }

// replaceDisk ends the process and starts it on an empty disk.
func (s *sim) replaceDisk(n *node) {
	s.crash(n)
	n.disk = &event.StorageLoaded{Disk: model.DiskID(fmt.Sprint("d", len(s.disks)+1))}
	s.disks[n.disk.Disk] = n.disk
	n.takenOnDisk = 0
	s.start(n)
}

func (s *sim) start(n *node) {
	*n = node{k: n.k, up: true, life: n.life + 1, disk: n.disk, takenOnDisk: n.takenOnDisk}
	c := Config{Instance: s.id(n.k), Seed: s.rng.Uint64()}
	for k := range s.nodes {
		c.Group = append(c.Group, s.id(k))
	}
	n.st = New(c)
	n.st.faults = s.faults
	s.after(0, func() {
		s.in(n, n.life, func(out *event.Effects) { n.st.Restore(s.now, *n.disk, out) })
		if last := max(n.taken, n.disk.Snapshot.Index); last < n.takenOnDisk {
			s.fail("%v took back entries from %d to %d by a restart", n.st.self, n.takenOnDisk, last)
		}
	})
}

// crash ends the process. Writes on their way are synced up to some point.
func (s *sim) crash(n *node) {
	n.up = false
	n.life++
	for range s.rng.IntN(len(n.writes) + 1) {
		s.write(n)
	}
}

func (s *sim) write(n *node) uint64 {
	p := n.writes[0]
	n.writes = n.writes[1:]
	if err := storage.Apply(n.disk, p); err != nil {
		s.fail("%v: %v", n.st.self, err)
	}
	return p.Seq
}

// in runs do in the process of a node, when it is not frozen.
func (s *sim) in(n *node, life int, do func(out *event.Effects)) {
	switch {
	case !n.up || n.life != life:
	case s.now < n.frozen:
		s.after(n.frozen.Sub(s.now), func() { s.in(n, life, do) })
	default:
		s.step(n, do)
	}
}

func (s *sim) step(n *node, do func(out *event.Effects)) {
	var out event.Effects
	do(&out)
	s.check(n)
	for _, c := range n.st.Take() {
		s.apply(n, c)
	}
	if n.st.applied > n.st.log.snapshot.Index+15 && n.st.applied == n.taken {
		data := make([]byte, 8+s.pad)
		binary.BigEndian.PutUint64(data, n.taken)
		n.st.Compact(n.taken, data, &out)
	}
	for _, e := range out.List() {
		s.carryOut(n, e)
	}
	life := n.life
	if next := n.st.NextWake(); next != 0 && next != n.timer {
		n.timer = next
		s.after(next.Sub(s.now), func() {
			if n.life == life && n.timer == next {
				n.timer = 0
				s.in(n, life, func(out *event.Effects) { n.st.Wake(s.now, out) })
			}
		})
	}
}

func (s *sim) carryOut(n *node, e event.Effect) {
	life := n.life
	if _, ok := e.(event.Log); !ok && n.st.failure != "" {
		s.fail("%v acted without its disk: %T", n.st.self, e)
	}
	switch e := e.(type) {
	case event.Send:
		s.transmit(n.k, int(e.To[0]-'a'), e.Message)
	case event.Persist:
		n.writes = append(n.writes, e)
		d := time.Duration(s.rng.IntN(8)) * time.Millisecond
		if s.rng.IntN(50) == 0 {
			d = 300 * time.Millisecond
		}
		d += n.slow
		n.wroteAt = max(n.wroteAt, s.now.Add(d))
		s.after(n.wroteAt.Sub(s.now), func() {
			if n.up && n.life == life {
				seq := s.write(n)
				s.in(n, life, func(out *event.Effects) { n.st.Persisted(s.now, seq, out) })
			}
		})
	case event.InvariantFailed:
		s.fail("%v: invariant %s: %s", n.st.self, e.Name, e.Detail)
	}
}

func (s *sim) transmit(from, to int, m message.Message) {
	for _, v := range []uint64{uint64(s.now), uint64(from), uint64(to), uint64(m.Kind())} {
		s.trace = (s.trace ^ v) * 1099511628211 // FNV-1a over words
	}
	if s.encoded {
		data, err := codec.EncodeMessage(m)
		decoded, derr := codec.DecodeMessage(data)
		if err != nil || derr != nil || len(data) > codec.MaxMessageBytes/2 {
			s.fail("message of %d bytes: %v, %v", len(data), err, derr)
			return
		}
		m = decoded
	}
	for range 1 + s.rng.IntN(20)/19 { // one in 20 is duplicated
		if s.cut[[2]int{from, to}] || s.rng.Float64() < s.loss {
			continue
		}
		d := time.Duration(1+s.rng.IntN(30)) * time.Millisecond
		if s.rng.IntN(40) == 0 {
			d = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		if s.latency != 0 {
			d = s.latency
		}
		s.after(d, func() {
			n := s.nodes[to]
			s.in(n, n.life, func(out *event.Effects) { n.st.Receive(s.now, s.id(from), m, out) })
		})
	}
}

// apply checks what a node takes. The snapshot of the state after an entry holds
// the index of the entry.
func (s *sim) apply(n *node, c Committed) {
	want := binary.BigEndian.AppendUint64(nil, c.Index)
	if !c.Snapshot {
		want = s.committed[c.Index-1].Data
	}
	if c.Index <= n.taken || !bytes.HasPrefix(c.Data, want) || len(c.Data) > len(want)+s.pad {
		s.fail("%v took %d after %d with %d bytes", n.st.self, c.Index, n.taken, len(c.Data))
	}
	n.taken = c.Index
	n.takenOnDisk = max(n.takenOnDisk, c.Index)
}

// check compares a node with everything seen before.
func (s *sim) check(n *node) {
	st := n.st
	status := st.Status(s.now)
	if st.role == Leader {
		if id, ok := s.leaders[st.term]; ok && id != st.self {
			s.fail("%v and %v led term %d", id, st.self, st.term)
		}
		s.leaders[st.term] = st.self
	}
	for i := max(n.checked, st.log.snapshot.Index) + 1; i <= st.commit; i++ {
		e := st.log.entry(i)
		if i > uint64(len(s.committed)) {
			s.checkBacked(n, i)
			s.committed = append(s.committed, *e)
			if e.Kind == message.EntryMembers {
				s.members = e.Members
			}
		} else if c := &s.committed[i-1]; c.Term != e.Term || !sameEntry(c, e) {
			s.fail("%v committed another entry %d", n.st.self, i)
		}
	}
	n.checked = max(n.checked, st.commit)
	if status.Current && st.commit < uint64(len(s.committed)) {
		s.fail("%v counts as current at %d of %d", n.st.self, st.commit, len(s.committed))
	}
}

// checkBacked requires that a majority of the voters has synced a new commit.
func (s *sim) checkBacked(n *node, index uint64) {
	synced := 0
	for _, id := range n.st.voters {
		d := s.disks[id.Disk]
		if i := index - d.Snapshot.Index; index <= d.Snapshot.Index ||
			i <= uint64(len(d.Entries)) && d.Entries[i-1].Term == n.st.log.entry(index).Term {
			synced++
		}
	}
	if synced < n.st.majority() {
		s.fail("%v committed %d, synced by %d of %v", n.st.self, index, synced, n.st.members)
	}
}

// isolate cuts a node off in both directions.
func (s *sim) isolate(n *node) {
	for k := range s.nodes {
		s.cut[[2]int{n.k, k}], s.cut[[2]int{k, n.k}] = true, true
	}
}

// checkMatching requires that logs that agree at an index agree before it.
func (s *sim) checkMatching() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			agree := false
			for k := min(a.st.log.last(), b.st.log.last()); k > max(a.st.log.snapshot.Index, b.st.log.snapshot.Index); k-- {
				x, y := a.st.log.entry(k), b.st.log.entry(k)
				agree = agree || x.Term == y.Term
				if agree && (x.Term != y.Term || !sameEntry(x, y)) {
					s.fail("logs of %v and %v differ at %d", a.st.self, b.st.self, k)
				}
			}
		}
	}
}

func (s *sim) propose() {
	data := binary.BigEndian.AppendUint64(nil, s.rng.Uint64())
	for _, n := range s.nodes {
		s.in(n, n.life, func(out *event.Effects) {
			if _, code := n.st.Propose(s.now, data, out); code == result.Answered {
				s.accepted++
			}
		})
	}
}

// mayLose reports whether the group is whole, so that it must survive the loss
// of one disk.
func (s *sim) mayLose() bool {
	for k, n := range s.nodes {
		id := model.MemberID{Instance: s.id(k), Disk: n.disk.Disk}
		if n.st.membersIndex > uint64(len(s.committed)) || !slices.Contains(s.members, message.GroupMember{ID: id}) {
			return false
		}
	}
	return len(s.members) == len(s.nodes)
}

// isRemoved reports whether no member counts a node's disk.
func (s *sim) isRemoved(n *node) bool {
	id := model.MemberID{Instance: s.id(n.k), Disk: n.disk.Disk}
	counts := slices.Contains(s.members, message.GroupMember{ID: id})
	for _, o := range s.nodes {
		counts = counts || o != n && o.st.isVoter(id)
	}
	return len(s.committed) > 0 && !counts
}

// disturb does one random thing.
func (s *sim) disturb() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	o := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(12) {
	case 0:
		s.loss = s.rng.Float64() * 0.4
	case 1, 2:
		s.cut[[2]int{n.k, o.k}] = true
	case 3:
		s.isolate(n)
	case 4, 5:
		clear(s.cut)
		s.loss = 0
	case 6:
		s.crash(n)
		if s.rng.IntN(2) == 0 {
			s.start(n)
		}
	case 7, 8:
		if s.mayLose() || s.isRemoved(n) {
			s.replaceDisk(n)
		}
	case 9:
		n.frozen = s.now.Add(time.Duration(s.rng.IntN(2500)) * time.Millisecond)
		o.slow = time.Duration(s.rng.IntN(800)) * time.Millisecond
	case 10:
		if s.mayLose() {
			s.in(n, n.life, func(out *event.Effects) { // the second is to be refused
				n.st.Remove(s.now, model.MemberID{Instance: s.id(o.k), Disk: o.disk.Disk}, out)
				n.st.Remove(s.now, model.MemberID{Instance: s.id(n.k), Disk: n.disk.Disk}, out)
			})
		}
	case 11:
		s.in(n, n.life, func(out *event.Effects) { n.st.StorageFailed(s.now, "sync failed", out) })
	}
	for _, n := range s.nodes {
		if !n.up && s.rng.IntN(2) == 0 {
			s.start(n)
		}
	}
	s.checkMatching()
}

// schedule runs faults for a while, then heals everything and requires that the
// group is whole again and commits.
func (s *sim) schedule() {
	s.run(4 * time.Second)
	for range 20 {
		s.disturb()
		for range s.rng.IntN(4) {
			s.propose()
			s.run(time.Duration(s.rng.IntN(250)) * time.Millisecond)
		}
		s.run(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
	clear(s.cut)
	s.loss = 0
	for _, n := range s.nodes {
		n.frozen, n.slow = 0, 0
		if !n.up {
			s.start(n)
		}
	}
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		if n.st.failure != "" {
			s.crash(n)
			s.start(n)
		}
	}
	s.run(5 * time.Second)
	for _, n := range s.nodes { // a removed member returns with an empty disk
		if s.isRemoved(n) {
			s.replaceDisk(n)
		}
	}
	s.run(10 * time.Second)
	before := len(s.committed)
	s.propose()
	s.run(3 * time.Second)
	s.checkMatching()
	for _, n := range s.nodes {
		if len(s.failures) == 0 && (n.st.commit <= uint64(before) || n.taken != s.nodes[0].taken || !n.st.isVoter(n.st.self)) {
			s.fail("%v did not recover: role %d commit %d of %d, members %v", n.st.self, n.st.role, n.st.commit, len(s.committed), n.st.members)
		}
	}
}
