package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of agreement messages.
const (
	KindAgreementVoteRequest   Kind = 30
	KindAgreementVoteReply     Kind = 31
	KindAgreementAppend        Kind = 32
	KindAgreementAppendReply   Kind = 33
	KindAgreementSnapshot      Kind = 34
	KindAgreementSnapshotReply Kind = 35
	KindAgreementJoin          Kind = 36
	KindAgreementJoinReply     Kind = 37
)

func init() {
	register[AgreementVoteRequest](KindAgreementVoteRequest)
	register[AgreementVoteReply](KindAgreementVoteReply)
	register[AgreementAppend](KindAgreementAppend)
	register[AgreementAppendReply](KindAgreementAppendReply)
	register[AgreementSnapshot](KindAgreementSnapshot)
	register[AgreementSnapshotReply](KindAgreementSnapshotReply)
	register[AgreementJoin](KindAgreementJoin)
	register[AgreementJoinReply](KindAgreementJoinReply)
}

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// EntryData is an entry with proposed data.
	EntryData EntryKind = iota
	// EntryEmpty is the empty entry that a new leader appends at the start of its
	// term.
	EntryEmpty
	// EntryMembers is an entry that replaces the member list.
	EntryMembers
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is set if Kind is EntryData.
	Data []byte
	// Members is set if Kind is EntryMembers.
	Members []GroupMember
}

// GroupMember is a member of the control group.
type GroupMember struct {
	ID model.MemberID
	// Learner is true for a member that receives the log but does not vote and
	// counts in no majority.
	Learner bool
}

// Snapshot replaces the log up to and including Index. Index 0 means that there
// is no snapshot.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []GroupMember
	Data    []byte
}

// AgreementHeader is embedded in every message between members of the control
// group.
type AgreementHeader struct {
	// Group identifies the control group by the disk of the member that founded
	// it. Members drop messages of another group.
	Group model.DiskID
	From  model.MemberID
	// To identifies the receiver including its disk. A member that has lost its disk
	// therefore does not answer messages to its former identity.
	To   model.MemberID
	Term uint64
}

// AgreementVoteRequest asks for a vote in an election.
type AgreementVoteRequest struct {
	AgreementHeader
	// PreVote is true in the round before an election. This round checks whether the
	// candidate could win, and changes no term and no vote.
	PreVote bool `cbor:"Pre"`
	// LastIndex and LastTerm are those of the last entry of the candidate's log.
	LastIndex uint64
	LastTerm  uint64
}

// AgreementVoteReply answers an AgreementVoteRequest.
type AgreementVoteReply struct {
	AgreementHeader
	PreVote bool `cbor:"Pre"`
	Granted bool
}

// AgreementAppend replicates entries. It is a heartbeat if it has none.
type AgreementAppend struct {
	AgreementHeader
	// PrevIndex and PrevTerm are those of the entry before Entries.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	// CommitIndex is the highest index that the leader knows to be committed.
	CommitIndex uint64 `cbor:"Commit"`
	// SentAt is the send time on the leader's clock. The reply contains a copy, from
	// which the leader renews its lease.
	SentAt model.Time `cbor:"Sent"`
}

// AgreementAppendReply answers an AgreementAppend. It also answers an
// AgreementSnapshot if its receiver has the whole snapshot or already has the log
// entries that the snapshot replaces.
type AgreementAppendReply struct {
	AgreementHeader
	// MatchIndex is the highest synced index up to which the log is known to equal
	// the leader's.
	MatchIndex uint64 `cbor:"Match"`
	Rejected   bool
	// RejectHint is the highest index at which the logs may match, set if Rejected
	// is true.
	RejectHint uint64 `cbor:"Hint"`
	// SentAt is copied from the message that is answered.
	SentAt model.Time `cbor:"Sent"`
}

// AgreementSnapshot carries one chunk of a snapshot. Without data it is a
// heartbeat during the transfer of a snapshot.
type AgreementSnapshot struct {
	AgreementHeader
	// Index and SnapshotTerm are those of the last entry that the snapshot
	// replaces.
	Index        uint64
	SnapshotTerm uint64
	Members      []GroupMember
	// Size is the size of the whole snapshot in bytes.
	Size int
	// Offset is the position of Data in the snapshot.
	Offset int
	Data   []byte
	SentAt model.Time `cbor:"Sent"`
}

// AgreementSnapshotReply answers an AgreementSnapshot and asks for the next
// chunk.
type AgreementSnapshotReply struct {
	AgreementHeader
	Index uint64
	// Offset is the number of bytes received so far.
	Offset int
	// SentAt is copied from the AgreementSnapshot.
	SentAt model.Time `cbor:"Sent"`
}

// AgreementJoin asks for admission to the control group. It is sent by a member
// that belongs to no group, or that the leader of its group does not reach.
type AgreementJoin struct {
	Member model.MemberID
}

// AgreementJoinReply answers an AgreementJoin.
type AgreementJoinReply struct {
	// Requester is copied from the AgreementJoin. It includes the disk, so that a
	// member ignores replies to a former identity of its instance.
	Requester model.MemberID `cbor:"Asker"`
	// Member is the member that replies.
	Member model.MemberID
	// EmptyLog is true if the replying member holds no log entries, and so
	// belongs to no group.
	EmptyLog bool `cbor:"Blank"`
}

// Kind implements Message.
func (*AgreementVoteRequest) Kind() Kind { return KindAgreementVoteRequest }

// Kind implements Message.
func (*AgreementVoteReply) Kind() Kind { return KindAgreementVoteReply }

// Kind implements Message.
func (*AgreementAppend) Kind() Kind { return KindAgreementAppend }

// Kind implements Message.
func (*AgreementAppendReply) Kind() Kind { return KindAgreementAppendReply }

// Kind implements Message.
func (*AgreementSnapshot) Kind() Kind { return KindAgreementSnapshot }

// Kind implements Message.
func (*AgreementSnapshotReply) Kind() Kind { return KindAgreementSnapshotReply }

// Kind implements Message.
func (*AgreementJoin) Kind() Kind { return KindAgreementJoin }

// Kind implements Message.
func (*AgreementJoinReply) Kind() Kind { return KindAgreementJoinReply }
