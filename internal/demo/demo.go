package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/internal/latency"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Options configures a demo run.
type Options struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	Seed     uint64
	// Progress receives a text line for each injected fault and for the traffic
	// shift; nil discards the lines.
	Progress io.Writer
}

// Report compares the results that callers received with the requests that upstreams
// executed.
type Report struct {
	deployment.Counts
	// MaxConcurrentShifted is the highest number of shifted requests that
	// upstreams executed at the same time. A shifted request is one that the
	// traffic shift sent to another region. The JSON key is "shifted_at_once".
	MaxConcurrentShifted int      `json:"shifted_at_once"`
	Details              []string `json:"details,omitempty"`
	rows                 []serviceRow
}

// serviceRow is the table row with the requests to one service.
type serviceRow struct {
	name               model.ServiceName
	requests, answered int
	totalTime, maxTime time.Duration
}

// Failed reports whether no request was answered, or whether a count that must be 0
// is not 0.
func (r *Report) Failed() bool { return r.Answered == 0 || r.Counts.Failed() }

// WriteTable writes the report as a table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "service\trequests\tanswered\tmean\tworst")
	for _, s := range r.rows {
		mean := time.Duration(0)
		if s.answered > 0 {
			mean = s.totalTime / time.Duration(s.answered)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\n", s.name, s.requests, s.answered, mean.Round(100*time.Microsecond), s.maxTime.Round(100*time.Microsecond))
	}
	fmt.Fprintln(t)
	for _, c := range []struct {
		name  string
		count int
	}{
		{"requests", r.Requests}, {"resent with the same key", r.Resent}, {"concurrent shifted requests", r.MaxConcurrentShifted}, {"answered", r.Answered}, {"rejected, not executed", r.NotExecuted},
		{"outcome unknown", r.OutcomeUnknown}, {"lost", r.Lost}, {"wrong responses", r.WrongResponses},
		{"duplicate executions", r.DuplicateExecutions}, {"falsely reported not executed", r.FalseNotExecuted}, {"truncated responses", r.Truncated},
		{"broken by a fault", r.BrokenByFault}, {"violations", r.Violations},
	} {
		fmt.Fprintf(t, "%s\t%d\n", c.name, c.count)
	}
	for _, d := range r.Details {
		fmt.Fprintf(t, "violation: %s\n", d)
	}
	return t.Flush()
}

const (
	// callersPerZone is the number of callers of each service in each zone.
	callersPerZone = 4
	// startupDelay is the wait before callers send requests, in which instances
	// connect and upstreams register. It is longer than MaxClockSkew because a
	// ledger replica rejects idempotency keys that were issued before the
	// replica had run for MaxClockSkew.
	// for MaxClockSkew.
	startupDelay = model.MaxClockSkew + 300*time.Millisecond
	// thinkTime is the mean pause between the requests of a caller.
	thinkTime = 20 * time.Millisecond
)

// resendInterval determines how often a caller resends requests that have
// idempotency keys: it resends one in resendInterval requests to another instance.
const resendInterval = 5

// Run runs the demo deployment with callers and faults for the given duration, and
// returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	d, err := deployment.Start(plan(o.Seed))
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	time.Sleep(startupDelay)
	fmt.Fprintf(o.Progress, "%d instances, %d upstreams\n", len(d.Instances()), len(d.Upstreams))
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectFaults(ctx, d, o)
	}()
	results := runCallers(ctx, d, o.Seed)
	<-faultsDone
	return newReport(d, results), nil
}

// injectFaults sets a traffic shift after a sixth of the demo's duration, drains an
// upstream after a third, and kills another upstream after two thirds. It records a
// violation if the drained upstream starts a request more than maxDrainDelay after
// its drain.
func injectFaults(ctx context.Context, d *deployment.Deployment, o Options) {
	if !latency.Sleep(ctx, o.Duration/6) {
		return
	}
	if err := setShift(ctx, d); err != nil {
		d.RecordViolation(fmt.Sprintf("shift %s: %v", demoShift.ID, err))
	}
	fmt.Fprintf(o.Progress, "shift of %d%% of %s from %s to %s, cap %d\n", demoShift.Percent, demoShift.Service, demoShift.From, demoShift.To, demoShift.Cap)
	if !latency.Sleep(ctx, o.Duration/6) {
		return
	}
	drained := d.Upstream("catalogue-gulf-a-1")
	drained.Drain()
	drainedAt := time.Now()
	fmt.Fprintf(o.Progress, "drain of %s\n", drained.ID())
	if !latency.Sleep(ctx, o.Duration/3) {
		return
	}
	killed := d.Upstream("catalogue-gulf-b-1")
	d.KillUpstream(killed)
	fmt.Fprintf(o.Progress, "kill of %s\n", killed.ID())
	<-ctx.Done()
	if delay := drained.Stats().LastExecutionStart.Sub(drainedAt); delay > maxDrainDelay {
		d.RecordViolation(fmt.Sprintf("%s started a request %v after its drain", drained.ID(), delay))
	}
}

// maxDrainDelay is how long an upstream may still start requests after it has
// announced its drain. docs/design.md requires this limit.
const maxDrainDelay = 3 * time.Second

// runCallers runs all callers until the context ends and waits until their last
// requests have finished. It returns the results of all requests.
func runCallers(ctx context.Context, d *deployment.Deployment, seed uint64) []deployment.Result {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []deployment.Result
	for i := range d.Plan.Services {
		service := &d.Plan.Services[i]
		for z, zone := range zones {
			for k := range callersPerZone {
				c := fake.NewCaller(fake.CallerOptions{
					Name: fmt.Sprintf("%s-%s-%d", service.Name, zone.Name, k), Zone: zone.Name, Region: zone.Region,
					Seeds: d.AddressesNear(zone.Name, k)})
				rng := rand.New(rand.NewPCG(seed, uint64(z*callersPerZone+k)))
				wg.Add(1)
				caller := &caller{Caller: c, deployment: d, service: service, rng: rng}
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

// newReport compares the results that callers received with the requests that
// upstreams executed. It also checks that no upstream exceeded its slots and that
// the traffic shift did not exceed its cap.
func newReport(d *deployment.Deployment, results []deployment.Result) *Report {
	r := &Report{}
	for i := range d.Plan.Services {
		r.rows = append(r.rows, serviceRow{name: d.Plan.Services[i].Name})
	}
	for i := range results {
		result := &results[i]
		r.Add(result, d.Journal)
		r.rowOf(result.Service).add(result)
	}
	r.AddDuplicateKeys(d.Journal)
	d.CheckSlots()
	r.MaxConcurrentShifted = checkShiftCap(d)
	r.Details = d.Violations()
	r.Violations = len(r.Details)
	return r
}

func (s *serviceRow) add(r *deployment.Result) {
	s.requests++
	if r.Call.Outcome != fake.Answered {
		return
	}
	s.answered++
	s.totalTime += r.ResponseTime
	s.maxTime = max(s.maxTime, r.ResponseTime)
}

func (r *Report) rowOf(name model.ServiceName) *serviceRow {
	for i := range r.rows {
		if r.rows[i].name == name {
			return &r.rows[i]
		}
	}
	return &serviceRow{}
}
