package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of permit messages.
const (
	KindAvailability     Kind = 10
	KindPermitRequest    Kind = 11
	KindPermitGrant      Kind = 12
	KindPermitRefusal    Kind = 13
	KindPermitRelease    Kind = 14
	KindPermitReleaseAck Kind = 15
	KindHandoverRequest  Kind = 16
	KindHandover         Kind = 17
)

func init() {
	register[Availability](KindAvailability)
	register[PermitRequest](KindPermitRequest)
	register[PermitGrant](KindPermitGrant)
	register[PermitRefusal](KindPermitRefusal)
	register[PermitRelease](KindPermitRelease)
	register[PermitReleaseAck](KindPermitReleaseAck)
	register[HandoverRequest](KindHandoverRequest)
	register[Handover](KindHandover)
}

// Offer summarizes the capacity of the upstreams that the sender owns in one
// service and zone.
type Offer struct {
	Service model.ServiceName
	Zone    model.Zone
	// Slots is the number of slots of serving upstreams.
	Slots int
	// Free is the number of slots that can be granted now.
	Free int
	// FreeCrossRegion is the number of free slots that can be granted to
	// instances of other regions now.
	FreeCrossRegion int `cbor:"Far"`
	// Waiting is the number of requests that wait for a slot at the sender.
	Waiting int
	// Draining is the number of upstreams that accept no new work.
	Draining int
}

// Availability broadcasts the offers of the sender: the capacity of the upstreams
// that it owns. They may be out of date: an attempt needs a PermitGrant to use a
// slot.
type Availability struct {
	// Seq orders the messages of one process.
	Seq uint64
	// Stopping is true if the sender is stopping and takes ownership of no more
	// upstreams.
	Stopping bool
	Offers   []Offer
}

// PermitRequest asks the owner of upstreams for a slot.
type PermitRequest struct {
	Attempt model.AttemptID
	Service model.ServiceName
	Zone    model.Zone
	// Remaining is the time to the deadline of the request when this message was
	// sent. The owner counts it from the receipt of the message, and so never ends
	// the request before its deadline.
	Remaining model.Duration
	// SentAt is the send time on the sender's clock. The grant returns it.
	SentAt model.Time
	// Avoid is an upstream on which an earlier attempt failed, "" for none.
	Avoid model.UpstreamID
	// Shift is the traffic shift to which the request belongs, "" for none.
	Shift string
	// Spill is how far from Zone the upstream may be: one of the model.Spill
	// values.
	Spill string
}

// PermitGrant grants a slot to an attempt. On the receiver's clock, SentAt plus
// QueueTime is never later than the time of the grant, so the receiver can
// compute how long the permit is valid without comparing clocks.
type PermitGrant struct {
	Attempt model.AttemptID
	// SentAt is copied from the PermitRequest.
	SentAt model.Time
	// QueueTime is the time from the receipt of the request to the grant.
	QueueTime   model.Duration `cbor:"Waited"`
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	Address     string
	Zone        model.Zone
	// MaxConnections is the maximum number of connections from the receiver to the
	// upstream.
	MaxConnections int `cbor:"Connections"`
}

// PermitRefusal reports that the sender will not grant the attempt a slot.
type PermitRefusal struct {
	Attempt model.AttemptID
	// LimitReached is true if the owner's share of a traffic shift or of a region
	// is used up.
	LimitReached bool
}

// PermitRelease returns a slot or withdraws a PermitRequest. It is resent until
// a PermitReleaseAck arrives.
type PermitRelease struct {
	Attempt  model.AttemptID
	Observed Observation `cbor:"Use"`
}

// Observation is what the holder of a permit measured during its attempt.
type Observation struct {
	// Latency is the time from dispatch to the response headers, 0 if none arrived.
	Latency model.Duration
	// HoldTime is the time from dispatch to the end of the response, 0 if the
	// response was not complete.
	HoldTime model.Duration `cbor:"Hold"`
	// Unreachable is true if no connection could be established.
	Unreachable bool
}

// PermitReleaseAck acknowledges a PermitRelease.
type PermitReleaseAck struct {
	Attempt model.AttemptID
}

// HandoverRequest asks the former owner of an upstream for the permits that it
// has granted.
type HandoverRequest struct {
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	// Tenure identifies the period of ownership for which the new owner asks. A
	// Handover for an earlier period may lack grants.
	Tenure uint64
}

// HeldPermit is an active permit that a former owner granted.
type HeldPermit struct {
	Attempt model.AttemptID
	Holder  model.InstanceID
	// Remaining is the time until the permit expires.
	Remaining model.Duration `cbor:"Left"`
	// CrossRegion is true if the holder is in another region than the owner.
	CrossRegion bool `cbor:"Far"`
}

// Handover transfers the active permits of an upstream to its new owner. The
// sender no longer owns the upstream.
type Handover struct {
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	// Tenure is copied from the HandoverRequest.
	Tenure  uint64
	Permits []HeldPermit
}

// Kind implements Message.
func (*Availability) Kind() Kind { return KindAvailability }

// Kind implements Message.
func (*PermitRequest) Kind() Kind { return KindPermitRequest }

// Kind implements Message.
func (*PermitGrant) Kind() Kind { return KindPermitGrant }

// Kind implements Message.
func (*PermitRefusal) Kind() Kind { return KindPermitRefusal }

// Kind implements Message.
func (*PermitRelease) Kind() Kind { return KindPermitRelease }

// Kind implements Message.
func (*PermitReleaseAck) Kind() Kind { return KindPermitReleaseAck }

// Kind implements Message.
func (*HandoverRequest) Kind() Kind { return KindHandoverRequest }

// Kind implements Message.
func (*Handover) Kind() Kind { return KindHandover }
