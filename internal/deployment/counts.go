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
	Keyed, Resent bool
	// RanBefore says that a request with the token had begun to run before this
	// one was sent.
	RanBefore bool
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
	// DuplicateRuns counts keys, and requests without one, that ran more than
	// once.
	DuplicateRuns int `json:"duplicate_runs"`
	// Resent counts the requests sent again with the same key.
	Resent      int `json:"resent"`
	FalseNotRun int `json:"false_not_run"`
	CutOff      int `json:"cut_off"`
	// BrokenByFault counts requests that broke because a fault ended the instance
	// or the upstream they were at.
	BrokenByFault int `json:"broken_by_fault"`
	Violations    int `json:"violations"`
	// Codes counts the system's own answers by result code.
	Codes map[string]int `json:"codes,omitempty"`
}

// AddKeys counts the keys that ran more than once.
func (c *Counts) AddKeys(j *fake.Journal) { c.DuplicateRuns += j.DuplicateKeys() }

// Add counts a result and compares it with what ran.
func (c *Counts) Add(r *Result, j *fake.Journal) {
	c.Requests++
	if r.Resent {
		c.Resent++
	}
	if r.Reply.Code != "" {
		if c.Codes == nil {
			c.Codes = map[string]int{}
		}
		c.Codes[r.Reply.Code]++
	}
	if j.Runs(r.Token) > 1 && !r.Idempotent && !r.Keyed {
		c.DuplicateRuns++
	}
	switch r.Reply.Outcome {
	case fake.Answered:
		c.Answered++
	case fake.RefusedNotRun:
		c.RefusedNotRun++
		// A resend at another instance may run after this refusal.
		if r.RanBefore || j.RunsBy(r.Token, r.Instance) > 0 {
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
