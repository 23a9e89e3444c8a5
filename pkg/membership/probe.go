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
	directProbeTimeout = 350 * time.Millisecond
	// helpers is how many others are asked to probe.
	indirectProbes = 3
	// minSuspicion is how long a suspect has to refute. It grows with the
	// logarithm of the number of members, as the time for news to spread does.
	minSuspicionTimeout = 4 * time.Second
	// deadRetention is how long a dead member is remembered, so that old news
	// does not bring it back.
	deadRetention = 10 * time.Minute
	// retryDeadEvery is the number of probes from one ping of a dead member to
	// the next. It joins the sides of a healed partition.
	deadProbeEvery = 10
	// leaveFanOut is how many members are told directly that this one leaves. It
	// covers all members of the deployments of today.
	leaveFanOut = 16
	// maxLate is how late a probe may be due. Beyond it this process itself was
	// frozen, and silence of others proves nothing.
	maxProbeDelay = probeInterval / 2
	// maxRelays bounds the probes on behalf of others that await an answer.
	maxRelayedProbes = 256
)

// prober is the state of the probes.
type probeState struct {
	nextProbeAt model.Time
	rounds      int
	lastSeq     uint64
	// target is the member that was asked and has not answered, "" if none.
	target    model.InstanceID
	targetSeq uint64
	// helpAt is when others are asked, 0 if they were.
	indirectAt model.Time
	// near and far are the next targets in this zone and in others.
	sameZone, otherZones []model.InstanceID
	// urgent are members whose link broke.
	urgent  []model.InstanceID
	relayed map[uint64]relayedProbe
}

// relay is a probe on behalf of another instance.
type relayedProbe struct {
	origin   model.InstanceID
	seq      uint64
	deadline model.Time
}

// NextWake returns when Wake is next needed, 0 before Start.
func (s *State) NextWake() model.Time {
	if s.probes.indirectAt != 0 {
		return min(s.probes.indirectAt, s.probes.nextProbeAt)
	}
	return s.probes.nextProbeAt
}

// Wake handles everything that is due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	p := &s.probes
	if p.nextProbeAt == 0 {
		return
	}
	if p.indirectAt != 0 && at >= p.indirectAt {
		p.indirectAt = 0
		s.sendPingRequests(out)
	}
	if at < p.nextProbeAt {
		return
	}
	if late := at.Sub(p.nextProbeAt); late > maxProbeDelay {
		s.extendSuspicions(late)
	}
	s.startRound(at, out)
	p.nextProbeAt = at.Add(probeInterval)
}

// forgive drops conclusions from a time in which this process was frozen.
func (s *State) extendSuspicions(late model.Duration) {
	s.probes.target = ""
	for _, id := range s.order {
		if m := s.members[id]; m.Status == message.MemberSuspect {
			m.statusExpiresAt = m.statusExpiresAt.Add(late)
		}
	}
}

// tick ends the last probe and starts the next one.
func (s *State) startRound(at model.Time, out *event.Effects) {
	s.endProbe(at, out)
	s.expireStatuses(at, out)
	s.resendLeave(out)
	s.probes.rounds++
	if id := s.nextTarget(); id != "" {
		s.probes.target = id
		s.probes.indirectAt = at.Add(directProbeTimeout)
		s.probes.targetSeq = s.ping(id, out)
	}
	if s.probes.rounds%deadProbeEvery == 0 {
		for _, id := range s.pickRandom(1, func(m *member) bool { return m.Status == message.MemberDead }) {
			s.ping(id, out)
		}
	}
	s.syncNextPage(out)
}

// endProbe suspects the target if nothing was heard of it.
func (s *State) endProbe(at model.Time, out *event.Effects) {
	m := s.members[s.probes.target]
	s.probes.target = ""
	s.probes.indirectAt = 0
	if m == nil || m.Status != message.MemberAlive {
		return
	}
	suspect := m.Member
	suspect.Status = message.MemberSuspect
	s.updateMember(at, m, suspect, out)
	out.Add(event.Log{Code: logevent.MemberSuspected, Fields: []logevent.Field{logevent.F("member", m.ID)}})
}

// expire ends suspicions that were not refuted, and the memory of the dead.
func (s *State) expireStatuses(at model.Time, out *event.Effects) {
	var gone []model.InstanceID
	for _, id := range s.order {
		m := s.members[id]
		switch {
		case m.Status == message.MemberAlive || at < m.statusExpiresAt:
		case m.Status == message.MemberDead:
			gone = append(gone, id)
		default:
			dead := m.Member
			dead.Status = message.MemberDead
			s.updateMember(at, m, dead, out)
			out.Add(event.Log{Code: logevent.MemberDead, Fields: []logevent.Field{logevent.F("member", id)}})
		}
	}
	for _, id := range gone {
		s.removeMember(id)
	}
	for _, seq := range sortedSeqs(s.probes.relayed) {
		if at >= s.probes.relayed[seq].deadline {
			delete(s.probes.relayed, seq)
		}
	}
}

func sortedSeqs(relays map[uint64]relayedProbe) []uint64 {
	list := make([]uint64, 0, len(relays))
	for seq := range relays {
		list = append(list, seq)
	}
	slices.Sort(list)
	return list
}

// suspicionTime returns how long a suspect has to refute.
func (s *State) suspicionTimeout() model.Duration {
	return model.Duration(float64(minSuspicionTimeout) * max(1, math.Log10(float64(s.notDead+1))))
}

// nextTarget returns the member to probe: one whose link broke, or in turn one
// of this zone and one of the others, each of them once before any again.
func (s *State) nextTarget() model.InstanceID {
	p := &s.probes
	if id := s.popTarget(&p.urgent); id != "" {
		return id
	}
	near := p.rounds%2 == 0
	if id := s.zoneTarget(near); id != "" {
		return id
	}
	return s.zoneTarget(!near)
}

// zoneTarget returns the next target of this zone (near) or of the others. When
// all had their turn, they are put in a new random order.
func (s *State) zoneTarget(near bool) model.InstanceID {
	list := &s.probes.otherZones
	if near {
		list = &s.probes.sameZone
	}
	if id := s.popTarget(list); id != "" {
		return id
	}
	*list = s.pickRandom(math.MaxInt, func(m *member) bool {
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
	s.probes.lastSeq++
	out.Add(event.Send{To: to, Message: &message.MemberPing{Seq: s.probes.lastSeq, From: s.self, Updates: s.takeUpdates(to)}})
	return s.probes.lastSeq
}

// askHelpers asks others to probe the target: one of its zone, one of this zone
// and one of another, so that a broken path between zones is not taken for a
// lost instance.
func (s *State) sendPingRequests(out *event.Effects) {
	target := s.members[s.probes.target]
	if target == nil {
		return
	}
	for _, id := range s.indirectProbersFor(target) {
		out.Add(event.Send{To: id, Message: &message.MemberPingRequest{
			Seq: s.probes.targetSeq, Target: target.ID, Updates: s.takeUpdates(id)}})
	}
}

func (s *State) indirectProbersFor(target *member) []model.InstanceID {
	fits := func(m *member) bool { return m.Status == message.MemberAlive && m.ID != target.ID }
	var chosen []model.InstanceID
	choose := func(n int, in func(*member) bool) {
		chosen = append(chosen, s.pickRandom(n, func(m *member) bool {
			return fits(m) && in(m) && !slices.Contains(chosen, m.ID)
		})...)
	}
	choose(1, func(m *member) bool { return m.Zone == target.Zone })
	choose(1, func(m *member) bool { return m.Zone == s.self.Zone })
	choose(1, func(m *member) bool { return m.Zone != target.Zone && m.Zone != s.self.Zone })
	choose(indirectProbes-len(chosen), func(*member) bool { return true })
	return chosen
}

func (s *State) receivePing(at model.Time, m *message.MemberPing, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	s.merge(at, m.From, out)
	// The sender's own record comes first, so that it is never left out.
	updates := append([]message.Member{s.self}, s.takeUpdates(m.From.ID)...)
	out.Add(event.Send{To: m.From.ID, Message: &message.MemberAck{Seq: m.Seq, Updates: updates}})
}

func (s *State) receiveAck(at model.Time, from model.InstanceID, m *message.MemberAck, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	s.recordLeaveAck(at, from, m.Seq)
	p := &s.probes
	if p.target != "" && m.Seq == p.targetSeq {
		p.target = ""
		p.indirectAt = 0
		return
	}
	if r, ok := p.relayed[m.Seq]; ok {
		delete(p.relayed, m.Seq)
		out.Add(event.Send{To: r.origin, Message: &message.MemberAck{Seq: r.seq, Updates: s.relayedAckUpdates(from, r.origin)}})
	}
}

// relayUpdates passes on the record of the probed member, with which it may
// refute a suspicion.
func (s *State) relayedAckUpdates(target, origin model.InstanceID) []message.Member {
	updates := s.takeUpdates(origin)
	if m := s.members[target]; m != nil {
		updates = append(updates, m.Member)
	}
	return updates
}

func (s *State) receivePingRequest(at model.Time, from model.InstanceID, m *message.MemberPingRequest, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	if s.members[m.Target] == nil || len(s.probes.relayed) >= maxRelayedProbes {
		return
	}
	seq := s.ping(m.Target, out)
	s.probes.relayed[seq] = relayedProbe{origin: from, seq: m.Seq, deadline: at.Add(probeInterval)}
}
