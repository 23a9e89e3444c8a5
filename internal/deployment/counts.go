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
	// Intended is when the request was to be sent, since the start of the load.
	Intended time.Duration
	// Took is the time from the intended start to the end of the answer.
	Took  time.Duration
	Reply fake.Reply
	// Faulted requests were at an instance or upstream that a fault ended, so
	// that their connections had to break.
	Faulted bool
}

// Counts compares what callers were told with what ran.
type Counts struct {
	Requests       int `json:"requests"`
	Answered       int `json:"answered"`
	RefusedNotRun  int `json:"refused_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Lost           int `json:"lost"`
	WrongAnswers   int `json:"wrong_answers"`
	DuplicateRuns  int `json:"duplicate_runs"`
	FalseNotRun    int `json:"false_not_run"`
	CutOff         int `json:"cut_off"`
	// BrokenByFault counts requests that broke because a fault ended the instance
	// or the upstream they were at.
	BrokenByFault int `json:"broken_by_fault"`
	Violations    int `json:"violations"`
	// Codes counts the system's own answers by result code.
	Codes map[string]int `json:"codes,omitempty"`
}

// Add counts a result. runs is how often the request ran.
func (c *Counts) Add(r *Result, runs int) {
	c.Requests++
	if r.Reply.Code != "" {
		if c.Codes == nil {
			c.Codes = map[string]int{}
		}
		c.Codes[r.Reply.Code]++
	}
	if runs > 1 && !r.Idempotent {
		c.DuplicateRuns++
	}
	switch r.Reply.Outcome {
	case fake.Answered:
		c.Answered++
	case fake.RefusedNotRun:
		c.RefusedNotRun++
		if runs > 0 {
			c.FalseNotRun++
		}
	case fake.Unknown:
		c.OutcomeUnknown++
	case fake.Wrong:
		c.WrongAnswers++
	case fake.Lost:
		c.addBroken(r, &c.Lost)
	case fake.CutOff:
		c.addBroken(r, &c.CutOff)
	}
}

func (c *Counts) addBroken(r *Result, count *int) {
	if r.Faulted {
		c.BrokenByFault++
		return
	}
	*count++
}

// Failed reports whether anything happened that must never happen.
func (c *Counts) Failed() bool {
	return c.Lost+c.WrongAnswers+c.DuplicateRuns+c.FalseNotRun+c.CutOff+c.Violations > 0
}
