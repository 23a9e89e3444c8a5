package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of ledger messages.
const (
	KindLedgerClaim      Kind = 20
	KindLedgerVote       Kind = 21
	KindLedgerAbandon    Kind = 22
	KindLedgerRecord     Kind = 23
	KindLedgerAck        Kind = 24
	KindLedgerQuery      Kind = 25
	KindLedgerQueryReply Kind = 26
)

func init() {
	register[LedgerClaim](KindLedgerClaim)
	register[LedgerVote](KindLedgerVote)
	register[LedgerAbandon](KindLedgerAbandon)
	register[LedgerRecord](KindLedgerRecord)
	register[LedgerAck](KindLedgerAck)
	register[LedgerQuery](KindLedgerQuery)
	register[LedgerQueryReply](KindLedgerQueryReply)
}

// LedgerClaim asks a replica to grant a key to one claimant.
type LedgerClaim struct {
	Key      string
	Claimant model.Claimant
	Digest   uint64
	// Group is the ledger group the claimant counts votes over. A replica that
	// knows another group for the key does not grant it.
	Group []model.InstanceID
}

// Vote is a replica's answer to a claim.
type Vote uint8

const (
	// VoteGranted gives the key to the claimant and to no other.
	VoteGranted Vote = iota
	// VoteTaken says that another claimant has the key.
	VoteTaken
	// VoteUnknown says that the replica may have forgotten the key.
	VoteUnknown
	// VoteExpired says that the key is older than the retention.
	VoteExpired
	// VoteFuture says that the key was issued too far in the future.
	VoteFuture
)

// LedgerVote answers a LedgerClaim. The fields after Vote are set if it is
// VoteTaken.
type LedgerVote struct {
	Key      string
	Claimant model.Claimant
	Vote     Vote
	Holder   model.Claimant
	Digest   uint64
	// State is KeyRunning or KeyRan.
	State model.KeyState
	// Answer is the recorded answer, nil if it was not kept.
	Answer *model.Answer
}

// LedgerAbandon gives back a key whose claimant provably did not run.
type LedgerAbandon struct {
	Key      string
	Claimant model.Claimant
}

// LedgerRecord stores the outcome of a claimant that ran. A nil answer was not
// kept.
type LedgerRecord struct {
	Key      string
	Claimant model.Claimant
	Digest   uint64
	Answer   *model.Answer
}

// LedgerAck confirms a LedgerAbandon or LedgerRecord.
type LedgerAck struct {
	Claimant model.Claimant
	Recorded bool
}

// LedgerQuery asks what a replica knows of a key.
type LedgerQuery struct {
	Key string
	// Incarnation and Query match the answer to the question.
	Incarnation model.Incarnation
	QueryID     uint64 `cbor:"Query"`
}

// LedgerKnown answers a LedgerQuery.
type LedgerQueryReply struct {
	Incarnation model.Incarnation
	QueryID     uint64 `cbor:"Query"`
	State       model.KeyState
	// Status is the HTTP status of a kept answer, 0 if there is none.
	Status int
}

// Kind implements Message.
func (*LedgerClaim) Kind() Kind { return KindLedgerClaim }

// Kind implements Message.
func (*LedgerVote) Kind() Kind { return KindLedgerVote }

// Kind implements Message.
func (*LedgerAbandon) Kind() Kind { return KindLedgerAbandon }

// Kind implements Message.
func (*LedgerRecord) Kind() Kind { return KindLedgerRecord }

// Kind implements Message.
func (*LedgerAck) Kind() Kind { return KindLedgerAck }

// Kind implements Message.
func (*LedgerQuery) Kind() Kind { return KindLedgerQuery }

// Kind implements Message.
func (*LedgerQueryReply) Kind() Kind { return KindLedgerQueryReply }
