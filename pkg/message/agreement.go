package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of the messages of the control group.
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

// EntryKind says what a log entry holds.
type EntryKind uint8

const (
	// EntryData entries hold proposed data.
	EntryData EntryKind = iota
	// EntryEmpty entries begin the term of a leader.
	EntryEmpty
	// EntryMembers entries replace the member list.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []GroupMember
}

// GroupMember is one member of the control group.
type GroupMember struct {
	ID model.MemberID
	// Learner members receive the log and count in no majority.
	Learner bool
}

// Snapshot replaces the log up to and including Index. Index 0 means none.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []GroupMember
	Data    []byte
}

// AgreementHeader is part of every message between members.
type AgreementHeader struct {
	// Group is the disk of the member that founded the group. Messages of another
	// group are dropped.
	Group model.DiskID
	From  model.MemberID
	// To includes the disk, so that a member that lost its disk never answers for
	// its former identity.
	To   model.MemberID
	Term uint64
}

// AgreementVote asks for a vote.
type AgreementVoteRequest struct {
	AgreementHeader
	// Pre marks the trial round that precedes an election. It changes no state.
	PreVote   bool `cbor:"Pre"`
	LastIndex uint64
	LastTerm  uint64
}

// AgreementVoteReply answers AgreementVote.
type AgreementVoteReply struct {
	AgreementHeader
	PreVote bool `cbor:"Pre"`
	Granted bool
}

// AgreementAppend carries entries, or none as a heartbeat.
type AgreementAppend struct {
	AgreementHeader
	PrevIndex   uint64
	PrevTerm    uint64
	Entries     []Entry
	CommitIndex uint64 `cbor:"Commit"`
	// Sent is the leader's time. The reply repeats it to renew the lease.
	SentAt model.Time `cbor:"Sent"`
}

// AgreementAppendReply answers AgreementAppend.
type AgreementAppendReply struct {
	AgreementHeader
	// Match is the last synced index known to equal the leader's log.
	MatchIndex uint64 `cbor:"Match"`
	Rejected   bool
	// Hint is the last index that may match, when Rejected.
	RejectHint uint64     `cbor:"Hint"`
	SentAt     model.Time `cbor:"Sent"`
}

// AgreementSnapshot carries one chunk of a snapshot, or no data as a heartbeat
// while a snapshot is on its way.
type AgreementSnapshot struct {
	AgreementHeader
	Index        uint64
	SnapshotTerm uint64
	Members      []GroupMember
	Size         int
	Offset       int
	Data         []byte
	SentAt       model.Time `cbor:"Sent"`
}

// AgreementSnapshotReply asks for the next chunk.
type AgreementSnapshotReply struct {
	AgreementHeader
	Index uint64
	// Offset is the number of bytes received.
	Offset int
	SentAt model.Time `cbor:"Sent"`
}

// AgreementJoin is sent by a member that belongs to no group, or that the
// leader of its group does not reach.
type AgreementJoin struct {
	Member model.MemberID
}

// AgreementJoinReply answers AgreementJoin.
type AgreementJoinReply struct {
	// Asker is the member that asked. It keeps replies to a former disk of the
	// same instance from counting.
	Requester model.MemberID `cbor:"Asker"`
	Member    model.MemberID
	// Blank says that the answering member belongs to no group.
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
