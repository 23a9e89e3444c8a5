package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// RoutedArrived brings a request whose host and path select a route. Its body
// stays with the traffic side.
type RoutedArrived struct {
	ID model.RequestID
	// Label is what the caller calls the request, for logs.
	Label string
	Host  string
	Path  string
	// Affinity names the object that the request concerns, "" if the caller named
	// none.
	AffinityKey string `cbor:"Affinity"`
	// Remaining is how long the caller waits, 0 if it did not say.
	Timeout model.Duration `cbor:"Remaining"`
	// Replayable says that the traffic side holds the whole request body.
	Replayable bool
}

// SendOutcome says how one send to an upstream ended.
type SendOutcome uint8

const (
	// SendAnswered sends have a response that belongs to the request.
	SendAnswered SendOutcome = iota
	// SendStreamed sends were relayed to the caller while they arrived; nothing
	// is left to decide.
	SendStreamed
	// SendNotExecuted sends were refused by the upstream before they ran.
	SendNotExecuted
	// SendMisdirected sends reached another upstream, which ran nothing.
	SendMisdirected
	// SendConnectFailed sends wrote nothing to the upstream.
	SendConnectFailed
	// SendLost sends have no complete response; whether they ran is unknown.
	SendLost
	// SendCanceled sends were ended by this side after they were written.
	SendCanceled
)

// String returns the name used in logs.
func (o SendOutcome) String() string {
	return [...]string{"answered", "streamed", "not_executed", "misdirected", "connect_failed", "lost", "canceled"}[o]
}

// SendEnded reports the end of a Forward effect. Exactly one is sent for each.
type SendEnded struct {
	Request  model.RequestID
	Attempt  int
	Upstream model.UpstreamID
	Outcome  SendOutcome
	Status   int
	// Took is the time from the write of the request to the end of the response.
	ResponseTime model.Duration `cbor:"Took"`
	// Connect is how long a new connection took to open, 0 if none was opened.
	ConnectTime model.Duration `cbor:"Connect"`
	// Rested is how long the connection was unused before, 0 for a new one.
	IdleTime model.Duration `cbor:"Rested"`
	// Broken says that the upstream ended a streamed response before its end.
	Truncated bool `cbor:"Broken"`
	// Load is nil if the response stated none.
	Load *model.LoadReport
	// ColdFor is how much longer the upstream is cold, 0 if it did not say.
	ColdFor model.Duration
}

func (RoutedArrived) isBody() {}
func (SendEnded) isBody()     {}

// Forward sends a routed request to an upstream.
type Forward struct {
	Request  model.RequestID
	Attempt  int
	Upstream model.UpstreamID
	Address  string
	// Until is when the response must be complete.
	Deadline model.Time
	// Remaining is the time given to the upstream.
	Timeout model.Duration
	// Connections bounds this instance's connections to the upstream.
	MaxConnections int
	// MaxRest is how long a kept connection may have rested, 0 for no bound.
	MaxIdleTime model.Duration
	// Hold is how many bytes of a response are held back until it is complete.
	BufferLimit int
}

// Deliver sends the response of the latest Forward effect to the caller.
type Deliver struct {
	Request model.RequestID
}

// Reject ends a routed request with an answer of this instance.
type Reject struct {
	Request model.RequestID
	Code    result.Code
	// RetryAfter is when the caller should come back, 0 for no advice.
	RetryAfter model.Duration
}

// CancelSend ends the send that is in progress for a request.
type CancelSend struct {
	Request model.RequestID
}

func (Forward) isEffect()    {}
func (Deliver) isEffect()    {}
func (Reject) isEffect()     {}
func (CancelSend) isEffect() {}
