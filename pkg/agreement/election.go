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

// startPreVote asks the voters whether they would vote for this member. It
// changes no member's term, so a member that returns from a partition does not
// depose a working leader.
func (s *State) startPreVote(at model.Time, out *event.Effects) {
	s.logFailedVote(at, out)
	s.role = PreCandidate
	s.requestVotes(at, s.term+1, out)
}

// leaderlessLogInterval is the least time between two log lines of a member
// about votes that ended without a leader.
const leaderlessLogInterval = 2 * time.Second

// logFailedVote logs that the vote that this member requested before did not
// end with a leader.
func (s *State) logFailedVote(at model.Time, out *event.Effects) {
	isVote := s.role == PreCandidate || s.role == Candidate
	if !isVote || at < s.leaderlessLogAt.Add(leaderlessLogInterval) {
		return
	}
	s.leaderlessLogAt = at
	granted := make([]string, 0, len(s.grantedVotes))
	for id := range s.grantedVotes {
		granted = append(granted, string(id.Instance))
	}
	slices.Sort(granted)
	out.Add(event.Log{Code: logevent.AgreementLeaderless, Fields: []logevent.Field{
		logevent.F("term", s.term), logevent.F("voters", len(s.voters)), logevent.F("quorum", s.quorum()),
		logevent.F("granted", granted), logevent.F("own_vote_synced", s.outbox.hardStateSeq <= s.outbox.syncedSeq),
		logevent.F("last_index", s.log.lastIndex())}})
}

// startElection begins an election in a new term, in which the member votes for
// itself. Its own vote counts only after it is synced to disk.
func (s *State) startElection(at model.Time, out *event.Effects) {
	s.role = Candidate
	s.term++
	s.votedFor = s.self
	s.persistHardState(out)
	s.requestVotes(at, s.term, out)
}

// requestVotes sends the other voters a vote request for a term. A pre-candidate
// requests pre-votes.
func (s *State) requestVotes(at model.Time, term uint64, out *event.Effects) {
	s.leader = model.MemberID{}
	s.grantedVotes = map[model.MemberID]bool{}
	s.resetElectionTimer(at)
	for _, id := range s.quorumMembers() {
		if id == s.self {
			continue
		}
		m := &message.AgreementVoteRequest{
			AgreementHeader: s.header(id), PreVote: s.role == PreCandidate,
			LastIndex: s.log.lastIndex(), LastTerm: s.log.lastTerm(),
		}
		m.Term = term
		s.send(0, id.Instance, m, out)
	}
	s.countVotes(at, out)
}

// countVotes counts the granted votes. Once they form a quorum, a pre-candidate
// starts the election, and a candidate becomes the leader.
func (s *State) countVotes(at model.Time, out *event.Effects) {
	granted := 0
	for _, id := range s.quorumMembers() {
		if id == s.self && (s.role == PreCandidate || s.outbox.hardStateSeq <= s.outbox.syncedSeq) || s.grantedVotes[id] {
			granted++
		}
	}
	if granted < s.quorum() {
		return
	}
	switch s.role {
	case PreCandidate:
		s.startElection(at, out)
	case Candidate:
		s.becomeLeader(at, out)
	}
}

// mustRefuseVotes reports whether the member must not vote now. A leader may
// hold a lease, which is valid only while the members that answered the leader
// vote for no other candidate.
func (s *State) mustRefuseVotes(at model.Time) bool {
	if s.role == Leader {
		return true
	}
	return at < s.noVoteUntil || s.lastLeaderContact != 0 && at < s.lastLeaderContact.Add(MinElectionTimeout)
}

// receiveVoteRequest answers a vote request, unless the member must not vote
// now.
func (s *State) receiveVoteRequest(at model.Time, m *message.AgreementVoteRequest, out *event.Effects) {
	if s.mustRefuseVotes(at) {
		return
	}
	if !m.PreVote && m.Term > s.term {
		s.becomeFollower(at, m.Term, out)
	}
	r := &message.AgreementVoteReply{AgreementHeader: s.header(m.From), PreVote: m.PreVote}
	switch {
	case m.PreVote:
		r.Granted = m.Term > s.term && s.isUpToDate(m) && !s.winsPreVoteTie(m)
		if r.Granted {
			r.Term = m.Term
		}
	case m.Term == s.term && s.canVoteFor(m.From) && s.isUpToDate(m):
		r.Granted = true
		if s.votedFor != m.From {
			s.votedFor = m.From
			s.persistHardState(out)
		}
		s.resetElectionTimer(at)
	}
	s.send(0, m.From.Instance, r, out)
}

// canVoteFor reports whether, in its present term, the member has not voted yet
// or has voted for the candidate id.
func (s *State) canVoteFor(id model.MemberID) bool {
	return s.votedFor == id || s.votedFor == (model.MemberID{}) || s.disabledRules.voteTwice
}

// winsPreVoteTie reports whether this member is a pre-candidate and takes
// precedence over another pre-candidate with an equal log. Without this rule, two
// members that start a pre-vote at the same time grant each other the pre-vote
// and then both vote for themselves. Neither is elected before the next election
// timeout: 2 of 200 seeded elections over connections with 55 ms latency missed
// the target of 3 s.
func (s *State) winsPreVoteTie(m *message.AgreementVoteRequest) bool {
	sameLog := m.LastTerm == s.log.lastTerm() && m.LastIndex == s.log.lastIndex()
	return s.role == PreCandidate && sameLog && s.self.Less(m.From)
}

// isUpToDate reports whether the candidate's log is at least as up to date as
// the log of this member.
func (s *State) isUpToDate(m *message.AgreementVoteRequest) bool {
	if s.disabledRules.skipUpToDateCheck {
		return true
	}
	if m.LastTerm != s.log.lastTerm() {
		return m.LastTerm > s.log.lastTerm()
	}
	return m.LastIndex >= s.log.lastIndex()
}

func (s *State) receiveVoteReply(at model.Time, m *message.AgreementVoteReply, out *event.Effects) {
	if !m.Granted {
		if m.Term > s.term {
			s.becomeFollower(at, m.Term, out)
		}
		return
	}
	if m.PreVote && s.role == PreCandidate && m.Term == s.term+1 || !m.PreVote && s.role == Candidate && m.Term == s.term {
		s.grantedVotes[m.From] = true
		s.countVotes(at, out)
	}
}

// becomeFollower makes the member a follower and adopts the term if it is
// higher.
func (s *State) becomeFollower(at model.Time, term uint64, out *event.Effects) {
	if s.role == Leader {
		out.Add(event.Log{Code: logevent.AgreementSteppedDown, Fields: []logevent.Field{logevent.F("term", s.term)}})
	}
	s.role = Follower
	s.leader = model.MemberID{}
	s.progress = nil
	s.reads.confirming = nil
	s.resetElectionTimer(at)
	if term > s.term {
		s.term = term
		s.votedFor = model.MemberID{}
		s.persistHardState(out)
	}
}

// becomeLeader makes the member the leader of its term. It appends an empty
// entry, since entries of earlier terms are committed only together with an
// entry of this term.
func (s *State) becomeLeader(at model.Time, out *event.Effects) {
	if !s.checkInvariant(s.role == Candidate && s.votedFor == s.self, "agreement-leader-voted",
		fmt.Sprintf("term %d led without own vote", s.term), out) {
		return
	}
	s.role = Leader
	s.leader = s.self
	s.electedAt = at
	s.progress = map[model.MemberID]*progress{}
	s.updateMembers(at)
	out.Add(event.Log{Code: logevent.AgreementLeader, Fields: []logevent.Field{logevent.F("term", s.term)}})
	s.appendAsLeader(at, message.Entry{Kind: message.EntryEmpty}, out)
	s.sendHeartbeats(at, out)
}
