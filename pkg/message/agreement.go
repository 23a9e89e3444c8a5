package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of agreement messages, by which the members of the control group replicate
// their log.
const (
	KindAgreementVoteRequest   Kind = 30
	KindAgreementVoteReply     Kind = 31
	KindAgreementAppend        Kind = 32
	KindAgreementAppendReply   Kind = 33
	KindAgreementSnapshot      Kind = 34
	KindAgreementSnapshotReply Kind = 35
	KindAgreementJoin          Kind = 36
	KindAgreementJoinReply     Kind = 37
	KindAgreementRead          Kind = 38
	KindAgreementReadReply     Kind = 39
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
	register[AgreementRead](KindAgreementRead)
	register[AgreementReadReply](KindAgreementReadReply)
}

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// EntryData is an entry with proposed data.
	EntryData EntryKind = iota
	// EntryEmpty is the empty entry that a new leader appends at the start of its
	// term.
	EntryEmpty
	// EntryMembers is an entry that replaces the list of members of the control
	// group.
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

// Snapshot replaces the log entries up to and including Index. Index 0 means that
// there is no snapshot.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []GroupMember
	Data    []byte
}

// AgreementHeader is embedded in every message between members of the control
// group.
type AgreementHeader struct {
	// Group identifies the control group: it is the disk identifier of the member
	// that founded the group. A member drops messages of other groups.
	Group model.DiskID
	From  model.MemberID
	// To identifies the receiver by its instance and its disk. An instance that has
	// lost its disk therefore does not answer messages to its former identity.
	To   model.MemberID
	Term uint64
}

// AgreementVoteRequest asks for a vote in an election.
type AgreementVoteRequest struct {
	AgreementHeader
	// PreVote is true in the pre-vote round before an election. This round checks
	// whether the candidate could win, and changes no term and no vote. The wire key
	// is "Pre".
	PreVote bool `cbor:"Pre"`
	// LastIndex and LastTerm are the index and the term of the last entry in the
	// candidate's log.
	LastIndex uint64
	LastTerm  uint64
}

// AgreementVoteReply answers an AgreementVoteRequest.
type AgreementVoteReply struct {
	AgreementHeader
	PreVote bool `cbor:"Pre"`
	Granted bool
}

// AgreementAppend carries log entries from the leader to another member. Without
// entries it is a heartbeat.
type AgreementAppend struct {
	AgreementHeader
	// PrevIndex and PrevTerm are the index and the term of the log entry before
	// Entries.
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	// CommitIndex is the highest index that the leader knows to be committed. The
	// wire key is "Commit".
	CommitIndex uint64 `cbor:"Commit"`
	// SentAt is the send time on the leader's clock. The reply contains a copy, and
	// the leader extends its lease from this time. The wire key is "Sent".
	SentAt model.Time `cbor:"Sent"`
	// ConfirmsReads is true if the leader accepts AgreementRead. Earlier versions
	// do not.
	ConfirmsReads bool `cbor:"Reads,omitempty"`
}

// AgreementAppendReply answers an AgreementAppend. It also answers an
// AgreementSnapshot if its receiver has the whole snapshot or already has the log
// entries that the snapshot replaces.
type AgreementAppendReply struct {
	AgreementHeader
	// MatchIndex is the highest index up to which the sender's log is synced to disk
	// and is known to equal the leader's log. The wire key is "Match".
	MatchIndex uint64 `cbor:"Match"`
	Rejected   bool
	// RejectHint is the highest index at which the logs of the sender and the leader
	// may match. It is set if Rejected is true. The wire key is "Hint".
	RejectHint uint64 `cbor:"Hint"`
	// SentAt is copied from the message that is answered. The wire key is "Sent".
	SentAt model.Time `cbor:"Sent"`
}

// AgreementSnapshot carries one chunk of a snapshot. Without Data, it is a
// heartbeat that the leader sends during the transfer.
type AgreementSnapshot struct {
	AgreementHeader
	// Index and SnapshotTerm are the index and the term of the last log entry that
	// the snapshot replaces.
	Index        uint64
	SnapshotTerm uint64
	Members      []GroupMember
	// Size is the size of the whole snapshot in bytes.
	Size int
	// Offset is the position of Data in the snapshot.
	Offset int
	Data   []byte
	// SentAt is the send time on the leader's clock. The wire key is "Sent".
	SentAt model.Time `cbor:"Sent"`
}

// AgreementSnapshotReply answers an AgreementSnapshot and asks for the next
// chunk.
type AgreementSnapshotReply struct {
	AgreementHeader
	Index uint64
	// Offset is the number of bytes of the snapshot that were received so far.
	Offset int
	// SentAt is copied from the AgreementSnapshot. The wire key is "Sent".
	SentAt model.Time `cbor:"Sent"`
}

// AgreementRead asks the leader up to which index all committed entries lie, for a
// read that begins now.
type AgreementRead struct {
	AgreementHeader
	// ID identifies the read. The reply contains a copy.
	ID uint64
}

// AgreementReadReply answers an AgreementRead after a majority has confirmed that
// its sender still leads.
type AgreementReadReply struct {
	AgreementHeader
	ID uint64
	// Index is the commit index of the leader when it received the read.
	Index uint64
}

// AgreementJoin asks for admission to the control group. It is sent by a member
// that belongs to no group, and by a member that receives no messages from the
// leader of its group.
type AgreementJoin struct {
	Member model.MemberID
}

// AgreementJoinReply answers an AgreementJoin.
type AgreementJoinReply struct {
	// Requester is the Member of the AgreementJoin. It includes the disk, so that an
	// instance ignores replies to its identity with an earlier disk. The wire key is
	// "Asker".
	Requester model.MemberID `cbor:"Asker"`
	// Member is the member that replies.
	Member model.MemberID
	// EmptyLog is true if the replying member stores no log entries and therefore
	// belongs to no group. The wire key is "Blank".
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

// Kind implements Message.
func (*AgreementRead) Kind() Kind { return KindAgreementRead }

// Kind implements Message.
func (*AgreementReadReply) Kind() Kind { return KindAgreementReadReply }
