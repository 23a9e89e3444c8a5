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
	// probeInterval is the time from the start of one probe to the start of the
	// next. An instance has at most one probe of its own in progress.
	probeInterval = time.Second
	// directProbeTimeout is how long the acknowledgement of a direct probe may
	// take before other members are asked to probe the target. It is about three
	// times the round trip between regions (110 ms).
	directProbeTimeout = 350 * time.Millisecond
	// indirectProbes is the number of members that are asked to probe a target
	// that did not acknowledge the direct probe in time.
	indirectProbes = 3
	// minSuspicionTimeout is the shortest time that a suspect has to refute the
	// suspicion. The time grows with the logarithm of the number of members,
	// because the time until an update reaches all members grows in the same
	// way.
	minSuspicionTimeout = 4 * time.Second
	// deadRetention is how long a dead member is kept in the member list, so that
	// an old update does not add it again as alive.
	deadRetention = 10 * time.Minute
	// deadProbeEvery is the number of probes after which this instance also pings
	// a random dead member. These pings reconnect the two sides of a healed
	// partition, each of which has declared the other dead.
	deadProbeEvery = 10
	// leaveFanOut bounds the members that this instance notifies directly when
	// it leaves. The present deployments have fewer instances, so all members are
	// notified directly.
	leaveFanOut = 16
	// maxProbeDelay bounds how late a probe may start. If it starts later than
	// that, this process was frozen and received no messages, so a missing
	// acknowledgement does not show that the target is lost.
	maxProbeDelay = probeInterval / 2
	// maxRelayedProbes bounds the unacknowledged probes that this instance has
	// sent on behalf of other instances.
	maxRelayedProbes = 256
)

// probeState holds the probe in progress, the members to probe next, and the
// probes that this instance relays for other instances.
type probeState struct {
	nextProbeAt model.Time
	rounds      int
	lastSeq     uint64
	// target is the member that was probed and has not acknowledged, "" if
	// none.
	target    model.InstanceID
	targetSeq uint64
	// indirectProbeAt is when other members are asked to probe the target, 0 if
	// they were asked already or no probe is in progress.
	indirectProbeAt model.Time
	// sameZone and otherZones list the members to probe next in the zone of this
	// instance and in the other zones.
	sameZone, otherZones []model.InstanceID
	// urgent lists members whose connection broke. They are probed first.
	urgent        []model.InstanceID
	relayedProbes map[uint64]relayedProbe
}

// relayedProbe is a probe on behalf of another instance, the origin. seq is the
// sequence number of the origin's request, and deadline is when this instance
// stops waiting for the acknowledgement.
type relayedProbe struct {
	origin   model.InstanceID
	seq      uint64
	deadline model.Time
}

// NextWake returns when Wake must be called next, 0 before Start.
func (s *State) NextWake() model.Time {
	if s.probes.indirectProbeAt != 0 {
		return min(s.probes.indirectProbeAt, s.probes.nextProbeAt)
	}
	return s.probes.nextProbeAt
}

// Wake handles all timers that are due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	p := &s.probes
	if p.nextProbeAt == 0 {
		return
	}
	if p.indirectProbeAt != 0 && at >= p.indirectProbeAt {
		p.indirectProbeAt = 0
		s.sendPingRequests(out)
	}
	if at < p.nextProbeAt {
		return
	}
	if delay := at.Sub(p.nextProbeAt); delay > maxProbeDelay {
		s.extendSuspicions(delay)
	}
	s.startRound(at, out)
	p.nextProbeAt = at.Add(probeInterval)
}

// extendSuspicions ends the present probe and extends all suspicions by the
// time for which this process was frozen, since it received no messages in that
// time.
func (s *State) extendSuspicions(delay model.Duration) {
	s.probes.target = ""
	for _, id := range s.order {
		if m := s.members[id]; m.Status == message.MemberSuspect {
			m.statusExpiresAt = m.statusExpiresAt.Add(delay)
		}
	}
}

// startRound ends the previous probe and starts the next one. It also does the
// other work that is due once per probeInterval.
func (s *State) startRound(at model.Time, out *event.Effects) {
	s.endProbe(at, out)
	s.expireStatuses(at, out)
	s.resendLeave(out)
	s.probes.rounds++
	if id := s.nextTarget(); id != "" {
		s.probes.target = id
		s.probes.indirectProbeAt = at.Add(directProbeTimeout)
		s.probes.targetSeq = s.ping(id, out)
	}
	if s.probes.rounds%deadProbeEvery == 0 {
		for _, id := range s.pickRandom(1, func(m *member) bool { return m.Status == message.MemberDead }) {
			s.ping(id, out)
		}
	}
	s.syncNextPage(out)
}

// endProbe marks the target as suspect if the target has not acknowledged the
// probe.
func (s *State) endProbe(at model.Time, out *event.Effects) {
	m := s.members[s.probes.target]
	s.probes.target = ""
	s.probes.indirectProbeAt = 0
	if m == nil || m.Status != message.MemberAlive {
		return
	}
	suspect := m.Member
	suspect.Status = message.MemberSuspect
	s.updateMember(at, m, suspect, out)
	out.Add(event.Log{Code: logevent.MemberSuspected, Fields: []logevent.Field{logevent.F("member", m.ID)}})
}

// expireStatuses declares a suspect dead if it has not refuted the suspicion in
// time. It removes members that have been dead for deadRetention, and relayed
// probes whose deadline has passed.
func (s *State) expireStatuses(at model.Time, out *event.Effects) {
	var expired []model.InstanceID
	for _, id := range s.order {
		m := s.members[id]
		switch {
		case m.Status == message.MemberAlive || at < m.statusExpiresAt:
		case m.Status == message.MemberDead:
			expired = append(expired, id)
		default:
			dead := m.Member
			dead.Status = message.MemberDead
			s.updateMember(at, m, dead, out)
			out.Add(event.Log{Code: logevent.MemberDead, Fields: []logevent.Field{logevent.F("member", id)}})
		}
	}
	for _, id := range expired {
		s.removeMember(id)
	}
	for _, seq := range sortedSeqs(s.probes.relayedProbes) {
		if at >= s.probes.relayedProbes[seq].deadline {
			delete(s.probes.relayedProbes, seq)
		}
	}
}

// sortedSeqs returns the sequence numbers of relayed probes in increasing
// order.
func sortedSeqs(relays map[uint64]relayedProbe) []uint64 {
	list := make([]uint64, 0, len(relays))
	for seq := range relays {
		list = append(list, seq)
	}
	slices.Sort(list)
	return list
}

// suspicionTimeout returns how long a suspect has to refute the suspicion:
// minSuspicionTimeout, or longer with more than about 10 members.
func (s *State) suspicionTimeout() model.Duration {
	return model.Duration(float64(minSuspicionTimeout) * max(1, math.Log10(float64(s.notDeadCount+1))))
}

// nextTarget returns the member to probe. A member whose connection broke comes
// first. Otherwise the target is alternately a member in this zone and a member
// in another zone. Of each of these two groups, all members are probed once
// before any is probed again.
func (s *State) nextTarget() model.InstanceID {
	p := &s.probes
	if id := s.popTarget(&p.urgent); id != "" {
		return id
	}
	inOwnZone := p.rounds%2 == 0
	if id := s.zoneTarget(inOwnZone); id != "" {
		return id
	}
	return s.zoneTarget(!inOwnZone)
}

// zoneTarget returns the next target in this zone or in the other zones. When
// all members of the list have been probed, it makes a new list in random
// order.
func (s *State) zoneTarget(inOwnZone bool) model.InstanceID {
	list := &s.probes.otherZones
	if inOwnZone {
		list = &s.probes.sameZone
	}
	if id := s.popTarget(list); id != "" {
		return id
	}
	*list = s.pickRandom(math.MaxInt, func(m *member) bool {
		return m.Status != message.MemberDead && (m.Zone == s.self.Zone) == inOwnZone
	})
	return s.popTarget(list)
}

// popTarget removes members from the end of the list, up to the first that is
// not dead, and returns that member. It returns "" if there is none.
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

// ping sends a ping and returns its sequence number.
func (s *State) ping(to model.InstanceID, out *event.Effects) uint64 {
	s.probes.lastSeq++
	out.Add(event.Send{To: to, Message: &message.MemberPing{Seq: s.probes.lastSeq, From: s.self, Updates: s.takeUpdates(to)}})
	return s.probes.lastSeq
}

// sendPingRequests asks other members to probe the target: one in the target's
// zone, one in this zone and one in a third zone. A broken path between two
// zones is then not mistaken for a lost instance.
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

// indirectProbersFor returns the members that are asked to probe the target.
func (s *State) indirectProbersFor(target *member) []model.InstanceID {
	isCandidate := func(m *member) bool { return m.Status == message.MemberAlive && m.ID != target.ID }
	var chosen []model.InstanceID
	choose := func(n int, matches func(*member) bool) {
		chosen = append(chosen, s.pickRandom(n, func(m *member) bool {
			return isCandidate(m) && matches(m) && !slices.Contains(chosen, m.ID)
		})...)
	}
	choose(1, func(m *member) bool { return m.Zone == target.Zone })
	choose(1, func(m *member) bool { return m.Zone == s.self.Zone })
	choose(1, func(m *member) bool { return m.Zone != target.Zone && m.Zone != s.self.Zone })
	choose(indirectProbes-len(chosen), func(*member) bool { return true })
	return chosen
}

// receivePing merges the updates of a ping and acknowledges it.
func (s *State) receivePing(at model.Time, m *message.MemberPing, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	s.merge(at, m.From, out)
	// The record of this instance is included in every acknowledgement, even if
	// it is not queued as an update. An instance that has just connected needs
	// this record to complete the hello.
	updates := append([]message.Member{s.self}, s.takeUpdates(m.From.ID)...)
	out.Add(event.Send{To: m.From.ID, Message: &message.MemberAck{Seq: m.Seq, Updates: updates}})
}

// receiveAck ends the probe that was acknowledged. If this instance relayed the
// probe for another instance, it forwards the acknowledgement to that instance.
func (s *State) receiveAck(at model.Time, from model.InstanceID, m *message.MemberAck, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	s.recordLeaveAck(at, from, m.Seq)
	p := &s.probes
	if p.target != "" && m.Seq == p.targetSeq {
		p.target = ""
		p.indirectProbeAt = 0
		return
	}
	if r, ok := p.relayedProbes[m.Seq]; ok {
		delete(p.relayedProbes, m.Seq)
		out.Add(event.Send{To: r.origin, Message: &message.MemberAck{Seq: r.seq, Updates: s.relayedAckUpdates(from, r.origin)}})
	}
}

// relayedAckUpdates returns the updates for the acknowledgement of a relayed
// probe. They contain the record of the probed member, which may refute a
// suspicion.
func (s *State) relayedAckUpdates(target, origin model.InstanceID) []message.Member {
	updates := s.takeUpdates(origin)
	if m := s.members[target]; m != nil {
		updates = append(updates, m.Member)
	}
	return updates
}

// receivePingRequest probes a member on behalf of another instance.
func (s *State) receivePingRequest(at model.Time, from model.InstanceID, m *message.MemberPingRequest, out *event.Effects) {
	s.mergeAll(at, m.Updates, out)
	if s.members[m.Target] == nil || len(s.probes.relayedProbes) >= maxRelayedProbes {
		return
	}
	seq := s.ping(m.Target, out)
	s.probes.relayedProbes[seq] = relayedProbe{origin: from, seq: m.Seq, deadline: at.Add(probeInterval)}
}
