package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// RoutedArrived reports a new request whose route is selected by host and path.
// The event does not contain the request body, which the traffic goroutines keep.
type RoutedArrived struct {
	ID model.RequestID
	// Label is the caller's identifier of the request, for logs.
	Label string
	Host  string
	Path  string
	// AffinityKey identifies the object that the request concerns. It is empty if
	// the caller sent no affinity key. Its key in recordings is "Affinity".
	AffinityKey string `cbor:"Affinity"`
	// Timeout is the timeout set by the caller, 0 if the caller set none. Its key in
	// recordings is "Remaining".
	Timeout model.Duration `cbor:"Remaining"`
	// Replayable is true if the whole request body is buffered and can be sent more
	// than once.
	Replayable bool
}

// SendOutcome is the outcome of sending a request to an upstream once.
type SendOutcome uint8

const (
	// SendAnswered means that a complete response to the request is buffered.
	SendAnswered SendOutcome = iota
	// SendStreamed means that the response was streamed to the caller, so the
	// request cannot be sent again.
	SendStreamed
	// SendNotExecuted means that the upstream refused the request without executing
	// it.
	SendNotExecuted
	// SendMisdirected means that the request reached a different upstream, which did
	// not execute it.
	SendMisdirected
	// SendConnectFailed means that no byte of the request was written to the
	// upstream.
	SendConnectFailed
	// SendLost means that no complete response arrived. Whether the request was
	// executed is unknown.
	SendLost
	// SendCanceled means that this instance canceled the send after part of the
	// request was written.
	SendCanceled
)

// String returns the name used in logs.
func (o SendOutcome) String() string {
	return [...]string{"answered", "streamed", "not_executed", "misdirected", "connect_failed", "lost", "canceled"}[o]
}

// SendEnded reports the outcome of sending a request to an upstream once. Each
// Forward effect leads to exactly one SendEnded event.
type SendEnded struct {
	Request model.RequestID
	// Attempt is the number of the attempt, copied from the Forward effect.
	Attempt  int
	Upstream model.UpstreamID
	// UpstreamStartMs is copied from the Forward effect.
	UpstreamStartMs int64
	Outcome         SendOutcome
	// Status is the HTTP status of the response, 0 if no response arrived.
	Status int
	// ResponseTime is the time from the start of writing the request to the end of
	// the response. Its key in recordings is "Took".
	ResponseTime model.Duration `cbor:"Took"`
	// ConnectTime is the time it took to open a new connection, 0 if an open
	// connection was reused. Its key in recordings is "Connect".
	ConnectTime model.Duration `cbor:"Connect"`
	// IdleTime is how long a reused connection was idle before this request, 0 for a
	// new connection. Its key in recordings is "Rested".
	IdleTime model.Duration `cbor:"Rested"`
	// Truncated is true if the response was streamed and its body could not be read
	// completely from the upstream. The key in recordings is "Broken".
	Truncated bool `cbor:"Broken"`
	// Load is the upstream's load report, nil if the response has none.
	Load *model.LoadReport
	// ColdRemaining is how much longer the upstream remains cold, 0 if the response
	// does not contain this value. Its key in recordings is "ColdFor".
	ColdRemaining model.Duration `cbor:"ColdFor"`
	// Responded is true if the header of a response arrived, whether or not its body
	// did. Statement is what the upstream stated in it.
	Responded bool
	Statement model.UpstreamStatement
}

// UpstreamStated reports that an upstream stated in a response that it leaves or
// wants a pause. The event does not wait for the end of the response. The response
// may also be one that no request waits for any more.
type UpstreamStated struct {
	Upstream model.UpstreamID
	// StartMs is the start time, in Unix milliseconds, of the process to which the
	// request was sent.
	StartMs   int64
	Statement model.UpstreamStatement
}

func (RoutedArrived) isBody() {}
func (SendEnded) isBody()     {}

func (UpstreamStated) isBody() {}

// Forward sends a routed request to an upstream.
type Forward struct {
	Request model.RequestID
	// Attempt is the number of the attempt within the request, starting at 1.
	Attempt  int
	Upstream model.UpstreamID
	// UpstreamStartMs is the start time of the process of the upstream in Unix
	// milliseconds.
	UpstreamStartMs int64
	Address         string
	// Deadline is the time by which the response must be complete.
	Deadline model.Time
	// Timeout is the time from the creation of this effect to Deadline.
	Timeout model.Duration
	// MaxConnections is the maximum number of connections from this instance to the
	// upstream.
	MaxConnections int
	// MaxIdleTime is the longest time that a connection may have been idle to be
	// reused, 0 for no limit.
	MaxIdleTime model.Duration
	// BufferLimit is the size, in bytes, of the largest response body that is
	// buffered until it is complete. A larger body is streamed.
	BufferLimit int
}

// Deliver ends a routed request. The caller is sent the buffered response of the
// latest Forward effect; a streamed response has already been sent.
type Deliver struct {
	Request model.RequestID
}

// Reject ends a routed request with a response that this instance generates.
type Reject struct {
	Request model.RequestID
	Code    result.Code
	// RetryAfter is how long the caller should wait before it retries, 0 for no
	// advice.
	RetryAfter model.Duration
}

// CancelSend cancels the send in progress for a request.
type CancelSend struct {
	Request model.RequestID
}

func (Forward) isEffect()    {}
func (Deliver) isEffect()    {}
func (Reject) isEffect()     {}
func (CancelSend) isEffect() {}
