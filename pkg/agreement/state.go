package agreement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// LeaseDuration is the length of a leader's lease. It counts from the time
	// at which the leader sent the latest message that a majority has answered.
	LeaseDuration = 500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a leader to the same
	// member. Five heartbeats fit into a lease, so a few of them may be lost.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElectionTimeout and MaxElectionTimeout bound the randomized election
	// timeout. After a message from a leader, a member refuses votes for
	// MinElectionTimeout. MinElectionTimeout is 100 ms longer than
	// LeaseDuration, to allow for clocks that run at different speeds.
	MinElectionTimeout = 600 * time.Millisecond
	MaxElectionTimeout = 1200 * time.Millisecond
	// MaxEntryBytes bounds the data of one proposal, so that an append request
	// with this entry fits into a message of the codec (4 MiB).
	MaxEntryBytes = 1 << 20
	// MaxSnapshotBytes bounds the data of a snapshot.
	MaxSnapshotBytes = 64 << 20
	// maxUncommittedEntries bounds the uncommitted entries in a leader's log, and
	// so its memory while no majority answers. At the bound the leader rejects
	// proposals.
	maxUncommittedEntries = 4096
)

// Role is the role of a member of the control group in the member's present term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	// PreCandidate is the role of a member that asks the voters whether they would
	// vote for it, before it starts an election.
	PreCandidate
	Candidate
	Leader
)

// Config holds the settings that a member needs before its stored state is
// loaded.
type Config struct {
	Instance model.InstanceID
	// Group lists the bootstrap members. Without OpenMembership these are all
	// instances of the control group. With OpenMembership the list is empty at
	// an instance that joins an existing group.
	Group []model.InstanceID
	// OpenMembership allows instances that are not listed in Group to join the
	// control group. A joining instance sends join requests to the instances in
	// Group and to those set by SetConnectedPeers.
	OpenMembership bool
	// MinVoters is the number of voters down to which a leader removes voters that
	// have stopped answering. 0 means that it removes none. To remain able to
	// commit after the loss of n disks, and to lose no committed entry, a group
	// needs 2n+1 voters.
	MinVoters int
	// Seed initializes the random numbers from which election timeouts are drawn.
	Seed uint64
}

// Position is the place of an entry in the log. Index and Term together identify
// the entry. If an entry with another term is committed at the index of a
// proposal, the proposal was lost.
type Position struct {
	Index uint64
	Term  uint64
}

// Committed is a committed entry, or a snapshot that replaces everything the
// caller has applied so far.
type Committed struct {
	Position
	IsSnapshot bool
	Data       []byte
}

// Status describes a member of the control group at one point in time.
type Status struct {
	Self   model.MemberID
	Role   Role
	Term   uint64
	Leader model.MemberID
	// Current is true at a leader if its lease is valid and it has committed an
	// entry of its term. Its committed entries are then the latest state of the
	// group, since no other leader can have committed later ones.
	Current bool
	// LeaseEnd is when this leader's lease ends unless it is renewed. It is 0 at
	// a member that is not the leader.
	LeaseEnd    model.Time
	Members     []message.GroupMember
	CommitIndex uint64
	LastIndex   uint64
	// SnapshotIndex is the index of the last entry that the log's snapshot
	// covers.
	SnapshotIndex uint64
	// Failure is the storage error after which the member stopped voting, "" if
	// there is none.
	Failure string
}

// State is the state of one member of the control group.
type State struct {
	config Config
	rng    *rand.Rand
	self   model.MemberID
	loaded bool
	// failure is the storage error that made this member inactive, "" if there
	// was none. reopenAt is when the member requests again that the data folder is
	// opened; it is 0 while such a request is open.
	failure  string
	reopenAt model.Time
	// stopped is true after an invariant failed. A stopped member sends no
	// messages.
	stopped bool

	group        model.DiskID
	term         uint64
	votedFor     model.MemberID
	role         Role
	leader       model.MemberID
	grantedVotes map[model.MemberID]bool

	log          entryLog
	commitIndex  uint64
	appliedIndex uint64
	// snapshotPending is true until TakeCommitted has returned the snapshot of
	// the log.
	snapshotPending bool
	// members is the latest member list in the log, committed or not.
	// membersIndex is the index of the entry that holds this list.
	members      []message.GroupMember
	membersIndex uint64
	// voters lists the members that are not learners, in the order of members.
	voters []model.MemberID

	outbox outbox

	// lastLeaderContact is when this member last received a message from the
	// leader of its term, 0 if it has not received one since its start.
	lastLeaderContact model.Time
	// noVoteUntil is the time until which a restarted member refuses votes. The
	// member does not know when it last answered a leader before the restart,
	// so the lease of that leader may still be valid.
	noVoteUntil model.Time
	// leaderCommitIndex is the highest commit index that a leader has stated.
	// behindSince is since when this member has not applied the entries up to it,
	// 0 if it has. caughtUp is true if the member has applied them at some time
	// since its contact to a leader began.
	leaderCommitIndex uint64
	behindSince       model.Time
	caughtUp          bool
	// electionDeadline is when the member starts a pre-vote unless it receives a
	// message from a leader before.
	electionDeadline model.Time
	// leaderlessLogAt is when a failed vote was last logged.
	leaderlessLogAt model.Time
	nextJoinAt      model.Time
	// emptyMembers holds the other bootstrap members that have reported an
	// empty log. The group is bootstrapped only after all of them have reported
	// one.
	emptyMembers map[model.InstanceID]model.MemberID
	// connectedPeers lists the instances with a disk that are connected now.
	// With OpenMembership they receive join requests.
	connectedPeers []model.InstanceID

	electedAt       model.Time
	nextHeartbeatAt model.Time
	progress        map[model.MemberID]*progress
	incoming        incomingSnapshot

	reads reads
	// leaderReads is what the current leader does with reads.
	leaderReads leaderReads

	disabledRules disabledRules
}

// disabledRules disables single rules of the protocol. Only tests set its fields,
// to show that the checks of the tests detect a violation of each rule.
type disabledRules struct {
	sendBeforeSync        bool
	commitWithoutMajority bool
	countLearners         bool
	promoteEarly          bool
	voteTwice             bool
	skipUpToDateCheck     bool
}

// New returns a member that is inactive until Restore is called.
func New(c Config) *State {
	c.Group = slices.Clone(c.Group)
	slices.Sort(c.Group)
	return &State{
		config:       c,
		rng:          rand.New(rand.NewPCG(c.Seed, 0)),
		emptyMembers: map[model.InstanceID]model.MemberID{},
	}
}

// SetConnectedPeers sets the instances with a disk that are connected now. With
// OpenMembership, a joining member sends them join requests.
func (s *State) SetConnectedPeers(list []model.InstanceID) { s.connectedPeers = list }

// storageRetryInterval is the time between a storage failure and the next attempt
// to open the data folder again.
const storageRetryInterval = 500 * time.Millisecond

// Restore activates the member with the state that was read from its disk. The
// next call of TakeCommitted returns the committed entries of this state. After a
// storage failure, Restore activates the member again, and TakeCommitted goes on
// after the last entry that it returned. At an active member Restore does
// nothing.
func (s *State) Restore(at model.Time, l event.StorageLoaded, out *event.Effects) {
	if s.isActive() || s.stopped {
		return
	}
	if l.Failure != "" {
		s.loaded = true
		s.failStorage(at, l.Failure, out)
		return
	}
	appliedIndex := s.appliedIndex
	if detail := s.checkReopened(&l); detail != "" {
		s.failStorage(at, detail, out)
		return
	}
	if s.failure != "" {
		s.reset()
		out.Add(event.Log{Code: logevent.AgreementStorageRecovered, Fields: []logevent.Field{logevent.F("last_index", lastIndexOf(&l))}})
	}
	s.loaded = true
	s.self = model.MemberID{Instance: s.config.Instance, Disk: l.Disk}
	s.group, s.term, s.votedFor = l.Hard.Group, l.Hard.Term, l.Hard.Vote
	s.log = entryLog{snapshot: l.Snapshot, entries: slices.Clip(l.Entries)}
	s.outbox.syncedIndex = s.log.lastIndex()
	s.commitIndex = max(l.Snapshot.Index, min(l.Hard.Commit, s.log.lastIndex()))
	s.outbox.syncedCommitIndex = s.commitIndex
	s.appliedIndex = max(appliedIndex, l.Snapshot.Index)
	s.snapshotPending = l.Snapshot.Index > appliedIndex
	s.updateMembers(at)
	if s.group != "" {
		s.noVoteUntil = at.Add(MinElectionTimeout)
	}
	s.resetElectionTimer(at)
	s.nextJoinAt = at
}

// checkReopened returns why a data folder that was opened again cannot be used, ""
// if it can. It must be the same folder, with all entries that TakeCommitted has
// returned.
func (s *State) checkReopened(l *event.StorageLoaded) string {
	switch {
	case s.self.Disk != "" && s.self.Disk != l.Disk:
		return fmt.Sprintf("the data folder belongs to disk %s instead of %s", l.Disk, s.self.Disk)
	case lastIndexOf(l) < s.appliedIndex:
		return fmt.Sprintf("the data folder ends at entry %d, %d were applied", lastIndexOf(l), s.appliedIndex)
	}
	return ""
}

// lastIndexOf returns the index of the last entry in a data folder.
func lastIndexOf(l *event.StorageLoaded) uint64 { return l.Snapshot.Index + uint64(len(l.Entries)) }

// reset returns the member to its state before the first call of Restore.
func (s *State) reset() {
	fresh := New(s.config)
	fresh.rng, fresh.connectedPeers, fresh.disabledRules = s.rng, s.connectedPeers, s.disabledRules
	*s = *fresh
}

// Propose appends an entry with data to the log if this member leads. It
// returns result.Success if the entry was appended, and another result code if
// nothing was appended. An appended entry may still be lost: TakeCommitted then
// returns another entry at its index, or Status returns a later term.
func (s *State) Propose(at model.Time, data []byte, out *event.Effects) (Position, result.Code) {
	s.checkLease(at, out)
	switch {
	case s.role != Leader:
		return Position{}, result.NotLeader
	case len(data) > MaxEntryBytes:
		return Position{}, result.MalformedChange
	case s.log.lastIndex()-s.commitIndex >= maxUncommittedEntries:
		return Position{}, result.ControlQueueFull
	}
	s.appendAsLeader(at, message.Entry{Kind: message.EntryData, Data: data}, out)
	return Position{Index: s.log.lastIndex(), Term: s.term}, result.Success
}

// Remove proposes to remove a member from the control group. The proposal is
// rejected while another membership change is in progress, if the member is the
// only voter, and while too few of the other voters answer to form a quorum.
func (s *State) Remove(at model.Time, id model.MemberID, out *event.Effects) (Position, result.Code) {
	s.checkLease(at, out)
	switch {
	case s.role != Leader:
		return Position{}, result.NotLeader
	case !s.canChangeMembers():
		return Position{}, result.MembershipBusy
	case !s.isMember(id):
		return Position{}, result.NotFound
	case len(s.voters) == 1 && s.isVoter(id):
		return Position{}, result.InvalidChange
	case s.isVoter(id) && !s.canLoseVoter(at, id):
		return Position{}, result.MembershipBusy
	}
	s.proposeMembers(at, withoutMember(s.members, id), out)
	return Position{Index: s.log.lastIndex(), Term: s.term}, result.Success
}

// TakeCommitted returns the entries committed since the last call, in log
// order. It omits entries without data, such as member lists, so the indexes
// may have gaps. It returns an entry only after the entry and a commit index
// that includes it are synced at this member. After a restart on the same disk
// it therefore returns at least the same entries again.
func (s *State) TakeCommitted() []Committed {
	var list []Committed
	synced := min(s.outbox.syncedCommitIndex, s.outbox.syncedIndex)
	if s.snapshotPending && synced < s.log.snapshot.Index {
		return nil
	}
	if s.snapshotPending {
		s.snapshotPending = false
		snap := &s.log.snapshot
		list = append(list, Committed{Position{snap.Index, snap.Term}, true, snap.Data})
	}
	for s.appliedIndex < synced {
		s.appliedIndex++
		if e := s.log.entry(s.appliedIndex); e.Kind == message.EntryData {
			list = append(list, Committed{Position{e.Index, e.Term}, false, e.Data})
		}
	}
	if s.appliedIndex >= s.leaderCommitIndex && !s.snapshotPending {
		s.behindSince = 0
		s.caughtUp = s.leaderCommitIndex > 0
	}
	return list
}

const (
	// maxLeaderSilence is how long a member that does not lead counts as current
	// without a message from a leader. An election usually takes less.
	maxLeaderSilence = 2 * time.Second
	// maxApplyDelay is how long a member counts as current while it has not applied
	// all entries that the leader has committed.
	maxApplyDelay = 500 * time.Millisecond
)

// IsLagging reports whether the member may lack committed entries: it has failed,
// has no contact to a leader, or has not applied what the leader has committed.
func (s *State) IsLagging(at model.Time) bool {
	switch {
	case !s.isActive():
		return true
	case s.role == Leader:
		return false
	case !s.caughtUp || at > s.lastLeaderContact.Add(maxLeaderSilence):
		return true
	}
	return s.behindSince != 0 && at > s.behindSince.Add(maxApplyDelay)
}

// observeLeaderCommit records the commit index that the leader has stated.
func (s *State) observeLeaderCommit(at model.Time, index uint64) {
	s.leaderCommitIndex = max(s.leaderCommitIndex, index)
	if s.behindSince == 0 && s.appliedIndex < s.leaderCommitIndex {
		s.behindSince = at
	}
}

// Compact replaces the log up to and including index by a snapshot with the given
// data, which must be the caller's state after it applied the entry at index.
// Compact does nothing if TakeCommitted has not returned this entry yet.
func (s *State) Compact(index uint64, data []byte, out *event.Effects) {
	term, ok := s.log.term(index)
	if !ok || index > s.appliedIndex || index <= s.log.snapshot.Index || len(data) > MaxSnapshotBytes || !s.isActive() {
		return
	}
	snap := message.Snapshot{Index: index, Term: term, Members: s.log.membersAt(index), Data: data}
	s.log.compact(snap)
	s.persist(event.Persist{Snapshot: snap, KeepTail: true}, out)
}

// Status describes the member at the given time.
func (s *State) Status(at model.Time) Status {
	st := Status{
		Self: s.self, Role: s.role, Term: s.term, Leader: s.leader, Members: slices.Clone(s.members),
		CommitIndex: s.commitIndex, LastIndex: s.log.lastIndex(), SnapshotIndex: s.log.snapshot.Index, Failure: s.failure,
	}
	if s.role == Leader {
		st.LeaseEnd = s.leaseEnd(at)
		st.Current = at < st.LeaseEnd && s.ownTermCommitted()
	}
	return st
}

// NextWake returns when Wake must be called next, 0 for never.
func (s *State) NextWake() model.Time {
	switch {
	case s.failure != "" && !s.stopped:
		return s.reopenAt
	case !s.isActive():
		return 0
	case s.role == Leader:
		return min(s.nextHeartbeatAt, s.stepDownDeadline(s.nextHeartbeatAt))
	}
	var next model.Time
	if s.isVoter(s.self) {
		next = s.electionDeadline
	}
	if s.shouldJoin() && (next == 0 || s.nextJoinAt < next) {
		next = s.nextJoinAt
	}
	return next
}

// Wake handles all timers that are due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	if s.reopenAt != 0 && at >= s.reopenAt && !s.stopped {
		s.reopenAt = 0
		out.Add(event.ReopenStorage{})
	}
	if !s.isActive() {
		return
	}
	s.checkLease(at, out)
	if s.role == Leader {
		if at >= s.nextHeartbeatAt {
			s.sendHeartbeats(at, out)
			s.removeLostMember(at, out)
		}
		return
	}
	if s.isVoter(s.self) && at >= s.electionDeadline {
		s.startPreVote(at, out)
	}
	if s.shouldJoin() && at >= s.nextJoinAt {
		s.requestJoin(at, out)
	}
}

// isActive reports whether storage is loaded and neither storage nor an
// invariant has failed.
func (s *State) isActive() bool { return s.loaded && s.failure == "" && !s.stopped }

// failStorage makes the member inactive after a storage error. Without storage
// the member would not know after a restart which votes and acknowledgements it
// sent. After a pause the member requests that the data folder is opened again:
// the error may pass, such as that of a full disk.
func (s *State) failStorage(at model.Time, detail string, out *event.Effects) {
	if s.failure != "" {
		if s.reopenAt == 0 {
			s.reopenAt = at.Add(storageRetryInterval)
		}
		return
	}
	s.failure = detail
	s.reopenAt = at.Add(storageRetryInterval)
	s.role = Follower
	s.leader = model.MemberID{}
	s.outbox.queuedMessages = nil
	out.Add(event.Log{Code: logevent.AgreementStorageFailed, Fields: []logevent.Field{logevent.F("error", detail)}})
}

// checkInvariant returns ok, which states whether the named invariant holds. If
// the invariant does not hold, checkInvariant reports the violation and stops the
// member, so that the member sends no state that may be wrong.
func (s *State) checkInvariant(ok bool, name, detail string, out *event.Effects) bool {
	if !ok {
		s.stopped = true
		s.role = Follower
		s.leader = model.MemberID{}
		out.Add(event.InvariantFailed{Name: name, Detail: detail})
	}
	return ok
}

// resetElectionTimer sets the election deadline to a new random election timeout
// from now.
func (s *State) resetElectionTimer(at model.Time) {
	s.electionDeadline = at.Add(MinElectionTimeout + model.Duration(s.rng.Int64N(int64(MaxElectionTimeout-MinElectionTimeout))))
}
