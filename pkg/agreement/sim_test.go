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

// sim simulates a control group in virtual time. Its faults are random numbers
// drawn from a seed.
type sim struct {
	rng           *rand.Rand
	now           model.Time
	queue         []action // in order of time
	nodes         []*node
	disabledRules disabledRules
	// open is true if the group has OpenMembership and removes members that stop
	// answering.
	open bool
	// failures describes the violations found. A run stops at the first one.
	failures []string
	trace    uint64
	// loss is the share of lost messages. blocked holds the directed pairs of
	// nodes between which all messages are lost.
	loss            float64
	blocked         map[[2]int]bool
	committed       []message.Entry // the first has index 1
	members         []message.GroupMember
	leaderOfTerm    map[uint64]model.MemberID
	snapshotPadding int
	// encodeMessages is true if every message is encoded and decoded again before
	// it is delivered.
	encodeMessages bool
	// latency is the one-way delay of every message. If it is 0, each message has a
	// random delay.
	latency model.Duration
	// disks holds all disks, including lost ones. An entry that was synced on a
	// disk still counts as synced after the disk is lost.
	disks    map[model.DiskID]*event.StorageLoaded
	accepted int
	// answeredReads counts the reads that were answered.
	answeredReads int
	// olderLeaders removes from messages that the leader confirms reads, as if it were
	// of an earlier version.
	olderLeaders bool
}

// node is one instance: its process, its disk and its pending writes.
type node struct {
	index         int
	state         *State
	running       bool
	processNumber int // increases when the process starts or ends
	disk          *event.StorageLoaded
	frozenUntil   model.Time
	syncDelay     model.Duration // added to each sync
	wakeAt        model.Time
	lastSyncAt    model.Time
	writes        []event.Persist
	checkedIndex  uint64
	// takenIndex is the index of the last entry that TakeCommitted returned in this
	// process. diskTakenIndex is the highest takenIndex of all processes that ran
	// on this disk.
	takenIndex, diskTakenIndex uint64
	// reads holds the open reads of this process, each with the number of entries
	// that were committed when it began.
	reads map[ReadID]int
}

// action is a function that runs at a point in time. Actions of the same time
// run in the order in which they were added.
type action struct {
	at model.Time
	do func()
}

// newSim starts a group of 3 or 5 instances, each with an empty disk.
func newSim(seed uint64, rules disabledRules) *sim { return newGroup(seed, rules, false) }

// newGroup starts a group like newSim, with OpenMembership if open is true.
func newGroup(seed uint64, rules disabledRules, open bool) *sim {
	s := &sim{open: open, rng: rand.New(rand.NewPCG(seed, 7)), now: 1, disabledRules: rules, blocked: map[[2]int]bool{},
		disks: map[model.DiskID]*event.StorageLoaded{}, leaderOfTerm: map[uint64]model.MemberID{}}
	s.encodeMessages = seed%50 == 0
	n := 3 + 2*s.rng.IntN(2)
	if s.rng.IntN(10) == 0 {
		s.snapshotPadding = 700 << 10 // snapshots of several chunks
	}
	for k := range n {
		s.nodes = append(s.nodes, &node{index: k})
	}
	for _, n := range s.nodes {
		s.replaceDisk(n)
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf("%v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
}

func (s *sim) schedule(d model.Duration, do func()) {
	at := s.now.Add(max(0, d))
	i := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, i, action{at, do})
}

// run advances virtual time by d and executes the actions that are due, up to the
// first failure.
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

func (s *sim) instanceID(k int) model.InstanceID { return model.InstanceID(rune('a' + k)) }

// replaceDisk ends the process of a node and starts a new process on an empty
// disk.
func (s *sim) replaceDisk(n *node) {
	s.crash(n)
	n.disk = &event.StorageLoaded{Disk: model.DiskID(fmt.Sprint("d", len(s.disks)+1))}
	s.disks[n.disk.Disk] = n.disk
	n.diskTakenIndex = 0
	s.start(n)
}

// start starts a new process on the disk of a node.
func (s *sim) start(n *node) {
	*n = node{index: n.index, running: true, processNumber: n.processNumber + 1, disk: n.disk, diskTakenIndex: n.diskTakenIndex}
	c := Config{Instance: s.instanceID(n.index), Seed: s.rng.Uint64()}
	for k := range s.nodes {
		c.Group = append(c.Group, s.instanceID(k))
	}
	if s.open {
		c.OpenMembership, c.MinVoters = true, 3
	}
	n.state = New(c)
	n.state.disabledRules = s.disabledRules
	s.schedule(0, func() {
		s.runOn(n, n.processNumber, func(out *event.Effects) { n.state.Restore(s.now, *n.disk, out) })
		if last := max(n.takenIndex, n.disk.Snapshot.Index); last < n.diskTakenIndex {
			s.fail("%v had taken entry %d, but after a restart only entry %d", n.state.self, n.diskTakenIndex, last)
		}
	})
}

// crash ends the process of a node. A random number of its pending writes, the
// oldest first, is still synced to its disk.
func (s *sim) crash(n *node) {
	n.running = false
	n.processNumber++
	for range s.rng.IntN(len(n.writes) + 1) {
		s.syncNextWrite(n)
	}
}

// reopen loads the disk of a node again after a storage failure, or reports
// another failure. Like a crash, it leaves a random part of the pending writes on
// the disk. Timers and syncs from before are dropped with the process number.
func (s *sim) reopen(n *node, processNumber int) {
	if !n.running || n.processNumber != processNumber {
		return
	}
	if s.rng.IntN(3) == 0 {
		s.runOn(n, processNumber, func(out *event.Effects) {
			n.state.Restore(s.now, event.StorageLoaded{Failure: "disk full"}, out)
		})
		return
	}
	for range s.rng.IntN(len(n.writes) + 1) {
		s.syncNextWrite(n)
	}
	n.writes, n.wakeAt, n.lastSyncAt = nil, 0, 0
	n.processNumber++
	s.runOn(n, n.processNumber, func(out *event.Effects) { n.state.Restore(s.now, *n.disk, out) })
}

// syncNextWrite applies the oldest pending write to the disk and returns its
// sequence number.
func (s *sim) syncNextWrite(n *node) uint64 {
	p := n.writes[0]
	n.writes = n.writes[1:]
	if err := storage.Apply(n.disk, p); err != nil {
		s.fail("%v: %v", n.state.self, err)
	}
	return p.Seq
}

// runOn runs do as a reducer step in the given process of a node, once the
// process is no longer frozen. It does nothing if the process has ended.
func (s *sim) runOn(n *node, processNumber int, do func(out *event.Effects)) {
	switch {
	case !n.running || n.processNumber != processNumber:
	case s.now < n.frozenUntil:
		s.schedule(n.frozenUntil.Sub(s.now), func() { s.runOn(n, processNumber, do) })
	default:
		s.step(n, do)
	}
}

// step runs one reducer step of a node, checks the node's state and executes the
// effects of the step.
func (s *sim) step(n *node, do func(out *event.Effects)) {
	var out event.Effects
	do(&out)
	s.checkNode(n)
	for _, c := range n.state.TakeCommitted() {
		s.checkTaken(n, c)
	}
	for _, id := range n.state.TakeReads() {
		if began, ok := n.reads[id]; ok && n.state.appliedIndex < uint64(began) {
			s.fail("%v answered a read with entry %d, %d were committed before", n.state.self, n.state.appliedIndex, began)
		}
		s.answeredReads++
		delete(n.reads, id)
	}
	if n.state.appliedIndex > n.state.log.snapshot.Index+15 && n.state.appliedIndex == n.takenIndex {
		data := make([]byte, 8+s.snapshotPadding)
		binary.BigEndian.PutUint64(data, n.takenIndex)
		n.state.Compact(n.takenIndex, data, &out)
	}
	for _, e := range out.List() {
		s.execute(n, e)
	}
	processNumber := n.processNumber
	if next := n.state.NextWake(); next != 0 && next != n.wakeAt {
		n.wakeAt = next
		s.schedule(next.Sub(s.now), func() {
			if n.processNumber == processNumber && n.wakeAt == next {
				n.wakeAt = 0
				s.runOn(n, processNumber, func(out *event.Effects) { n.state.Wake(s.now, out) })
			}
		})
	}
}

// execute executes an effect of a node.
func (s *sim) execute(n *node, e event.Effect) {
	processNumber := n.processNumber
	_, isLog := e.(event.Log)
	_, isReopen := e.(event.ReopenStorage)
	if !isLog && !isReopen && n.state.failure != "" {
		s.fail("%v produced an effect after its storage failed: %T", n.state.self, e)
	}
	switch e := e.(type) {
	case event.Send:
		s.transmit(n.index, int(e.To[0]-'a'), e.Message)
	case event.Persist:
		n.writes = append(n.writes, e)
		d := time.Duration(s.rng.IntN(8)) * time.Millisecond
		if s.rng.IntN(50) == 0 {
			d = 300 * time.Millisecond
		}
		d += n.syncDelay
		n.lastSyncAt = max(n.lastSyncAt, s.now.Add(d))
		s.schedule(n.lastSyncAt.Sub(s.now), func() {
			if n.running && n.processNumber == processNumber {
				seq := s.syncNextWrite(n)
				s.runOn(n, processNumber, func(out *event.Effects) { n.state.Persisted(s.now, seq, out) })
			}
		})
	case event.ReopenStorage:
		s.schedule(time.Millisecond, func() { s.reopen(n, processNumber) })
	case event.InvariantFailed:
		s.fail("%v: invariant %s: %s", n.state.self, e.Name, e.Detail)
	}
}

// transmit sends a message with a random delay. The message may be lost,
// duplicated or reordered.
func (s *sim) transmit(from, to int, m message.Message) {
	for _, v := range []uint64{uint64(s.now), uint64(from), uint64(to), uint64(m.Kind())} {
		s.trace = (s.trace ^ v) * 1099511628211 // FNV-1a over words
	}
	if a, ok := m.(*message.AgreementAppend); ok && s.olderLeaders {
		older := *a
		older.ConfirmsReads = false
		m = &older
	}
	if s.encodeMessages {
		data, err := codec.EncodeMessage(m)
		decoded, decodeErr := codec.DecodeMessage(data)
		if err != nil || decodeErr != nil || len(data) > codec.MaxMessageBytes/2 {
			s.fail("message of %d bytes: %v, %v", len(data), err, decodeErr)
			return
		}
		m = decoded
	}
	for range 1 + s.rng.IntN(20)/19 { // one in 20 is duplicated
		if s.blocked[[2]int{from, to}] || s.rng.Float64() < s.loss {
			continue
		}
		d := time.Duration(1+s.rng.IntN(30)) * time.Millisecond
		if s.rng.IntN(40) == 0 {
			d = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		if s.latency != 0 {
			d = s.latency
		}
		s.schedule(d, func() {
			n := s.nodes[to]
			s.runOn(n, n.processNumber, func(out *event.Effects) { n.state.Receive(s.now, s.instanceID(from), m, out) })
		})
	}
}

// checkTaken checks an entry or a snapshot returned by TakeCommitted: it must
// have a higher index than the one returned before, and the expected data. The
// data of a snapshot begins with the index of the last entry that it covers.
func (s *sim) checkTaken(n *node, c Committed) {
	wantData := binary.BigEndian.AppendUint64(nil, c.Index)
	if !c.IsSnapshot {
		wantData = s.committed[c.Index-1].Data
	}
	if c.Index <= n.takenIndex || !bytes.HasPrefix(c.Data, wantData) || len(c.Data) > len(wantData)+s.snapshotPadding {
		s.fail("%v took entry %d after entry %d, with %d bytes", n.state.self, c.Index, n.takenIndex, len(c.Data))
	}
	n.takenIndex = c.Index
	n.diskTakenIndex = max(n.diskTakenIndex, c.Index)
}

// checkNode checks that a node leads no term that another node has led, that its
// committed entries equal those that other nodes have committed, and that it is
// not current while it lacks a committed entry.
func (s *sim) checkNode(n *node) {
	st := n.state
	status := st.Status(s.now)
	if st.role == Leader {
		if id, ok := s.leaderOfTerm[st.term]; ok && id != st.self {
			s.fail("%v and %v led term %d", id, st.self, st.term)
		}
		s.leaderOfTerm[st.term] = st.self
	}
	for i := max(n.checkedIndex, st.log.snapshot.Index) + 1; i <= st.commitIndex; i++ {
		e := st.log.entry(i)
		if i > uint64(len(s.committed)) {
			s.checkSyncedByMajority(n, i)
			s.committed = append(s.committed, *e)
			if e.Kind == message.EntryMembers {
				s.members = e.Members
			}
		} else if c := &s.committed[i-1]; c.Term != e.Term || !equalEntries(c, e) {
			s.fail("%v committed a different entry %d", n.state.self, i)
		}
	}
	n.checkedIndex = max(n.checkedIndex, st.commitIndex)
	if status.Current && st.commitIndex < uint64(len(s.committed)) {
		s.fail("%v is current with commit index %d of %d", n.state.self, st.commitIndex, len(s.committed))
	}
}

// checkSyncedByMajority requires that a majority of the voters has synced a
// newly committed entry.
func (s *sim) checkSyncedByMajority(n *node, index uint64) {
	synced := 0
	for _, id := range n.state.voters {
		d := s.disks[id.Disk]
		if i := index - d.Snapshot.Index; index <= d.Snapshot.Index ||
			i <= uint64(len(d.Entries)) && d.Entries[i-1].Term == n.state.log.entry(index).Term {
			synced++
		}
	}
	if synced < n.state.quorum() {
		s.fail("%v committed entry %d, which %d of %v have synced", n.state.self, index, synced, n.state.members)
	}
}

// isolate blocks all messages from and to a node.
func (s *sim) isolate(n *node) {
	for k := range s.nodes {
		s.blocked[[2]int{n.index, k}], s.blocked[[2]int{k, n.index}] = true, true
	}
}

// checkLogMatching requires that two logs that have entries of the same term at
// an index have equal entries at all lower indexes.
func (s *sim) checkLogMatching() {
	for i, a := range s.nodes {
		for _, b := range s.nodes[:i] {
			agreed := false
			for k := min(a.state.log.lastIndex(), b.state.log.lastIndex()); k > max(a.state.log.snapshot.Index, b.state.log.snapshot.Index); k-- {
				x, y := a.state.log.entry(k), b.state.log.entry(k)
				agreed = agreed || x.Term == y.Term
				if agreed && (x.Term != y.Term || !equalEntries(x, y)) {
					s.fail("logs of %v and %v differ at %d", a.state.self, b.state.self, k)
				}
			}
		}
	}
}

// propose proposes an entry at every node; only the leader accepts it.
func (s *sim) propose() {
	data := binary.BigEndian.AppendUint64(nil, s.rng.Uint64())
	for _, n := range s.nodes {
		s.runOn(n, n.processNumber, func(out *event.Effects) {
			if _, code := n.state.Propose(s.now, data, out); code == result.Success {
				s.accepted++
			}
		})
	}
}

// read begins a read at every node.
func (s *sim) read() {
	for _, n := range s.nodes {
		s.runOn(n, n.processNumber, func(out *event.Effects) {
			committed := len(s.committed)
			id, ok := n.state.Read(s.now, out)
			if !ok {
				return
			}
			if n.reads == nil {
				n.reads = map[ReadID]int{}
			}
			n.reads[id] = committed
		})
	}
}

// canLoseDisk reports whether every node is a voter with its present disk. The
// group must then survive the loss of one disk.
func (s *sim) canLoseDisk() bool {
	for k, n := range s.nodes {
		id := model.MemberID{Instance: s.instanceID(k), Disk: n.disk.Disk}
		if n.state.membersIndex > uint64(len(s.committed)) || !slices.Contains(s.members, message.GroupMember{ID: id}) {
			return false
		}
	}
	return len(s.members) == len(s.nodes)
}

// isRemoved reports whether a node with its present disk is a voter neither in
// the committed member list nor in that of another node.
func (s *sim) isRemoved(n *node) bool {
	id := model.MemberID{Instance: s.instanceID(n.index), Disk: n.disk.Disk}
	isCounted := slices.Contains(s.members, message.GroupMember{ID: id})
	for _, o := range s.nodes {
		isCounted = isCounted || o != n && o.state.isVoter(id)
	}
	return len(s.committed) > 0 && !isCounted
}

// injectFault injects or ends one random fault.
func (s *sim) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	o := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(12) {
	case 0:
		s.loss = s.rng.Float64() * 0.4
	case 1, 2:
		s.blocked[[2]int{n.index, o.index}] = true
	case 3:
		s.isolate(n)
	case 4, 5:
		clear(s.blocked)
		s.loss = 0
	case 6:
		s.crash(n)
		if s.rng.IntN(2) == 0 {
			s.start(n)
		}
	case 7, 8:
		if s.canLoseDisk() || s.isRemoved(n) {
			s.replaceDisk(n)
		}
	case 9:
		n.frozenUntil = s.now.Add(time.Duration(s.rng.IntN(2500)) * time.Millisecond)
		o.syncDelay = time.Duration(s.rng.IntN(800)) * time.Millisecond
	case 10:
		if s.canLoseDisk() {
			s.runOn(n, n.processNumber, func(out *event.Effects) { // the second removal must be refused
				n.state.Remove(s.now, model.MemberID{Instance: s.instanceID(o.index), Disk: o.disk.Disk}, out)
				n.state.Remove(s.now, model.MemberID{Instance: s.instanceID(n.index), Disk: n.disk.Disk}, out)
			})
		}
	case 11:
		s.runOn(n, n.processNumber, func(out *event.Effects) { n.state.StorageFailed(s.now, "sync failed", out) })
	}
	for _, n := range s.nodes {
		if !n.running && s.rng.IntN(2) == 0 {
			s.start(n)
		}
	}
	s.checkLogMatching()
}

// runSchedule injects 20 random faults and then ends all faults. It requires that
// afterwards every node becomes a voter again and commits a new entry.
func (s *sim) runSchedule() {
	s.run(4 * time.Second)
	for range 20 {
		s.injectFault()
		for range s.rng.IntN(4) {
			s.propose()
			s.read()
			s.run(time.Duration(s.rng.IntN(250)) * time.Millisecond)
		}
		s.run(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
	clear(s.blocked)
	s.loss = 0
	for _, n := range s.nodes {
		n.frozenUntil, n.syncDelay = 0, 0
		if !n.running {
			s.start(n)
		}
	}
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		if n.state.failure != "" {
			s.crash(n)
			s.start(n)
		}
	}
	s.run(5 * time.Second)
	for _, n := range s.nodes { // without OpenMembership a removed member rejoins with an empty disk only
		if !s.open && s.isRemoved(n) {
			s.replaceDisk(n)
		}
	}
	s.run(10 * time.Second)
	before := len(s.committed)
	s.propose()
	s.run(3 * time.Second)
	s.checkLogMatching()
	for _, n := range s.nodes {
		if len(s.failures) == 0 && (n.state.commitIndex <= uint64(before) || n.takenIndex != s.nodes[0].takenIndex || !n.state.isVoter(n.state.self)) {
			s.fail("%v did not recover: role %d, commit index %d of %d, members %v", n.state.self, n.state.role, n.state.commitIndex, len(s.committed), n.state.members)
		}
	}
}
