package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// RequestArrived reports a new request of a caller. The event does not contain the
// request body, which the traffic goroutines keep.
type RequestArrived struct {
	ID      model.RequestID
	Service model.ServiceName
	Tenant  model.Tenant
	Method  string
	// Key is the idempotency key. Its Text is empty if the caller sent no key.
	Key model.IdempotencyKey
	// Digest is a hash of method, path and body. It detects the reuse of an
	// idempotency key for a different request.
	Digest uint64
	// Timeout is the timeout set by the caller, 0 if the caller set none. Its key in
	// recordings is "Deadline".
	Timeout model.Duration `cbor:"Deadline"`
	// Replayable is true if the whole request body is buffered and can be sent more
	// than once.
	Replayable bool
}

// RequestCanceled reports that the caller closed its connection or canceled the
// request.
type RequestCanceled struct {
	ID model.RequestID
}

// AttemptAnswered reports that the response headers of an attempt have arrived.
type AttemptAnswered struct {
	Request model.RequestID
	Attempt model.AttemptID
	Status  int
	// Latency is the time from dispatch to the response headers.
	Latency model.Duration
	// Stated is what the upstream stated in the headers.
	Stated UpstreamStatement
}

// UpstreamStatement is what a process of an upstream stated about itself in a
// response.
type UpstreamStatement struct {
	Incarnation model.Incarnation
	Statement   model.UpstreamStatement
}

// AttemptResult is the result of an attempt.
type AttemptResult uint8

const (
	// Completed means that the whole response was read.
	Completed AttemptResult = iota
	// ConnectFailed means that no byte of the request was written to a connection,
	// so the request was not executed.
	ConnectFailed
	// RefusedBeforeExecution means that the upstream stated in its response that it
	// did not execute the request.
	RefusedBeforeExecution
	// LostAfterDispatch means that the connection was lost after the request was
	// sent and before the response headers arrived. The outcome is unknown.
	LostAfterDispatch
	// TimedOut means that the deadline passed after the request was sent. The
	// outcome is unknown.
	TimedOut
	// Truncated means that the response body is incomplete, or that the response
	// does not continue the part that the caller has already received.
	Truncated
	// Canceled means that this instance closed the attempt. Whether the request was
	// executed is unknown until a CancelConfirmed event.
	Canceled
)

// AttemptEnded reports the end of an attempt. Each Dispatch effect leads to
// exactly one AttemptEnded event.
type AttemptEnded struct {
	Request model.RequestID
	Attempt model.AttemptID
	Result  AttemptResult
	// Stated is set if the upstream refused the request.
	Stated UpstreamStatement
	// RelayedBytes is the number of bytes of the response body that were sent to the
	// caller. Its key in recordings is "Relayed".
	RelayedBytes int64 `cbor:"Relayed"`
	// Resumable is true if a range request can fetch the rest of a truncated
	// response: the response has a strong entity tag, and the upstream accepts byte
	// ranges.
	Resumable bool
	// Answer is the response to record for the idempotency key of a completed
	// request. It is nil if the request has no key or the response is too large to
	// record.
	Answer *model.Answer
}

// CancelState is the state of an attempt that an upstream reports in answer to a
// cancellation.
type CancelState uint8

const (
	// CancelUnknown means that the upstream did not answer or that its answer is
	// invalid.
	CancelUnknown CancelState = iota
	// CancelNotExecuted means that the request was not executed and will not be.
	CancelNotExecuted
	// CancelStopped means that the upstream had started to execute the request, has
	// stopped and no longer uses a slot for it.
	CancelStopped
	// CancelFinished means that the upstream had finished executing the request
	// before the cancellation.
	CancelFinished
)

// CancelConfirmed carries the upstream's answer to a CancelAttempt effect.
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

// Dispatch sends a request to an upstream on which the attempt already holds a
// slot.
type Dispatch struct {
	Request  model.RequestID
	Attempt  model.AttemptID
	Upstream model.UpstreamID
	// Incarnation identifies the process of the upstream to which the slot belongs.
	Incarnation model.Incarnation
	Address     string
	// Region is the upstream's region. The bandwidth limit of the link to this region
	// applies to the attempt.
	Region model.Region
	Class  model.Class
	// StartBy is the latest time to start sending the request, 0 for no limit. After
	// this time, a new owner of the upstream may grant the slot to another request,
	// or the upstream may be drained.
	StartBy model.Time
	// Deadline is the time by which the attempt must end.
	Deadline model.Time
	// MaxConnections is the maximum number of connections from this instance to the
	// upstream.
	MaxConnections int
}

// Relay sends the response of an attempt to the caller. A further Relay for the
// same request occurs only after an attempt whose response was truncated, to send
// the rest of the response.
type Relay struct {
	Request model.RequestID
	Attempt model.AttemptID
	// BufferLimit is the size, in bytes, of the largest response body that is
	// buffered until it is complete. A larger body is streamed as soon as it exceeds
	// the limit. 0 streams every body.
	BufferLimit int
	// Deadline is the time by which the response must end.
	Deadline model.Time
}

// CancelAttempt closes an attempt's connection and asks the upstream to confirm
// the cancellation.
type CancelAttempt struct {
	Request model.RequestID
	Attempt model.AttemptID
}

// Finish ends a request with a result code instead of an upstream's response.
type Finish struct {
	Request model.RequestID
	Code    result.Code
}

// ReplayAnswer ends a request with the response recorded for its idempotency key.
type ReplayAnswer struct {
	Request model.RequestID
	Answer  model.Answer
}

func (Dispatch) isEffect()      {}
func (Relay) isEffect()         {}
func (CancelAttempt) isEffect() {}
func (Finish) isEffect()        {}
func (ReplayAnswer) isEffect()  {}
