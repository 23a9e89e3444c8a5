package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Options of a demo run.
type Options struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	Seed     uint64
	// Progress takes lines on what happens; nil takes none.
	Progress io.Writer
}

// Report compares what callers were told with what ran.
type Report struct {
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
	Resent      int      `json:"resent"`
	FalseNotRun int      `json:"false_not_run"`
	CutOff      int      `json:"cut_off"`
	Violations  int      `json:"violations"`
	Details     []string `json:"details,omitempty"`
	// Codes counts the system's own answers by result code.
	Codes map[string]int `json:"codes,omitempty"`
	rows  []serviceRow
}

type serviceRow struct {
	name               model.ServiceName
	requests, answered int
	total, worst       time.Duration
}

// Failed reports whether anything happened that must never happen.
func (r *Report) Failed() bool {
	return r.Answered == 0 || r.Lost+r.WrongAnswers+r.DuplicateRuns+r.FalseNotRun+r.CutOff+r.Violations > 0
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "service\trequests\tanswered\tmean\tworst")
	for _, s := range r.rows {
		mean := time.Duration(0)
		if s.answered > 0 {
			mean = s.total / time.Duration(s.answered)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\n", s.name, s.requests, s.answered, mean.Round(100*time.Microsecond), s.worst.Round(100*time.Microsecond))
	}
	fmt.Fprintln(t)
	for _, c := range []struct {
		name  string
		count int
	}{
		{"requests", r.Requests}, {"resent with the same key", r.Resent}, {"answered", r.Answered}, {"refused, not run", r.RefusedNotRun},
		{"outcome unknown", r.OutcomeUnknown}, {"lost", r.Lost}, {"wrong answers", r.WrongAnswers},
		{"duplicate runs", r.DuplicateRuns}, {"false \"not run\"", r.FalseNotRun}, {"cut off", r.CutOff},
		{"violations", r.Violations},
	} {
		fmt.Fprintf(t, "%s\t%d\n", c.name, c.count)
	}
	for _, d := range r.Details {
		fmt.Fprintf(t, "violation: %s\n", d)
	}
	return t.Flush()
}

const (
	// callersEach is the number of callers of each service in each zone.
	callersEach = 4
	// settleTime lets links stand, upstreams announce themselves, and the floor
	// of the ledger pass: replicas that just started grant no key issued within
	// MaxClockSkew of their start.
	settleTime = model.MaxClockSkew + 300*time.Millisecond
	// thinkTime is the mean pause between the requests of a caller.
	thinkTime = 20 * time.Millisecond
)

// sent is one request and what its caller was told.
type sent struct {
	service model.ServiceName
	token   string
	outcome fake.Outcome
	code    string
	took    time.Duration
	repeat  bool // the request may run more than once
	keyed   bool
	resent  bool
	// instance is where the request was sent.
	instance model.InstanceID
	// ranBefore says that a request with the token had begun to run before this
	// one was sent.
	ranBefore bool
}

// Every resendEvery-th keyed request is sent again at another instance, in turn
// at the same time and after the answer.
const resendEvery = 5

// Run runs the demo.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	d, err := start(o.Seed)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	time.Sleep(settleTime)
	fmt.Fprintf(o.Progress, "%d instances, %d upstreams\n", len(d.instances), len(d.upstreams))
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		d.injectFaults(ctx, o)
	}()
	results := d.call(ctx, o.Seed)
	<-faults
	return d.report(results), nil
}

// injectFaults drains an upstream at a third of the time and kills another at
// two thirds.
func (d *deployment) injectFaults(ctx context.Context, o Options) {
	if !pause(ctx, o.Duration/3) {
		return
	}
	drained := d.upstream("catalogue-gulf-a-1")
	drained.Drain()
	at := time.Now()
	fmt.Fprintf(o.Progress, "drain of %s\n", drained.ID())
	if !pause(ctx, o.Duration/3) {
		return
	}
	killed := d.upstream("catalogue-gulf-b-1")
	killed.Kill()
	fmt.Fprintf(o.Progress, "kill of %s\n", killed.ID())
	<-ctx.Done()
	if late := drained.Stats().LastWork.Sub(at); late > maxDrain {
		d.violation(fmt.Sprintf("%s got new work %v after its drain", drained.ID(), late))
	}
}

// maxDrain is how long after its announcement a draining upstream may get work.
const maxDrain = 3 * time.Second

func pause(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}

// call runs the callers until the context ends, and lets their last requests
// finish.
func (d *deployment) call(ctx context.Context, seed uint64) []sent {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []sent
	for _, s := range services {
		for z, zone := range zones {
			for k := range callersEach {
				name := fmt.Sprintf("%s-%s-%d", s.name, zone.Zone, k)
				c := fake.NewCaller(name, zone.Zone, d.addressesFrom(z*instancesEach))
				rng := rand.New(rand.NewPCG(seed, uint64(z*callersEach+k)))
				wg.Add(1)
				caller := &caller{Caller: c, name: name, service: s, journal: d.journal, rng: rng}
				go func() {
					defer wg.Done()
					defer c.Close()
					results := caller.run(ctx)
					mu.Lock()
					all = append(all, results...)
					mu.Unlock()
				}()
			}
		}
	}
	wg.Wait()
	return all
}

func (d *deployment) report(results []sent) *Report {
	r := &Report{Codes: map[string]int{}}
	for _, s := range services {
		r.rows = append(r.rows, serviceRow{name: s.name})
	}
	for _, s := range results {
		r.add(s, d.journal)
	}
	r.DuplicateRuns += d.journal.DuplicateKeys()
	for _, u := range d.upstreams {
		if s := u.Stats(); s.MaxInUse > s.Slots {
			d.violation(fmt.Sprintf("%s had %d requests in %d slots", u.ID(), s.MaxInUse, s.Slots))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Violations = len(d.violations)
	r.Details = d.violations
	return r
}

func (r *Report) add(s sent, journal *fake.Journal) {
	r.Requests++
	if s.resent {
		r.Resent++
	}
	row := r.row(s.service)
	row.requests++
	if s.code != "" {
		r.Codes[s.code]++
	}
	if journal.Runs(s.token) > 1 && !s.repeat && !s.keyed {
		r.DuplicateRuns++
	}
	switch s.outcome {
	case fake.Answered:
		r.Answered++
		row.answered++
		row.total += s.took
		row.worst = max(row.worst, s.took)
	case fake.RefusedNotRun:
		r.RefusedNotRun++
		// A resend at another instance may run after this refusal.
		if s.ranBefore || journal.RunsBy(s.token, s.instance) > 0 {
			r.FalseNotRun++
		}
	case fake.Unknown:
		r.OutcomeUnknown++
	case fake.Lost:
		r.Lost++
	case fake.Wrong:
		r.WrongAnswers++
	case fake.CutOff:
		r.CutOff++
	}
}

func (r *Report) row(name model.ServiceName) *serviceRow {
	for i := range r.rows {
		if r.rows[i].name == name {
			return &r.rows[i]
		}
	}
	return &serviceRow{}
}
