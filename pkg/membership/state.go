package membership

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxMembers bounds the member list, and so the memory that records from other
// instances can occupy. The bound leaves room for the 4,800 nodes of the design
// scale and for as many dead members whose nodes were replaced.
const maxMembers = 16384

// member is the record of another instance.
type member struct {
	message.Member
	// statusExpiresAt is when a suspect is declared dead, or when a dead member
	// is removed from the list. It is not used while the member is alive.
	statusExpiresAt model.Time
	// transmissions counts the messages in which this instance has sent the latest
	// update of the member. queued is true while that update is in
	// State.updateQueue.
	transmissions int
	queued        bool
	// helloOnly is true while this instance knows the member only from the
	// hello of its connection. A hello does not contain whether the member is
	// leaving. The member is therefore not listed by Serving, and its record is
	// not sent to other instances.
	helloOnly bool
}

// State holds what one instance knows of all instances.
type State struct {
	self message.Member
	rng  *rand.Rand
	// selfUpdate holds this instance's own record while it is in updateQueue.
	selfUpdate *member
	// members holds the other instances; order lists their identifiers in
	// increasing order.
	members map[model.InstanceID]*member
	order   []model.InstanceID
	// notDeadCount is the number of members that are alive or suspected.
	notDeadCount   int
	updateQueue    []*member
	servingChanged bool

	probes probeState
	sync   pageReader
	leave  leaveState
}

// New returns the state of an instance that knows only itself.
func New(self message.Member, seed uint64) *State {
	s := &State{
		self:           self,
		rng:            rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		members:        map[model.InstanceID]*member{},
		servingChanged: true,
	}
	s.selfUpdate = &member{Member: self}
	s.probes.relayedProbes = map[uint64]relayedProbe{}
	return s
}

// Start schedules the first probe at a random time, so that instances that
// start together do not probe at the same time.
func (s *State) Start(at model.Time) {
	s.probes.nextProbeAt = at.Add(model.Duration(s.rng.Int64N(int64(probeInterval))))
}

// PeerConnected handles a new connection to an instance and pings the instance.
// The acknowledgement contains the instance's record, which completes the
// hello.
func (s *State) PeerConnected(at model.Time, m message.Member, out *event.Effects) {
	s.mergeHello(at, m, out)
	s.ping(m.ID, out)
	if !s.sync.fullListRead {
		s.requestPage(m.ID, out)
	}
}

// PeerLost handles a broken connection to an instance. The instance is probed
// next, since it may have failed.
func (s *State) PeerLost(id model.InstanceID) {
	if m := s.members[id]; m != nil && m.Status != message.MemberDead && !slices.Contains(s.probes.urgent, id) {
		s.probes.urgent = append(s.probes.urgent, id)
	}
}

// raiseRevision sets a higher revision of this instance's own record and queues
// the record as an update.
func (s *State) raiseRevision(revision uint32) {
	s.self.Revision = revision
	s.servingChanged = true
	s.selfUpdate.Member = s.self
	s.queueUpdate(s.selfUpdate)
}

// Receive handles a message from another instance. It reports whether the message
// is of a type that this package handles.
func (s *State) Receive(at model.Time, from model.InstanceID, msg message.Message, out *event.Effects) bool {
	switch m := msg.(type) {
	case *message.MemberPing:
		s.receivePing(at, m, out)
	case *message.MemberAck:
		s.receiveAck(at, from, m, out)
	case *message.MemberPingRequest:
		s.receivePingRequest(at, from, m, out)
	case *message.MemberSyncRequest:
		s.receiveSyncRequest(from, m, out)
	case *message.MemberSyncReply:
		s.receiveSyncReply(at, m, out)
	default:
		return false
	}
	return true
}

// mergeAll merges a list of records.
func (s *State) mergeAll(at model.Time, list []message.Member, out *event.Effects) {
	for i := range list {
		s.merge(at, list[i], out)
	}
}

// merge replaces the stored record of an instance by the given one if the given
// one is more recent. A record of this instance itself is only checked for a
// suspicion that must be refuted.
func (s *State) merge(at model.Time, m message.Member, out *event.Effects) {
	if m.ID == s.self.ID {
		s.refute(&m)
		return
	}
	current := s.members[m.ID]
	if current == nil {
		s.addMember(at, m, out)
		return
	}
	if current.helloOnly && m.Incarnation >= current.Incarnation {
		current.helloOnly = false
		s.servingChanged = true
		s.queueUpdate(current)
	}
	if !supersedes(&m, &current.Member) {
		return
	}
	if m.Incarnation == current.Incarnation {
		m.Leaving = m.Leaving || current.Leaving
	}
	s.updateMember(at, current, m, out)
}

// mergeHello merges the record of an instance from the hello of its connection.
// If this instance knows the member's present process only from the hello, the
// member is marked as helloOnly.
func (s *State) mergeHello(at model.Time, m message.Member, out *event.Effects) {
	current := s.members[m.ID]
	known := current != nil && current.Incarnation >= m.Incarnation && !current.helloOnly
	s.merge(at, m, out)
	if current = s.members[m.ID]; current != nil && !known {
		current.helloOnly = true
		s.servingChanged = true
		s.dequeueUpdate(current)
	}
}

// supersedes reports whether record a is more recent than record b.
func supersedes(a, b *message.Member) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Revision != b.Revision:
		return a.Revision > b.Revision
	}
	return a.Status > b.Status
}

// refute raises the revision of this instance if m, a record of this
// instance, marks the present process as suspect or dead. The higher revision
// supersedes that record at the other instances.
func (s *State) refute(m *message.Member) {
	if m.Incarnation == s.self.Incarnation && m.Status != message.MemberAlive && m.Revision >= s.self.Revision {
		s.raiseRevision(m.Revision + 1)
	}
}

// addMember adds an instance that was not known. It adds no dead instance, and
// no instance at all if the list already has maxMembers entries.
func (s *State) addMember(at model.Time, m message.Member, out *event.Effects) {
	if m.ID == "" || m.Status == message.MemberDead || len(s.members) >= maxMembers {
		return
	}
	current := &member{}
	s.members[m.ID] = current
	i, _ := slices.BinarySearch(s.order, m.ID)
	s.order = slices.Insert(s.order, i, m.ID)
	s.notDeadCount++
	s.updateMember(at, current, m, out)
}

// updateMember replaces the record of a member and queues the new record as an
// update.
func (s *State) updateMember(at model.Time, current *member, m message.Member, out *event.Effects) {
	wasDead, isDead := current.Status == message.MemberDead, m.Status == message.MemberDead
	switch {
	case !wasDead && isDead:
		s.notDeadCount--
	case wasDead && !isDead:
		s.notDeadCount++
	}
	if m.PeerAddress != current.PeerAddress && m.PeerAddress != "" && !isDead {
		out.Add(event.Connect{Address: m.PeerAddress})
	}
	current.Member = m
	switch m.Status {
	case message.MemberSuspect:
		current.statusExpiresAt = at.Add(s.suspicionTimeout())
	case message.MemberDead:
		current.statusExpiresAt = at.Add(deadRetention)
	}
	s.servingChanged = true
	s.queueUpdate(current)
}

// removeMember removes an instance from the member list.
func (s *State) removeMember(id model.InstanceID) {
	delete(s.members, id)
	if i, ok := slices.BinarySearch(s.order, id); ok {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// ServingChangedSinceLastCall reports whether the result of Serving may have
// changed since the previous call of this method.
func (s *State) ServingChangedSinceLastCall() bool {
	changed := s.servingChanged
	s.servingChanged = false
	return changed
}

// Serving returns the instances that accept new callers, in identifier order:
// the alive ones that are not leaving.
func (s *State) Serving() []message.Member {
	list := make([]message.Member, 0, len(s.order)+1)
	for _, id := range s.order {
		if m := s.members[id]; m.Status == message.MemberAlive && !m.Leaving && !m.helloOnly {
			list = append(list, m.Member)
		}
	}
	if !s.self.Leaving {
		list = append(list, s.self)
	}
	slices.SortFunc(list, func(a, b message.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// pickRandom returns up to n members that match, in random order.
func (s *State) pickRandom(n int, matches func(*member) bool) []model.InstanceID {
	var list []model.InstanceID
	for _, id := range s.order {
		if matches(s.members[id]) {
			list = append(list, id)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
