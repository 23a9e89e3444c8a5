package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of ledger messages, by which instances grant idempotency keys to requests
// and record the outcomes.
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

// LedgerClaim asks a ledger replica to grant an idempotency key to a claimant.
type LedgerClaim struct {
	Key      string
	Claimant model.Claimant
	// Digest is a hash of the content of the request. It detects a key that is
	// reused for a different request.
	Digest uint64
	// Group lists the replicas whose votes the claimant counts. A replica whose
	// configuration has a different group for the key does not grant the claim.
	Group []model.InstanceID
}

// Vote is the decision of a replica on a claim.
type Vote uint8

const (
	// VoteGranted means that the replica grants the key to this claimant only.
	VoteGranted Vote = iota
	// VoteHeldByOther means that another claimant holds the key.
	VoteHeldByOther
	// VoteUnknown means that the replica may have forgotten an earlier claim of
	// the key, or knows a different replica group for it.
	VoteUnknown
	// VoteExpired means that the key was issued more than model.KeyRetention ago.
	VoteExpired
	// VoteFuture means that the issue time of the key is more than
	// model.MaxClockSkew in the future.
	VoteFuture
)

// LedgerVote answers a LedgerClaim. Holder, Digest, State and Answer are set
// only if Vote is VoteHeldByOther.
type LedgerVote struct {
	Key      string
	Claimant model.Claimant
	Vote     Vote
	// Holder is the claimant that holds the key.
	Holder model.Claimant
	// Digest is a hash of the content of the holder's request.
	Digest uint64
	// State is the state of the holder's request: KeyRunning or KeyExecuted.
	State model.KeyState
	// Answer is the recorded answer to the holder's request, nil if none is stored.
	Answer *model.Answer
}

// LedgerAbandon releases a key, because the claimant's request was provably not
// executed.
type LedgerAbandon struct {
	Key      string
	Claimant model.Claimant
}

// LedgerRecord stores the outcome of the claimant's request, which was executed.
// Answer is nil if the answer is not to be stored.
type LedgerRecord struct {
	Key      string
	Claimant model.Claimant
	Digest   uint64
	Answer   *model.Answer
}

// LedgerAck acknowledges a LedgerAbandon or a LedgerRecord.
type LedgerAck struct {
	Claimant model.Claimant
	// Recorded is true if the acknowledged message is a LedgerRecord.
	Recorded bool
}

// LedgerQuery asks a replica for the state of a key.
type LedgerQuery struct {
	Key string
	// Incarnation identifies the process that sends the query. The reply contains
	// copies of Incarnation and QueryID, by which this process finds the query.
	Incarnation model.Incarnation
	QueryID     uint64 `cbor:"Query"`
}

// LedgerQueryReply answers a LedgerQuery.
type LedgerQueryReply struct {
	Incarnation model.Incarnation
	QueryID     uint64 `cbor:"Query"`
	State       model.KeyState
	// Status is the HTTP status of the recorded answer, 0 if no answer is stored.
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
