package membership

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxMembers bounds the memory that other instances' messages may take. It is
// above the 4,800 nodes of the design scale with as many that were replaced.
const maxMembers = 16384

// member is what is known of another instance.
type member struct {
	message.Member
	// until ends the suspicion of a suspect and the memory of a dead one.
	statusExpiresAt model.Time
	// sent counts the messages that carried the latest news of it.
	transmissions int
	queued        bool
	// greeted is set while only the greeting of its link is known. That does not
	// say whether the member leaves, so it is neither named to callers nor passed
	// on.
	helloOnly bool
}

// State is the view of all instances that this one has.
type State struct {
	self message.Member
	rng  *rand.Rand
	// selfNews is the queue entry for news of this instance.
	selfUpdate *member
	// members are the other instances; order lists their identifiers.
	members map[model.InstanceID]*member
	order   []model.InstanceID
	// alive counts the members that are not dead.
	notDead        int
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
	s.probes.relayed = map[uint64]relayedProbe{}
	return s
}

// Start begins to probe. The first probe is due at a random time, so that
// instances that start together do not probe together.
func (s *State) Start(at model.Time) {
	s.probes.nextProbeAt = at.Add(model.Duration(s.rng.Int64N(int64(probeInterval))))
}

// Connected handles a new link to an instance. The ping brings the record of an
// instance that was not known.
func (s *State) PeerConnected(at model.Time, m message.Member, out *event.Effects) {
	s.mergeHello(at, m, out)
	s.ping(m.ID, out)
	if !s.sync.fullListRead {
		s.requestPage(m.ID, out)
	}
}

// Lost handles a broken link: the instance is probed next.
func (s *State) PeerLost(id model.InstanceID) {
	if m := s.members[id]; m != nil && m.Status != message.MemberDead && !slices.Contains(s.probes.urgent, id) {
		s.probes.urgent = append(s.probes.urgent, id)
	}
}

// revise raises the revision of this instance and spreads it.
func (s *State) raiseRevision(to uint32) {
	s.self.Revision = to
	s.servingChanged = true
	s.selfUpdate.Member = s.self
	s.queueUpdate(s.selfUpdate)
}

// Receive handles a message of another instance. It reports whether the message
// belongs to the membership.
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

func (s *State) mergeAll(at model.Time, list []message.Member, out *event.Effects) {
	for i := range list {
		s.merge(at, list[i], out)
	}
}

// merge takes over a belief about an instance if it is newer than the own one.
func (s *State) merge(at model.Time, m message.Member, out *event.Effects) {
	if m.ID == s.self.ID {
		s.refute(&m)
		return
	}
	cur := s.members[m.ID]
	if cur == nil {
		s.addMember(at, m, out)
		return
	}
	if cur.helloOnly && m.Incarnation >= cur.Incarnation {
		cur.helloOnly = false
		s.servingChanged = true
		s.queueUpdate(cur)
	}
	if !supersedes(&m, &cur.Member) {
		return
	}
	if m.Incarnation == cur.Incarnation {
		m.Leaving = m.Leaving || cur.Leaving
	}
	s.updateMember(at, cur, m, out)
}

// greet takes in an instance from the greeting of its link. A process that was
// not known counts as greeted only.
func (s *State) mergeHello(at model.Time, m message.Member, out *event.Effects) {
	cur := s.members[m.ID]
	known := cur != nil && cur.Incarnation >= m.Incarnation && !cur.helloOnly
	s.merge(at, m, out)
	if cur = s.members[m.ID]; cur != nil && !known {
		cur.helloOnly = true
		s.servingChanged = true
		s.dequeueUpdate(cur)
	}
}

// isNewer reports whether a says more recent things than b.
func supersedes(a, b *message.Member) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Revision != b.Revision:
		return a.Revision > b.Revision
	}
	return a.Status > b.Status
}

// refute answers a wrong belief about this process with a higher revision.
func (s *State) refute(m *message.Member) {
	if m.Incarnation == s.self.Incarnation && m.Status != message.MemberAlive && m.Revision >= s.self.Revision {
		s.raiseRevision(m.Revision + 1)
	}
}

// add takes in an instance that was not known. Dead ones need not be known.
func (s *State) addMember(at model.Time, m message.Member, out *event.Effects) {
	if m.ID == "" || m.Status == message.MemberDead || len(s.members) >= maxMembers {
		return
	}
	cur := &member{}
	s.members[m.ID] = cur
	i, _ := slices.BinarySearch(s.order, m.ID)
	s.order = slices.Insert(s.order, i, m.ID)
	s.notDead++
	s.updateMember(at, cur, m, out)
}

// replace changes what is believed of a member and spreads it.
func (s *State) updateMember(at model.Time, cur *member, m message.Member, out *event.Effects) {
	wasDead, isDead := cur.Status == message.MemberDead, m.Status == message.MemberDead
	switch {
	case !wasDead && isDead:
		s.notDead--
	case wasDead && !isDead:
		s.notDead++
	}
	if m.PeerAddress != cur.PeerAddress && m.PeerAddress != "" && !isDead {
		out.Add(event.Connect{Address: m.PeerAddress})
	}
	cur.Member = m
	switch m.Status {
	case message.MemberSuspect:
		cur.statusExpiresAt = at.Add(s.suspicionTimeout())
	case message.MemberDead:
		cur.statusExpiresAt = at.Add(deadRetention)
	}
	s.servingChanged = true
	s.queueUpdate(cur)
}

// remove forgets a member.
func (s *State) removeMember(id model.InstanceID) {
	delete(s.members, id)
	if i, ok := slices.BinarySearch(s.order, id); ok {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// TakeChanged reports whether Serving may have changed since the last call.
func (s *State) TakeServingChanged() bool {
	c := s.servingChanged
	s.servingChanged = false
	return c
}

// Serving returns the instances that take new callers, in identifier order:
// those that are alive and not leaving.
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

// pick returns up to n random members that fit.
func (s *State) pickRandom(n int, fits func(*member) bool) []model.InstanceID {
	var list []model.InstanceID
	for _, id := range s.order {
		if fits(s.members[id]) {
			list = append(list, id)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
