package agreement

import (
	"fmt"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// joinInterval is the time between two join requests of a member to the same
	// instance. A request is repeated because it may be lost or its receiver may
	// not be the leader.
	joinInterval = 500 * time.Millisecond
	// learnerJoinTimeout is the time without a message from a leader after which
	// a learner sends join requests again, since the group may have removed it. It
	// is longer than MaxElectionTimeout.
	learnerJoinTimeout = 1500 * time.Millisecond
	// responsiveTimeout is how long a member counts as responsive after the leader
	// sent the latest message that the member has answered. A responsive member is
	// not replaced by another member of its instance, since the join request of
	// the other member may be a delayed request from a former disk.
	responsiveTimeout = 2 * time.Second
	// memberLossTimeout is how long a member may leave the messages of the leader
	// unanswered before the leader may remove it. It is longer than the restart of
	// a process, and shorter than the time in which the loss of a machine must be
	// made good (4 s).
	memberLossTimeout = 3 * time.Second
)

// quorum returns the number of voters that form a majority.
func (s *State) quorum() int { return len(s.voters)/2 + 1 }

// isVoter reports whether the member list names a member as a voter.
func (s *State) isVoter(id model.MemberID) bool {
	return slices.Contains(s.members, message.GroupMember{ID: id})
}

// quorumMembers returns the members that count towards a quorum. These are the
// voters, unless a test disables the rule that learners do not count.
func (s *State) quorumMembers() []model.MemberID {
	if !s.disabledRules.countLearners {
		return s.voters
	}
	var list []model.MemberID
	for _, m := range s.members {
		list = append(list, m.ID)
	}
	return list
}

// isMember reports whether the member list names a member, as a voter or a
// learner.
func (s *State) isMember(id model.MemberID) bool {
	return slices.ContainsFunc(s.members, func(m message.GroupMember) bool { return m.ID == id })
}

// updateMembers sets the member list to the latest one in the log. A member list
// is in force as soon as it is appended, before it is committed. A leader begins
// to replicate to members that are new in the list.
func (s *State) updateMembers(at model.Time) {
	s.members, s.membersIndex = s.log.lastMembers(s.log.lastIndex())
	s.voters = nil
	for _, m := range s.members {
		if !m.Learner {
			s.voters = append(s.voters, m.ID)
		}
	}
	if s.role != Leader {
		return
	}
	for _, m := range s.members {
		if m.ID != s.self && s.progress[m.ID] == nil {
			s.progress[m.ID] = &progress{nextIndex: s.log.lastIndex() + 1, startedAt: at}
			s.nextHeartbeatAt = at
		}
	}
}

// ownTermCommitted reports whether the leader has committed an entry of its own
// term. All entries of earlier terms in its log are then committed too.
func (s *State) ownTermCommitted() bool {
	term, ok := s.log.term(s.commitIndex)
	return ok && s.commitIndex > 0 && term == s.term
}

// canChangeMembers reports whether this member leads and no membership change is
// in progress. A leader that has committed no entry of its own term must wait: it
// may not know whether a membership change by its predecessor was committed.
func (s *State) canChangeMembers() bool {
	return s.role == Leader && s.ownTermCommitted() && s.membersIndex <= s.commitIndex
}

// proposeMembers appends an entry with a new member list, sorted by identifier,
// to the leader's log.
func (s *State) proposeMembers(at model.Time, list []message.GroupMember, out *event.Effects) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b message.GroupMember) int {
		if a.ID.Less(b.ID) {
			return -1
		}
		return 1
	})
	s.appendAsLeader(at, message.Entry{Kind: message.EntryMembers, Members: list}, out)
	out.Add(event.Log{Code: logevent.AgreementMembers, Fields: []logevent.Field{logevent.F("members", fmt.Sprint(list))}})
}

// withoutMember returns a copy of a member list without the member id.
func withoutMember(list []message.GroupMember, id model.MemberID) []message.GroupMember {
	return slices.DeleteFunc(slices.Clone(list), func(m message.GroupMember) bool { return m.ID == id })
}

// isResponsive reports whether a member has answered a message that the leader
// sent less than responsiveTimeout ago. The leader itself is responsive.
func (s *State) isResponsive(at model.Time, id model.MemberID) bool {
	pr := s.progress[id]
	return id == s.self || pr != nil && pr.lastAckedSentAt != 0 && at < pr.lastAckedSentAt.Add(responsiveTimeout)
}

// canLoseVoter reports whether enough of the other voters answer to form a quorum
// after the voter id is removed.
func (s *State) canLoseVoter(at model.Time, id model.MemberID) bool {
	responsive := 0
	for _, other := range s.voters {
		if other != id && s.isResponsive(at, other) {
			responsive++
		}
	}
	return responsive >= (len(s.voters)-1)/2+1
}

// advanceLearners proposes the next membership change for a learner that has
// caught up. It first removes the former voter of the learner's instance, whose
// disk was lost, and then promotes the learner. In the opposite order, the loss
// of the learner's disk between the two changes would leave two lost voters in
// the member list.
func (s *State) advanceLearners(at model.Time, out *event.Effects) {
	if !s.canChangeMembers() {
		return
	}
	for _, m := range s.members {
		if !m.Learner || !s.isCaughtUp(at, m.ID) {
			continue
		}
		if old, ok := s.voterOf(m.ID.Instance); ok {
			if s.isResponsive(at, old) || len(s.voters) == 1 {
				continue
			}
			s.proposeMembers(at, withoutMember(s.members, old), out)
			return
		}
		s.promoteLearner(at, m.ID, out)
		return
	}
}

// removeLostMember proposes to remove one member that has not answered for
// memberLossTimeout, as long as at least MinVoters voters are left. A machine
// that was replaced never answers again, but would count towards the quorum. A
// member that was removed too early joins again as a learner.
func (s *State) removeLostMember(at model.Time, out *event.Effects) {
	if s.config.MinVoters == 0 || !s.canChangeMembers() {
		return
	}
	for _, m := range s.members {
		pr := s.progress[m.ID]
		if pr == nil || !m.Learner && len(s.voters) <= s.config.MinVoters {
			continue
		}
		silence := at.Sub(max(pr.lastAckedSentAt, pr.startedAt))
		if silence < memberLossTimeout {
			continue
		}
		out.Add(event.Log{Code: logevent.AgreementMemberLost, Fields: []logevent.Field{
			logevent.F("member", fmt.Sprint(m)), logevent.F("silence_ms", silence.Milliseconds()), logevent.F("voters", len(s.voters))}})
		s.proposeMembers(at, withoutMember(s.members, m.ID), out)
		return
	}
}

// promoteLearner proposes that a learner becomes a voter.
func (s *State) promoteLearner(at model.Time, id model.MemberID, out *event.Effects) {
	if match := s.progress[id].matchIndex; !s.checkInvariant(match >= s.commitIndex, "agreement-voter-caught-up",
		fmt.Sprintf("%v counts with %d of %d entries", id, match, s.commitIndex), out) {
		return
	}
	s.proposeMembers(at, append(withoutMember(s.members, id), message.GroupMember{ID: id}), out)
}

// isCaughtUp reports whether a learner is responsive and has synced all committed
// entries.
func (s *State) isCaughtUp(at model.Time, id model.MemberID) bool {
	return s.disabledRules.promoteEarly || s.isResponsive(at, id) && s.progress[id].matchIndex >= s.commitIndex
}

// voterOf returns the voter of an instance, if it has one.
func (s *State) voterOf(instance model.InstanceID) (model.MemberID, bool) {
	for _, id := range s.voters {
		if id.Instance == instance {
			return id, true
		}
	}
	return model.MemberID{}, false
}

// requestJoin sends join requests to the instances that may know a group. It also
// calls bootstrapGroup, since a single bootstrap member receives no replies that
// would lead to this call.
func (s *State) requestJoin(at model.Time, out *event.Effects) {
	s.nextJoinAt = at.Add(joinInterval)
	for _, id := range s.joinTargets() {
		if id != s.config.Instance {
			out.Add(event.Send{To: id, Message: &message.AgreementJoin{Member: s.self}})
		}
	}
	s.bootstrapGroup(at, out)
}

// joinTargets returns the instances that receive join requests: the bootstrap
// members and, with OpenMembership, the connected peers.
func (s *State) joinTargets() []model.InstanceID {
	if !s.config.OpenMembership {
		return s.config.Group
	}
	list := slices.Concat(s.config.Group, s.connectedPeers)
	slices.Sort(list)
	return slices.Compact(list)
}

// isEligible reports whether an instance may become a member. Without
// OpenMembership only the bootstrap members may.
func (s *State) isEligible(id model.InstanceID) bool {
	return s.config.OpenMembership || slices.Contains(s.config.Group, id)
}

// hasEmptyLog reports whether the log has neither entries nor a snapshot. A
// member with an empty log has acknowledged no entry, so no committed entry
// depends on it.
func (s *State) hasEmptyLog() bool { return s.log.lastIndex() == 0 }

// shouldJoin reports whether the member sends join requests while it receives no
// message from a leader: if its log is empty or it is a learner. With
// OpenMembership every member does, since the leader may have removed it without
// its knowledge. Otherwise a voter that was removed from the group sends none.
func (s *State) shouldJoin() bool {
	return s.config.OpenMembership || s.hasEmptyLog() || s.isMember(s.self) && !s.isVoter(s.self)
}

// receiveJoin answers a join request. A leader also proposes to add the requesting
// member as a learner, unless another member of the same instance is still
// responsive. The new learner replaces an earlier learner of the instance.
func (s *State) receiveJoin(at model.Time, from model.InstanceID, m *message.AgreementJoin, out *event.Effects) {
	if m.Member.Instance != from || from == s.config.Instance || !s.isEligible(from) {
		return
	}
	out.Add(event.Send{To: from, Message: &message.AgreementJoinReply{
		Requester: m.Member, Member: s.self, EmptyLog: s.hasEmptyLog()}})
	if !s.canChangeMembers() || s.isMember(m.Member) {
		return
	}
	list := slices.Clone(s.members)
	for _, other := range s.members {
		if other.ID.Instance != from {
			continue
		}
		if s.isResponsive(at, other.ID) {
			return
		}
		if other.Learner {
			list = withoutMember(list, other.ID)
		}
	}
	s.proposeMembers(at, append(list, message.GroupMember{ID: m.Member, Learner: true}), out)
}

// receiveJoinReply records that another bootstrap member has reported an empty
// log. All of them must report one before the group is bootstrapped.
func (s *State) receiveJoinReply(at model.Time, from model.InstanceID, m *message.AgreementJoinReply, out *event.Effects) {
	if m.Requester != s.self || m.Member.Instance != from || !m.EmptyLog || !slices.Contains(s.config.Group, from) {
		return
	}
	s.emptyMembers[from] = m.Member
	s.bootstrapGroup(at, out)
}

// bootstrapGroup starts a new group if this instance has the lowest identifier of
// the bootstrap members, its log is empty and all other bootstrap members have
// reported an empty log. If a group exists already and this instance lost its
// disk, the members of that group do not report an empty log. This instance then
// joins the existing group.
func (s *State) bootstrapGroup(at model.Time, out *event.Effects) {
	if !s.hasEmptyLog() || len(s.config.Group) == 0 || s.config.Group[0] != s.config.Instance || len(s.emptyMembers) != len(s.config.Group)-1 {
		return
	}
	list := []message.GroupMember{{ID: s.self}}
	for _, id := range s.config.Group[1:] {
		list = append(list, message.GroupMember{ID: s.emptyMembers[id]})
	}
	s.group = s.self.Disk
	s.term++
	s.votedFor = s.self
	s.appendAsLeader(at, message.Entry{Kind: message.EntryMembers, Members: list}, out)
	s.outbox.hardStateSeq = s.outbox.issuedSeq
	out.Add(event.Log{Code: logevent.AgreementFounded, Fields: []logevent.Field{logevent.F("members", fmt.Sprint(list))}})
	s.startPreVote(at, out)
}
