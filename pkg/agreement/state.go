package agreement

import (
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
	// Lease is how long a leader may act after a majority last heard from it.
	LeaseDuration = 500 * time.Millisecond
	// Heartbeat is the interval of a leader's messages to each member.
	HeartbeatInterval = 100 * time.Millisecond
	// MinElection and MaxElection bound the randomized election timeout. Members
	// refuse votes for MinElection after hearing from a leader; the 100 ms above
	// Lease allow for clocks that run at different speeds.
	MinElectionTimeout = 600 * time.Millisecond
	MaxElectionTimeout = 1200 * time.Millisecond
	// MaxEntry is the largest data of one proposal, in bytes.
	MaxEntryBytes = 1 << 20
	// MaxSnapshot is the largest snapshot in bytes.
	MaxSnapshotBytes = 64 << 20
	// maxUncommitted bounds the entries that wait for a majority.
	maxUncommittedEntries = 4096
)

// Role is the role of a member in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	// PreCandidate members ask whether an election could succeed.
	PreCandidate
	Candidate
	Leader
)

// Config is what a member knows before it has read its storage.
type Config struct {
	Instance model.InstanceID
	// Group lists the instances of the control group, or only its founders if it
	// is open.
	Group []model.InstanceID
	// Open lets instances outside Group join. They are told of members by
	// Contact. An open group is founded by the instances of Group alone; one that
	// is joined later has an empty Group.
	Open bool
	// Seed starts the generator of election timeouts.
	Seed uint64
}

// Position is the place of an entry in the log. Index and Term together
// identify it: a committed entry with the same index and another term means that
// the proposal was lost.
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

// Status describes a member.
type Status struct {
	Self   model.MemberID
	Role   Role
	Term   uint64
	Leader model.MemberID
	// Current is true on a leader whose lease is valid and which has committed an
	// entry of its own term: what it has applied is the latest state.
	Current bool
	// LeaseUntil is when the lease ends unless it is renewed, 0 on other members.
	LeaseEnd    model.Time
	Members     []message.GroupMember
	CommitIndex uint64
	LastIndex   uint64
	// Snapshot is the index of the snapshot that begins the log.
	SnapshotIndex uint64
	// Failure says why the member has stopped voting, "" if it has not.
	Failure string
}

// State is the state of one member.
type State struct {
	config Config
	rng    *rand.Rand
	self   model.MemberID
	loaded bool
	// failure is why storage cannot be used, "" if it can.
	failure string
	// stopped is set when an invariant failed; the member takes no further part.
	stopped bool

	group  model.DiskID
	term   uint64
	vote   model.MemberID
	role   Role
	leader model.MemberID
	votes  map[model.MemberID]bool

	log          entryLog
	commitIndex  uint64
	appliedIndex uint64
	// snapshotDue says that the caller must be given the snapshot.
	snapshotPending bool
	// members is the latest member list of the log, committed or not.
	members      []message.GroupMember
	membersIndex uint64
	// voters are the members that count in majorities, in the order of members.
	voters []model.MemberID

	outbox outbox

	// heard is when a leader was last heard of.
	lastLeaderContact model.Time
	// quietUntil keeps a restarted member from voting while a lease that it has
	// forgotten may be valid.
	noVoteUntil      model.Time
	electionDeadline model.Time
	nextJoinAt       model.Time
	// blank holds the other members known to be blank, for founding.
	emptyMembers map[model.InstanceID]model.MemberID
	// contacts are the instances that an open group is asked to join at.
	contacts []model.InstanceID

	electedAt       model.Time
	nextHeartbeatAt model.Time
	progress        map[model.MemberID]*progress
	incoming        incomingSnapshot

	faults faults
}

// faults breaks single rules, so that tests show that the checks notice it. No
// code outside the tests sets a field.
type faults struct {
	sendBeforeSync        bool
	commitWithoutMajority bool
	countLearners         bool
	promoteEarly          bool
	voteTwice             bool
	skipUpToDateCheck     bool
}

// New returns a member that takes no part until Restore.
func New(c Config) *State {
	c.Group = slices.Clone(c.Group)
	slices.Sort(c.Group)
	return &State{
		config:       c,
		rng:          rand.New(rand.NewPCG(c.Seed, 0)),
		emptyMembers: map[model.InstanceID]model.MemberID{},
	}
}

// Contact names the instances with a disk that are reachable now. A member
// without entries asks them for admission to an open group.
func (s *State) SetContacts(list []model.InstanceID) { s.contacts = list }

// Restore takes what storage holds. Committed entries follow from Take.
func (s *State) Restore(at model.Time, l event.StorageLoaded, out *event.Effects) {
	if s.loaded {
		return
	}
	s.loaded = true
	s.self = model.MemberID{Instance: s.config.Instance, Disk: l.Disk}
	if l.Failure != "" {
		s.failStorage(l.Failure, out)
		return
	}
	s.group, s.term, s.vote = l.Hard.Group, l.Hard.Term, l.Hard.Vote
	s.log = entryLog{snapshot: l.Snapshot, entries: slices.Clip(l.Entries)}
	s.outbox.syncedIndex = s.log.lastIndex()
	s.commitIndex = max(l.Snapshot.Index, min(l.Hard.Commit, s.log.lastIndex()))
	s.outbox.syncedCommitIndex = s.commitIndex
	s.appliedIndex = l.Snapshot.Index
	s.snapshotPending = l.Snapshot.Index > 0
	s.updateMembers(at)
	if s.group != "" {
		s.noVoteUntil = at.Add(MinElectionTimeout)
	}
	s.resetElectionTimer(at)
	s.nextJoinAt = at
}

// Propose appends data to the log of a leader. The code is result.Answered if
// the entry was appended: it may then still be lost, which shows as another
// entry at its index in Take or as a later term in Status. Any other code means
// that nothing was appended.
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
	return Position{Index: s.log.lastIndex(), Term: s.term}, result.Answered
}

// Remove proposes to remove a member from the group, as the only change in
// progress.
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
	}
	s.proposeMembers(at, withoutMember(s.members, id), out)
	return Position{Index: s.log.lastIndex(), Term: s.term}, result.Answered
}

// Take returns the committed entries since the last call, in log order. Entries
// that only the log itself needs are left out, so indexes may have gaps. An
// entry is returned only when it and the commit index are synced here too: after
// a restart on the same disk Take returns at least as much as before.
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
	return list
}

// Compact replaces the log up to index by a snapshot of the caller's state after
// the entry at index. The index must have been taken; otherwise nothing is done.
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

// NextWake returns when Wake must be called, 0 for never.
func (s *State) NextWake() model.Time {
	switch {
	case !s.isActive():
		return 0
	case s.role == Leader:
		return min(s.nextHeartbeatAt, s.stepDownDeadline(s.nextHeartbeatAt))
	}
	switch {
	case s.isVoter(s.self):
		return s.electionDeadline
	case s.shouldJoin():
		return s.nextJoinAt
	}
	return 0
}

// Wake handles everything that is due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	if !s.isActive() {
		return
	}
	s.checkLease(at, out)
	switch {
	case s.role == Leader:
		if at >= s.nextHeartbeatAt {
			s.sendHeartbeats(at, out)
		}
	case s.isVoter(s.self):
		if at >= s.electionDeadline {
			s.startPreVote(at, out)
		}
	case s.shouldJoin() && at >= s.nextJoinAt:
		s.requestJoin(at, out)
	}
}

// active reports whether the member takes part.
func (s *State) isActive() bool { return s.loaded && s.failure == "" && !s.stopped }

// fail ends the member's part: without storage it can keep no promise.
func (s *State) failStorage(detail string, out *event.Effects) {
	if s.failure != "" {
		return
	}
	s.failure = detail
	s.role = Follower
	s.leader = model.MemberID{}
	s.outbox.queued = nil
	out.Add(event.Log{Code: logevent.AgreementStorageFailed, Fields: []logevent.Field{logevent.F("error", detail)}})
}

// require reports a failed invariant and ends the member's part, so that it
// spreads nothing that may be wrong.
func (s *State) checkInvariant(ok bool, name, detail string, out *event.Effects) bool {
	if !ok {
		s.stopped = true
		s.role = Follower
		s.leader = model.MemberID{}
		out.Add(event.InvariantFailed{Name: name, Detail: detail})
	}
	return ok
}

func (s *State) resetElectionTimer(at model.Time) {
	s.electionDeadline = at.Add(MinElectionTimeout + model.Duration(s.rng.Int64N(int64(MaxElectionTimeout-MinElectionTimeout))))
}
