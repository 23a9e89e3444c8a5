package deployment

import (
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Result is one request and what its caller was told.
type Result struct {
	Service  model.ServiceName
	Tenant   model.Tenant
	Region   model.Region
	Instance model.InstanceID
	Token    string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Keyed requests carry an idempotency key; Resent ones were sent before with
	// the same key.
	HasIdempotencyKey, Resent bool
	// RanBefore says that a request with the token had begun to run before this
	// one was sent.
	ExecutedBefore bool
	// Intended is when the request was to be sent, since the start of the load.
	IntendedStart time.Duration
	// Took is the time from the intended start to the end of the answer.
	ResponseTime time.Duration
	Call         fake.CallResult
	// Faulted requests were at an instance or upstream that a fault ended, so
	// that their connections had to break.
	AffectedByFault bool
}

// Counts compares what callers were told with what ran.
type Counts struct {
	Requests       int `json:"requests"`
	Answered       int `json:"answered"`
	NotExecuted    int `json:"refused_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Lost           int `json:"lost"`
	WrongResponses int `json:"wrong_answers"`
	// DuplicateRuns counts keys, and requests without one, that ran more than
	// once.
	DuplicateExecutions int `json:"duplicate_runs"`
	// Resent counts the requests sent again with the same key.
	Resent           int `json:"resent"`
	FalseNotExecuted int `json:"false_not_run"`
	Truncated        int `json:"cut_off"`
	// BrokenByFault counts requests that broke because a fault ended the instance
	// or the upstream they were at.
	BrokenByFault int `json:"broken_by_fault"`
	Violations    int `json:"violations"`
	// Codes counts the system's own answers by result code.
	Codes map[string]int `json:"codes,omitempty"`
}

// AddKeys counts the keys that ran more than once.
func (c *Counts) AddDuplicateKeys(j *fake.Journal) { c.DuplicateExecutions += j.DuplicateKeys() }

// Add counts a result and compares it with what ran.
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
		// A resend at another instance may run after this refusal.
		if r.ExecutedBefore || j.ExecutionsFor(r.Token, r.Instance) > 0 {
			c.FalseNotExecuted++
		}
	case fake.OutcomeUnknown:
		c.OutcomeUnknown++
	case fake.WrongResponse:
		c.WrongResponses++
	case fake.Lost:
		c.addBroken(r, &c.Lost)
	case fake.Truncated:
		c.addBroken(r, &c.Truncated)
	}
}

func (c *Counts) addBroken(r *Result, count *int) {
	if r.AffectedByFault {
		c.BrokenByFault++
		return
	}
	*count++
}

// Failed reports whether anything happened that must never happen.
func (c *Counts) Failed() bool {
	return c.Lost+c.WrongResponses+c.DuplicateExecutions+c.FalseNotExecuted+c.Truncated+c.Violations > 0
}
