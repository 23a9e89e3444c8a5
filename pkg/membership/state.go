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
	until model.Time
	// sent counts the messages that carried the latest news of it.
	sent   int
	queued bool
	// greeted is set while only the greeting of its link is known. That does not
	// say whether the member leaves, so it is neither named to callers nor passed
	// on.
	greeted bool
}

// State is the view of all instances that this one has.
type State struct {
	self message.Member
	rng  *rand.Rand
	// selfNews is the queue entry for news of this instance.
	selfNews *member
	// members are the other instances; order lists their identifiers.
	members map[model.InstanceID]*member
	order   []model.InstanceID
	// alive counts the members that are not dead.
	alive   int
	news    []*member
	changed bool

	probes prober
	sync   syncer
	leave  leave
}

// New returns the state of an instance that knows only itself.
func New(self message.Member, seed uint64) *State {
	s := &State{
		self:    self,
		rng:     rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		members: map[model.InstanceID]*member{},
		changed: true,
	}
	s.selfNews = &member{Member: self}
	s.probes.relays = map[uint64]relay{}
	return s
}

// Start begins to probe. The first probe is due at a random time, so that
// instances that start together do not probe together.
func (s *State) Start(at model.Time) {
	s.probes.nextTick = at.Add(model.Duration(s.rng.Int64N(int64(probeInterval))))
}

// Connected handles a new link to an instance. The ping brings the record of an
// instance that was not known.
func (s *State) Connected(at model.Time, m message.Member, out *event.Effects) {
	s.greet(at, m, out)
	s.ping(m.ID, out)
	if !s.sync.joined {
		s.requestPage(m.ID, out)
	}
}

// Lost handles a broken link: the instance is probed next.
func (s *State) Lost(id model.InstanceID) {
	if m := s.members[id]; m != nil && m.Status != message.MemberDead && !slices.Contains(s.probes.urgent, id) {
		s.probes.urgent = append(s.probes.urgent, id)
	}
}

// revise raises the revision of this instance and spreads it.
func (s *State) revise(to uint32) {
	s.self.Revision = to
	s.changed = true
	s.selfNews.Member = s.self
	s.queueNews(s.selfNews)
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
		s.receiveSync(at, m, out)
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
		s.add(at, m, out)
		return
	}
	if cur.greeted && m.Incarnation >= cur.Incarnation {
		cur.greeted = false
		s.changed = true
		s.queueNews(cur)
	}
	if !isNewer(&m, &cur.Member) {
		return
	}
	if m.Incarnation == cur.Incarnation {
		m.Leaving = m.Leaving || cur.Leaving
	}
	s.replace(at, cur, m, out)
}

// greet takes in an instance from the greeting of its link. A process that was
// not known counts as greeted only.
func (s *State) greet(at model.Time, m message.Member, out *event.Effects) {
	cur := s.members[m.ID]
	known := cur != nil && cur.Incarnation >= m.Incarnation && !cur.greeted
	s.merge(at, m, out)
	if cur = s.members[m.ID]; cur != nil && !known {
		cur.greeted = true
		s.changed = true
		s.dropNews(cur)
	}
}

// isNewer reports whether a says more recent things than b.
func isNewer(a, b *message.Member) bool {
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
		s.revise(m.Revision + 1)
	}
}

// add takes in an instance that was not known. Dead ones need not be known.
func (s *State) add(at model.Time, m message.Member, out *event.Effects) {
	if m.ID == "" || m.Status == message.MemberDead || len(s.members) >= maxMembers {
		return
	}
	cur := &member{}
	s.members[m.ID] = cur
	i, _ := slices.BinarySearch(s.order, m.ID)
	s.order = slices.Insert(s.order, i, m.ID)
	s.alive++
	s.replace(at, cur, m, out)
}

// replace changes what is believed of a member and spreads it.
func (s *State) replace(at model.Time, cur *member, m message.Member, out *event.Effects) {
	wasDead, isDead := cur.Status == message.MemberDead, m.Status == message.MemberDead
	switch {
	case !wasDead && isDead:
		s.alive--
	case wasDead && !isDead:
		s.alive++
	}
	if m.PeerAddress != cur.PeerAddress && m.PeerAddress != "" && !isDead {
		out.Add(event.Connect{Address: m.PeerAddress})
	}
	cur.Member = m
	switch m.Status {
	case message.MemberSuspect:
		cur.until = at.Add(s.suspicionTime())
	case message.MemberDead:
		cur.until = at.Add(deadRetention)
	}
	s.changed = true
	s.queueNews(cur)
}

// remove forgets a member.
func (s *State) remove(id model.InstanceID) {
	delete(s.members, id)
	if i, ok := slices.BinarySearch(s.order, id); ok {
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// TakeChanged reports whether Serving may have changed since the last call.
func (s *State) TakeChanged() bool {
	c := s.changed
	s.changed = false
	return c
}

// Serving returns the instances that take new callers, in identifier order:
// those that are alive and not leaving.
func (s *State) Serving() []message.Member {
	list := make([]message.Member, 0, len(s.order)+1)
	for _, id := range s.order {
		if m := s.members[id]; m.Status == message.MemberAlive && !m.Leaving && !m.greeted {
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
func (s *State) pick(n int, fits func(*member) bool) []model.InstanceID {
	var list []model.InstanceID
	for _, id := range s.order {
		if fits(s.members[id]) {
			list = append(list, id)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
