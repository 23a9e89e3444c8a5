package message

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Kinds of permit messages, by which instances grant each other slots of the
// upstreams that they own.
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
	// instances of other regions now. The wire key is "Far".
	FreeCrossRegion int `cbor:"Far"`
	// Waiting is the number of requests that wait for a slot at the sender.
	Waiting int
	// Draining is the number of upstreams that accept no new work.
	Draining int
}

// Availability broadcasts the offers of the sender: the capacity of the upstreams
// that the sender owns. An offer may be out of date and reserves nothing. To use a
// slot, an attempt needs a PermitGrant.
type Availability struct {
	// Seq increases with each Availability message of a process.
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
	// Remaining is the time from the sending of this message to the deadline of the
	// request. The owner counts it from the receipt of the message. The owner
	// therefore never ends the request before its deadline.
	Remaining model.Duration
	// SentAt is the send time on the sender's clock. A PermitGrant contains a copy.
	SentAt model.Time
	// Avoid is an upstream on which an earlier attempt failed, "" for none.
	Avoid model.UpstreamID
	// Shift is the identifier of the traffic shift by which the request is sent to
	// another region, "" if no traffic shift applies.
	Shift string
	// Spill is how far from Zone the upstream may be: one of the model.Spill
	// values.
	Spill string
}

// PermitGrant grants a slot to an attempt. SentAt plus QueueTime is a time on the
// receiver's clock that is never later than the grant. The receiver counts the
// validity of the permit from this time and so needs no synchronized clock.
type PermitGrant struct {
	Attempt model.AttemptID
	// SentAt is copied from the PermitRequest.
	SentAt model.Time
	// QueueTime is the time from the receipt of the PermitRequest to the grant. The
	// wire key is "Waited".
	QueueTime   model.Duration `cbor:"Waited"`
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	Address     string
	Zone        model.Zone
	// MaxConnections is the maximum number of connections from the receiver to the
	// upstream. The wire key is "Connections".
	MaxConnections int `cbor:"Connections"`
}

// PermitRefusal reports that the sender will not grant the attempt a slot.
type PermitRefusal struct {
	Attempt model.AttemptID
	// LimitReached is true if the sender refuses because of a limit on shifted or
	// cross-region requests. It is false for any other reason, such as a full queue.
	LimitReached bool
}

// PermitRelease returns a slot or withdraws a PermitRequest. It is resent until
// a PermitReleaseAck arrives.
type PermitRelease struct {
	Attempt model.AttemptID
	// Observed is what the sender measured during the attempt. The wire key is "Use".
	Observed Observation `cbor:"Use"`
}

// Observation is what the holder of a permit measured during its attempt.
type Observation struct {
	// Latency is the time from dispatch to the response headers, 0 if no response
	// headers arrived.
	Latency model.Duration
	// HoldTime is the time from dispatch to the end of the response, 0 if the
	// response was not complete. The wire key is "Hold".
	HoldTime model.Duration `cbor:"Hold"`
	// Unreachable is true if no connection to the upstream could be established.
	Unreachable bool
	// Incarnation is the process of the upstream that responded, 0 if none did, and
	// Stated is what it stated about itself in its response.
	Incarnation model.Incarnation       `cbor:"Process,omitempty"`
	Stated      model.UpstreamStatement `cbor:"Stated,omitzero"`
}

// PermitReleaseAck acknowledges a PermitRelease.
type PermitReleaseAck struct {
	Attempt model.AttemptID
}

// HandoverRequest asks the former owner of an upstream for the permits that the
// former owner has granted.
type HandoverRequest struct {
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	// Tenure is the number of the sender's present period of ownership of the
	// upstream. The sender ignores a Handover for an earlier period, because the
	// former owner may have granted further permits since.
	Tenure uint64
}

// HeldPermit is an active permit that a former owner granted.
type HeldPermit struct {
	Attempt model.AttemptID
	Holder  model.InstanceID
	// Remaining is the time until the permit expires. The wire key is "Left".
	Remaining model.Duration `cbor:"Left"`
	// CrossRegion is true if the holder is in another region than the owner that
	// granted the permit. The wire key is "Far".
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
