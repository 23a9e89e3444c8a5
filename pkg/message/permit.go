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

// Offer sums up the upstreams of one service and zone that an instance owns.
type Offer struct {
	Service model.ServiceName
	Zone    model.Zone
	// Slots counts the slots of serving upstreams.
	Slots int
	// Free counts those that could be granted now.
	Free int
	// Far counts those that could be granted to another region now.
	FreeCrossRegion int `cbor:"Far"`
	// Waiting counts the requests that wait for a slot at this instance.
	Waiting int
	// Draining counts the upstreams that take no new work.
	Draining int
}

// Availability tells other instances what the sender owns. It is a hint: only
// a grant entitles to a slot.
type Availability struct {
	// Seq orders the hints of one process.
	Seq uint64
	// Stopping instances take over no more upstreams.
	Stopping bool
	Offers   []Offer
}

// PermitRequest asks an owner for a slot.
type PermitRequest struct {
	Attempt model.AttemptID
	Service model.ServiceName
	Zone    model.Zone
	// Remaining is the time to the deadline of the request when this was sent.
	// The owner counts it from the receipt, which is never too early.
	Remaining model.Duration
	// SentAt is on the clock of the sender; the grant returns it.
	SentAt model.Time
	// Avoid is an upstream on which an earlier attempt failed, "" for none.
	Avoid model.UpstreamID
	// Shift is the traffic shift that the request is part of, "" for none.
	Shift string
	// Spill is how far from Zone the upstream may be.
	Spill string
}

// PermitGrant gives a slot to an attempt. SentAt plus Waited is never later
// than the grant on the clock of the receiver, so the receiver can tell how
// long the permit is valid without comparing clocks.
type PermitGrant struct {
	Attempt     model.AttemptID
	SentAt      model.Time
	QueueTime   model.Duration `cbor:"Waited"`
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	Address     string
	Zone        model.Zone
	Connections int
}

// PermitRefusal says that the sender will not grant the attempt a slot.
type PermitRefusal struct {
	Attempt model.AttemptID
	// LimitReached says that the share of a shift or region is used up.
	LimitReached bool
}

// PermitRelease gives a slot back or withdraws a request for one. It is
// repeated until PermitReleased arrives.
type PermitRelease struct {
	Attempt  model.AttemptID
	Observed Observation `cbor:"Use"`
}

// Use is what an attempt showed of its upstream.
type Observation struct {
	// Latency is the time to the response headers, 0 if none came.
	Latency model.Duration
	// Hold is the time to the end of the response, 0 if it was not whole.
	HoldTime model.Duration `cbor:"Hold"`
	// Unreachable says that no connection could be made.
	Unreachable bool
}

// PermitReleased acknowledges a PermitRelease.
type PermitReleaseAck struct {
	Attempt model.AttemptID
}

// HandoverRequest asks the former owner of an upstream for its count.
type HandoverRequest struct {
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	// Tenure identifies the ownership for which the count is asked.
	Tenure uint64
}

// HeldPermit is a permit that a former owner granted.
type HeldPermit struct {
	Attempt model.AttemptID
	Holder  model.InstanceID
	// Left is the time until the permit expires.
	Remaining model.Duration `cbor:"Left"`
	// Far permits are held by an instance of another region than the owner's.
	CrossRegion bool `cbor:"Far"`
}

// Handover passes on the count of an upstream. The sender no longer owns it.
type Handover struct {
	Upstream    model.UpstreamID
	Incarnation model.Incarnation
	Tenure      uint64
	Permits     []HeldPermit
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
