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
)

func init() {
	register[Records](KindRecords)
	register[RecordsAck](KindRecordsAck)
	register[PeerHeartbeat](KindPeerHeartbeat)
	register[Pull](KindPull)
	register[Proposal](KindProposal)
	register[UpstreamHeartbeats](KindUpstreamHeartbeats)
}

// Records carries replicated records. The receiver keeps each one that is newer
// than its own.
type Records struct {
	Items         []model.Item         `cbor:"1,keyasint,omitempty"`
	Evacuations   []model.Evacuation   `cbor:"2,keyasint,omitempty"`
	Registrations []model.Registration `cbor:"3,keyasint,omitempty"`
	// Ack asks for a RecordsAck with this number, 0 for none.
	AckID uint64 `cbor:"4,keyasint,omitempty"`
	// Complete says that the records are all that the receiver lacked of the
	// sender's, as answers to a Pull are.
	Complete bool `cbor:"5,keyasint,omitempty"`
}

// RecordsAck confirms that the receiver holds the records, or newer ones.
type RecordsAck struct {
	AckID uint64 `cbor:"1,keyasint"`
}

// Pulse is sent at an interval by each instance to those it is linked to.
type PeerHeartbeat struct {
	// Control is set by instances with the control role.
	Control bool `cbor:"1,keyasint,omitempty"`
	// Ready is set by entry instances that take new connections.
	Ready bool `cbor:"2,keyasint,omitempty"`
	// Follow asks a control instance to forward every change.
	Subscribe bool `cbor:"3,keyasint,omitempty"`
	// Digest identifies the records that the sender holds.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Known says that the sender has a configuration.
	HasConfig bool `cbor:"5,keyasint,omitempty"`
	// ReadyEntries is the number of ready entry instances that a control instance
	// hears from.
	ReadyEntries int `cbor:"6,keyasint,omitempty"`
	// Addresses are the link addresses of the control instances that the sender
	// knows. Not every pulse carries them.
	Addresses []string `cbor:"7,keyasint,omitempty"`
}

// RecordVersion identifies one record and its version by hashes.
type RecordVersion struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Version uint64
}

// Pull asks for the records that the receiver holds and the list lacks, in that
// key or version.
type Pull struct {
	Held []RecordVersion `cbor:"1,keyasint,omitempty"`
}

// Proposal carries a proposal for the replicated log to the leader.
type Proposal struct {
	Data []byte `cbor:"1,keyasint"`
}

// Heard lists the upstreams, by key hash, that a control instance has had a
// heartbeat from since its last message of this kind.
type UpstreamHeartbeats struct {
	Keys []uint64 `cbor:"1,keyasint,omitempty"`
}

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
