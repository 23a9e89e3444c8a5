package deployment

import (
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Result is one request and the result that its caller received.
type Result struct {
	Service  model.ServiceName
	Tenant   model.Tenant
	Region   model.Region
	Instance model.InstanceID
	Token    string
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// HasIdempotencyKey is set if the request carried an idempotency key.
	// Resent is set if an earlier request was sent with the same key.
	HasIdempotencyKey, Resent bool
	// ExecutedBefore is set if a request with the same token had begun to be
	// executed before this request was sent.
	ExecutedBefore bool
	// IntendedStart is when the request should have been sent, relative to the
	// start of the load.
	IntendedStart time.Duration
	// ResponseTime is the time from the intended start to the end of the
	// response.
	ResponseTime time.Duration
	// Call is the result that the caller received.
	Call fake.CallResult
	// AffectedByFault is set if an injected fault ended the instance or upstream
	// that handled the request, so that a broken connection is expected.
	AffectedByFault bool
}

// Counts counts requests by the result that their callers received, and counts
// the cases in which a result contradicts the executions at upstreams.
type Counts struct {
	Requests       int `json:"requests"`
	Answered       int `json:"answered"`
	NotExecuted    int `json:"refused_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Lost           int `json:"lost"`
	WrongResponses int `json:"wrong_answers"`
	// DuplicateExecutions counts the idempotency keys whose request was
	// executed more than once, and the non-idempotent requests without a key
	// that were executed more than once.
	DuplicateExecutions int `json:"duplicate_runs"`
	// Resent counts the requests that were resent with the same key.
	Resent int `json:"resent"`
	// FalseNotExecuted counts the requests that were rejected as not executed
	// although they were executed.
	FalseNotExecuted int `json:"false_not_run"`
	Truncated        int `json:"cut_off"`
	// BrokenByFault counts the requests whose connection broke because an
	// injected fault ended the instance or the upstream.
	BrokenByFault int `json:"broken_by_fault"`
	Violations    int `json:"violations"`
	// Codes counts the responses that instances produced themselves, by result
	// code.
	Codes map[string]int `json:"codes,omitempty"`
}

// AddDuplicateKeys adds to DuplicateExecutions the number of idempotency keys
// whose request was executed more than once.
func (c *Counts) AddDuplicateKeys(j *fake.Journal) { c.DuplicateExecutions += j.DuplicateKeys() }

// Add counts a result and compares it with the recorded executions.
func (c *Counts) Add(r *Result, j *fake.Journal) {
	c.Requests++
	if r.Resent {
		c.Resent++
	}
	if r.Call.Code != "" {
		if c.Codes == nil {
			c.Codes = map[string]int{}
		}
		c.Codes[r.Call.Code]++
	}
	if j.Executions(r.Token) > 1 && !r.Idempotent && !r.HasIdempotencyKey {
		c.DuplicateExecutions++
	}
	switch r.Call.Outcome {
	case fake.Answered:
		c.Answered++
	case fake.NotExecuted:
		c.NotExecuted++
		// Only executions of requests from the same instance count: a resend to
		// another instance may be executed after this rejection.
		if r.ExecutedBefore || j.ExecutionsFor(r.Token, r.Instance) > 0 {
			c.FalseNotExecuted++
		}
	case fake.OutcomeUnknown:
		c.OutcomeUnknown++
	case fake.WrongResponse:
		c.WrongResponses++
	case fake.Lost:
		c.addBrokenConnection(r, &c.Lost)
	case fake.Truncated:
		c.addBrokenConnection(r, &c.Truncated)
	}
}

// addBrokenConnection counts a broken connection: it increments BrokenByFault if
// a fault explains the connection's end, otherwise *count.
func (c *Counts) addBrokenConnection(r *Result, count *int) {
	if r.AffectedByFault {
		c.BrokenByFault++
		return
	}
	*count++
}

// Failed reports whether any count of forbidden results is above zero.
func (c *Counts) Failed() bool {
	return c.Lost+c.WrongResponses+c.DuplicateExecutions+c.FalseNotExecuted+c.Truncated+c.Violations > 0
}
