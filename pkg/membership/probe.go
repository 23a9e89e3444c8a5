package membership

import (
	"math"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// probeInterval is the time from one probe to the next.
	probeInterval = time.Second
	// directTimeout is how long the answer to a direct probe may take before
	// others are asked. A round trip between regions takes 110 ms.
	directTimeout = 350 * time.Millisecond
	// helpers is how many others are asked to probe.
	helpers = 3
	// minSuspicion is how long a suspect has to refute. It grows with the
	// logarithm of the number of members, as the time for news to spread does.
	minSuspicion = 4 * time.Second
	// deadRetention is how long a dead member is remembered, so that old news
	// does not bring it back.
	deadRetention = 10 * time.Minute
	// retryDeadEvery is the number of probes from one ping of a dead member to
	// the next. It joins the sides of a healed partition.
	retryDeadEvery = 10
	// leaveFanOut is how many members are told directly that this one leaves. It
	// covers all members of the deployments of today.
	leaveFanOut = 16
	// maxLate is how late a probe may be due. Beyond it this process itself was
	// frozen, and silence of others proves nothing.
	maxLate = probeInterval / 2
	// maxRelays bounds the probes on behalf of others that await an answer.
	maxRelays = 256
)

// prober is the state of the probes.
type prober struct {
	nextTick model.Time
	ticks    int
	seq      uint64
	// target is the member that was asked and has not answered, "" if none.
	target    model.InstanceID
	targetSeq uint64
	// helpAt is when others are asked, 0 if they were.
	helpAt model.Time
	// near and far are the next targets in this zone and in others.
	near, far []model.InstanceID
	// urgent are members whose link broke.
	urgent []model.InstanceID
	relays map[uint64]relay
}

// relay is a probe on behalf of another instance.
type relay struct {
	origin model.InstanceID
	seq    uint64
	until  model.Time
}

// NextWake returns when Wake is next needed, 0 before Start.
func (s *State) NextWake() model.Time {
	if s.probes.helpAt != 0 {
		return min(s.probes.helpAt, s.probes.nextTick)
	}
	return s.probes.nextTick
}

// Wake handles everything that is due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	p := &s.probes
	if p.nextTick == 0 {
		return
	}
	if p.helpAt != 0 && at >= p.helpAt {
		p.helpAt = 0
		s.askHelpers(out)
	}
	if at < p.nextTick {
		return
	}
	if late := at.Sub(p.nextTick); late > maxLate {
		s.forgive(late)
	}
	s.tick(at, out)
	p.nextTick = at.Add(probeInterval)
}

// forgive drops conclusions from a time in which this process was frozen.
func (s *State) forgive(late model.Duration) {
	s.probes.target = ""
	for _, id := range s.order {
		if m := s.members[id]; m.Status == message.MemberSuspect {
			m.until = m.until.Add(late)
		}
	}
}

// tick ends the last probe and starts the next one.
func (s *State) tick(at model.Time, out *event.Effects) {
	s.endProbe(at, out)
	s.expire(at, out)
	s.repeatLeave(out)
	s.probes.ticks++
	if id := s.nextTarget(); id != "" {
		s.probes.target = id
		s.probes.helpAt = at.Add(directTimeout)
		s.probes.targetSeq = s.ping(id, out)
	}
	if s.probes.ticks%retryDeadEvery == 0 {
		for _, id := range s.pick(1, func(m *member) bool { return m.Status == message.MemberDead }) {
			s.ping(id, out)
		}
	}
	s.tickSync(out)
}

// endProbe suspects the target if nothing was heard of it.
func (s *State) endProbe(at model.Time, out *event.Effects) {
	m := s.members[s.probes.target]
	s.probes.target = ""
	s.probes.helpAt = 0
	if m == nil || m.Status != message.MemberAlive {
		return
	}
	suspect := m.Member
	suspect.Status = message.MemberSuspect
	s.replace(at, m, suspect, out)
	out.Add(event.Log{Code: logevent.MemberSuspected, Fields: []logevent.Field{logevent.F("member", m.ID)}})
}

// expire ends suspicions that were not refuted, and the memory of the dead.
func (s *State) expire(at model.Time, out *event.Effects) {
	var gone []model.InstanceID
	for _, id := range s.order {
		m := s.members[id]
		switch {
		case m.Status == message.MemberAlive || at < m.until:
		case m.Status == message.MemberDead:
			gone = append(gone, id)
		default:
			dead := m.Member
			dead.Status = message.MemberDead
			s.replace(at, m, dead, out)
			out.Add(event.Log{Code: logevent.MemberDead, Fields: []logevent.Field{logevent.F("member", id)}})
		}
	}
	for _, id := range gone {
		s.remove(id)
	}
	for _, seq := range sortedSeqs(s.probes.relays) {
		if at >= s.probes.relays[seq].until {
			delete(s.probes.relays, seq)
		}
	}
}

func sortedSeqs(relays map[uint64]relay) []uint64 {
	list := make([]uint64, 0, len(relays))
	for seq := range relays {
		list = append(list, seq)
	}
	slices.Sort(list)
	return list
}

// suspicionTime returns how long a suspect has to refute.
func (s *State) suspicionTime() model.Duration {
	return model.Duration(float64(minSuspicion) * max(1, math.Log10(float64(s.alive+1))))
}

// nextTarget returns the member to probe: one whose link broke, or in turn one
// of this zone and one of the others, each of them once before any again.
func (s *State) nextTarget() model.InstanceID {
	p := &s.probes
	if id := s.popTarget(&p.urgent); id != "" {
		return id
	}
	near := p.ticks%2 == 0
	if id := s.zoneTarget(near); id != "" {
		return id
	}
	return s.zoneTarget(!near)
}

// zoneTarget returns the next target of this zone (near) or of the others. When
// all had their turn, they are put in a new random order.
func (s *State) zoneTarget(near bool) model.InstanceID {
	list := &s.probes.far
	if near {
		list = &s.probes.near
	}
	if id := s.popTarget(list); id != "" {
		return id
	}
	*list = s.pick(math.MaxInt, func(m *member) bool {
		return m.Status != message.MemberDead && (m.Zone == s.self.Zone) == near
	})
	return s.popTarget(list)
}

// popTarget takes the last member of the list that is not dead.
func (s *State) popTarget(list *[]model.InstanceID) model.InstanceID {
	for len(*list) > 0 {
		n := len(*list) - 1
		id := (*list)[n]
		*list = (*list)[:n]
		if m := s.members[id]; m != nil && m.Status != message.MemberDead {
			return id
		}
	}
	return ""
}

// ping sends a ping and returns its number.
func (s *State) ping(to model.InstanceID, out *event.Effects) uint64 {
	s.probes.seq++
	out.Add(event.Send{To: to, Message: &message.MemberPing{Seq: s.probes.seq, From: s.self, Updates: s.updates(to)}})
	return s.probes.seq
}

// askHelpers asks others to probe the target: one of its zone, one of this zone
// and one of another, so that a broken path between zones is not taken for a
// lost instance.
func (s *State) askHelpers(out *event.Effects) {
	target := s.members[s.probes.target]
	if target == nil {
		return
	}
	for _, id := range s.helpersFor(target) {
		out.Add(event.Send{To: id, Message: &message.MemberPingRequest{
			Seq: s.probes.targetSeq, Target: target.ID, Updates: s.updates(id)}})
	}
}

func (s *State) helpersFor(target *member) []model.InstanceID {
	fits := func(m *member) bool { return m.Status == message.MemberAlive && m.ID != target.ID }
	var chosen []model.InstanceID
	choose := func(n int, in func(*member) bool) {
		chosen = append(chosen, s.pick(n, func(m *member) bool {
			return fits(m) && in(m) && !slices.Contains(chosen, m.ID)
		})...)
	}
	choose(1, func(m *member) bool { return m.Zone == target.Zone })
	choose(1, func(m *member) bool { return m.Zone == s.self.Zone })
	choose(1, func(m *member) bool { return m.Zone != target.Zone && m.Zone != s.self.Zone })
	choose(helpers-len(chosen), func(*member) bool { return true })
	return chosen
}

func (s *State) receivePing(at model.Time, m *message.MemberPing, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	s.merge(at, m.From, out)
	// The sender's own record comes first, so that it is never left out.
	updates := append([]message.Member{s.self}, s.updates(m.From.ID)...)
	out.Add(event.Send{To: m.From.ID, Message: &message.MemberAck{Seq: m.Seq, Updates: updates}})
}

func (s *State) receiveAck(at model.Time, from model.InstanceID, m *message.MemberAck, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	s.acknowledged(at, from, m.Seq)
	p := &s.probes
	if p.target != "" && m.Seq == p.targetSeq {
		p.target = ""
		p.helpAt = 0
		return
	}
	if r, ok := p.relays[m.Seq]; ok {
		delete(p.relays, m.Seq)
		out.Add(event.Send{To: r.origin, Message: &message.MemberAck{Seq: r.seq, Updates: s.relayUpdates(from, r.origin)}})
	}
}

// relayUpdates passes on the record of the probed member, with which it may
// refute a suspicion.
func (s *State) relayUpdates(target, origin model.InstanceID) []message.Member {
	updates := s.updates(origin)
	if m := s.members[target]; m != nil {
		updates = append(updates, m.Member)
	}
	return updates
}

func (s *State) receivePingRequest(at model.Time, from model.InstanceID, m *message.MemberPingRequest, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	if s.members[m.Target] == nil || len(s.probes.relays) >= maxRelays {
		return
	}
	seq := s.ping(m.Target, out)
	s.probes.relays[seq] = relay{origin: from, seq: m.Seq, until: at.Add(probeInterval)}
}
