package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of messages between instances with the entry and control roles.
const (
	KindRecords            Kind = 60
	KindRecordsAck         Kind = 61
	KindPeerHeartbeat      Kind = 62
	KindPull               Kind = 63
	KindProposal           Kind = 64
	KindUpstreamHeartbeats Kind = 65
	KindRateDemands        Kind = 66
	KindRateShares         Kind = 67
)

func init() {
	register[Records](KindRecords)
	register[RecordsAck](KindRecordsAck)
	register[PeerHeartbeat](KindPeerHeartbeat)
	register[Pull](KindPull)
	register[Proposal](KindProposal)
	register[UpstreamHeartbeats](KindUpstreamHeartbeats)
	register[RateDemands](KindRateDemands)
	register[RateShares](KindRateShares)
}

// Records carries replicated records. The receiver stores each record that is
// newer than its own version of the record.
type Records struct {
	Items         []model.Item         `cbor:"1,keyasint,omitempty"`
	Evacuations   []model.Evacuation   `cbor:"2,keyasint,omitempty"`
	Registrations []model.Registration `cbor:"3,keyasint,omitempty"`
	// AckID asks the receiver to answer with a RecordsAck that contains this number.
	// 0 asks for no acknowledgement.
	AckID uint64 `cbor:"4,keyasint,omitempty"`
	// Complete is set only in an answer to a Pull. It is true if the sender of the
	// answer has a configuration; an instance that has just started has none and may
	// lack records. After a complete answer, the receiver has every record that the
	// sender of the answer has.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Undecodable is set by the receiver: the number of records that it could not
	// decode and left out.
	Undecodable int `cbor:"6,keyasint,omitempty"`
}

// RecordsAck answers a Records message. It confirms that its sender stores the
// records of that message or newer versions of them, registrations on its disk.
type RecordsAck struct {
	AckID uint64 `cbor:"1,keyasint"`
}

// PeerHeartbeat is sent periodically on every connection between instances.
type PeerHeartbeat struct {
	// Control is true if the sender has the control role.
	Control bool `cbor:"1,keyasint,omitempty"`
	// Ready is true if the sender is an entry instance that accepts new connections
	// from clients.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Subscribe asks the receiver, a control instance, to send every changed record
	// to the sender of the heartbeat.
	Subscribe bool `cbor:"3,keyasint,omitempty"`
	// Digest is a hash of the versions of the records that the sender holds.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// HasConfig is true if the sender has a configuration.
	HasConfig bool `cbor:"5,keyasint,omitempty"`
	// ReadyEntryInstances is the number of ready entry instances from which the
	// sender receives heartbeats. Only control instances set it.
	ReadyEntryInstances int `cbor:"6,keyasint,omitempty"`
	// Addresses are the peer addresses of the control instances that the sender
	// knows. Only some of the heartbeats carry them.
	Addresses []string `cbor:"7,keyasint,omitempty"`
	// Lagging is true if the sender, a control instance, may lack changes that the
	// control group has committed, for example because it is cut off from the
	// leader or its disk has failed.
	Lagging bool `cbor:"8,keyasint,omitempty"`
	// LeaderTerm is the term in which the sender leads the control group, 0 if it
	// does not. The leader accepts RateDemands.
	LeaderTerm uint64 `cbor:"9,keyasint,omitempty"`
	// Intervals is the number of heartbeat intervals until the sender's next heartbeat
	// to the receiver if it is more than one, else 0.
	Intervals int `cbor:"10,keyasint,omitempty"`
	// NotHeard is true if no heartbeat of the receiver has reached the sender for some
	// time. The connection on which the receiver sends is then dead, although this
	// heartbeat arrives: each direction has its own connection.
	NotHeard bool `cbor:"11,keyasint,omitempty"`
}

// Pull asks for all records of the receiver that the sender lacks or has in a
// different version.
type Pull struct {
	// Versions lists the versions of the records that the sender holds.
	Versions []RecordVersion `cbor:"1,keyasint,omitempty"`
}

// Proposal forwards a proposal for the replicated log to the leader.
type Proposal struct {
	Data []byte `cbor:"1,keyasint"`
}

// UpstreamHeartbeats reports from which upstreams the sender, a control instance,
// has received heartbeats since its last message of this type.
type UpstreamHeartbeats struct {
	// Keys identifies the upstreams, each by a hash of the key of its record.
	Keys []uint64 `cbor:"1,keyasint,omitempty"`
}

// RateDemand is the demand of an entry instance for an upstream that states a
// request limit.
type RateDemand struct {
	_ struct{} `cbor:",toarray"`
	// Upstream identifies the process of the upstream by a hash.
	Upstream uint64
	// Limit is the limit that the upstream stated last, in requests per second, 0 if
	// it has ended. StatementAgeMs is how long ago that was, in milliseconds.
	Limit          float64
	StatementAgeMs int64
	// PerSecond is the number of requests per second that the sender has for the
	// upstream.
	PerSecond float64
}

// RateDemands reports the demand of the sender, an entry instance, to the leader
// of the control group.
type RateDemands struct {
	Demands []RateDemand `cbor:"1,keyasint,omitempty"`
}

// RateShare is the share of an entry instance in the request limit of an upstream.
type RateShare struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	// PerSecond is the number of requests per second that the receiver may send.
	PerSecond float64
	// Limit and StatementAgeMs are those of the latest statement that any entry
	// instance has received.
	Limit          float64
	StatementAgeMs int64
}

// RateShares answers RateDemands.
type RateShares struct {
	Shares []RateShare `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*RateDemands) Kind() Kind { return KindRateDemands }

// Kind implements Message.
func (*RateShares) Kind() Kind { return KindRateShares }

// Kind implements Message.
func (*Records) Kind() Kind { return KindRecords }

// Kind implements Message.
func (*RecordsAck) Kind() Kind { return KindRecordsAck }

// Kind implements Message.
func (*PeerHeartbeat) Kind() Kind { return KindPeerHeartbeat }

// Kind implements Message.
func (*Pull) Kind() Kind { return KindPull }

// Kind implements Message.
func (*Proposal) Kind() Kind { return KindProposal }

// Kind implements Message.
func (*UpstreamHeartbeats) Kind() Kind { return KindUpstreamHeartbeats }
