package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// RequestArrived brings a new request. Its body stays with the traffic side.
type RequestArrived struct {
	ID      model.RequestID
	Service model.ServiceName
	Tenant  model.Tenant
	Method  string
	// Key is the idempotency key; its Text is empty if the caller sent none.
	Key model.Key
	// Digest covers method, path and body, to detect a key reused for another
	// request.
	Digest uint64
	// Deadline is the time the caller gave, 0 if none.
	Timeout model.Duration `cbor:"Deadline"`
	// Replayable says that the traffic side holds the whole request body and can
	// send it more than once.
	Replayable bool
}

// RequestCanceled says that the caller went away.
type RequestCanceled struct {
	ID model.RequestID
}

// AttemptAnswered reports the response headers of an attempt.
type AttemptAnswered struct {
	Request model.RequestID
	Attempt model.AttemptID
	Status  int
	// Latency is the time from dispatch to the response headers.
	Latency model.Duration
}

// AttemptResult says how an attempt ended.
type AttemptResult uint8

const (
	// Completed attempts delivered the whole response.
	Completed AttemptResult = iota
	// ConnectFailed attempts never had a connection: provably not run.
	ConnectFailed
	// RefusedBeforeRun attempts were refused by the upstream's explicit not-run
	// answer.
	RefusedBeforeExecution
	// LostAfterDispatch attempts lost the connection before the response headers:
	// outcome unknown.
	LostAfterDispatch
	// TimedOut attempts reached the deadline after dispatch: outcome unknown.
	TimedOut
	// Truncated attempts lost the connection within the response body.
	Truncated
	// Canceled attempts were closed by our side; whether they ran is unknown
	// until CancelConfirmed.
	Canceled
)

// AttemptEnded reports the end of an attempt. Exactly one is sent for each
// Dispatch effect.
type AttemptEnded struct {
	Request model.RequestID
	Attempt model.AttemptID
	Result  AttemptResult
	// Relayed is the number of body bytes sent on to the caller.
	RelayedBytes int64 `cbor:"Relayed"`
	// Resumable says that the rest of a truncated response can be asked for: it
	// has a strong entity tag and the upstream accepts byte ranges.
	Resumable bool
	// Answer is the recorded answer of a completed keyed request, nil if it was
	// too large to keep.
	Answer *model.Answer
}

// CancelState is an upstream's answer to a cancellation.
type CancelState uint8

const (
	// CancelUnknown means that the upstream did not answer.
	CancelUnknown CancelState = iota
	// CancelNotRun means that the attempt never ran and never will.
	CancelNotExecuted
	// CancelStopped means that the attempt had begun and no longer holds a slot.
	CancelStopped
	// CancelFinished means that the attempt had ended before.
	CancelFinished
)

// CancelConfirmed brings the upstream's answer to a CancelAttempt effect.
type CancelConfirmed struct {
	Request model.RequestID
	Attempt model.AttemptID
	State   CancelState
}

func (RequestArrived) isBody()  {}
func (RequestCanceled) isBody() {}
func (AttemptAnswered) isBody() {}
func (AttemptEnded) isBody()    {}
func (CancelConfirmed) isBody() {}

// Dispatch sends a request to an upstream. The slot is already held.
type Dispatch struct {
	Request  model.RequestID
	Attempt  model.AttemptID
	Upstream model.UpstreamID
	// Incarnation is the process of the upstream for which the slot is held.
	Incarnation model.Incarnation
	Address     string
	// Region is the upstream's region, to pace bytes on the link.
	Region model.Region
	Class  model.Class
	// StartBy is when the request must have begun to go out; after that, the slot
	// may belong to another owner's count, or the upstream be drained.
	StartBy model.Time
	// Deadline is when the attempt must have ended.
	Deadline model.Time
	// Connections bounds the connections this instance may open to the upstream.
	MaxConnections int
}

// Relay streams the response of an attempt to the caller. Another Relay for the
// same request is given only after a truncated attempt, to send the rest.
type Relay struct {
	Request model.RequestID
	Attempt model.AttemptID
	// Hold is how many bytes of the body are held back until it is whole; 0 sends
	// it as it comes. A longer body begins once it exceeds this.
	BufferLimit int
	// Until is when the response must have ended.
	Deadline model.Time
}

// CancelAttempt closes an attempt's connection and asks the upstream to confirm
// the cancellation.
type CancelAttempt struct {
	Request model.RequestID
	Attempt model.AttemptID
}

// Finish ends a request with a code instead of an upstream's answer.
type Finish struct {
	Request model.RequestID
	Code    result.Code
}

// ReplayAnswer ends a request with the recorded answer of its key.
type ReplayAnswer struct {
	Request model.RequestID
	Answer  model.Answer
}

func (Dispatch) isEffect()      {}
func (Relay) isEffect()         {}
func (CancelAttempt) isEffect() {}
func (Finish) isEffect()        {}
func (ReplayAnswer) isEffect()  {}
