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
	deployment.Counts
	// ShiftedAtOnce is the most requests of the shift that ran at once.
	MaxConcurrentShifted int      `json:"shifted_at_once"`
	Details              []string `json:"details,omitempty"`
	rows                 []serviceRow
}

type serviceRow struct {
	name               model.ServiceName
	requests, answered int
	total, worst       time.Duration
}

// Failed reports whether anything happened that must never happen.
func (r *Report) Failed() bool { return r.Answered == 0 || r.Counts.Failed() }

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
		{"requests", r.Requests}, {"resent with the same key", r.Resent}, {"shifted at once", r.MaxConcurrentShifted}, {"answered", r.Answered}, {"refused, not run", r.NotExecuted},
		{"outcome unknown", r.OutcomeUnknown}, {"lost", r.Lost}, {"wrong answers", r.WrongResponses},
		{"duplicate runs", r.DuplicateExecutions}, {"false \"not run\"", r.FalseNotExecuted}, {"cut off", r.Truncated},
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
	// callersEach is the number of callers of each service in each zone.
	callersEach = 4
	// settleTime lets links stand, upstreams announce themselves, and the floor
	// of the ledger pass: replicas that just started grant no key issued within
	// MaxClockSkew of their start.
	settleTime = model.MaxClockSkew + 300*time.Millisecond
	// thinkTime is the mean pause between the requests of a caller.
	thinkTime = 20 * time.Millisecond
)

// Every resendEvery-th keyed request is sent again at another instance, in turn
// at the same time and after the answer.
const resendEvery = 5

// Run runs the demo.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	d, err := deployment.Start(plan(o.Seed))
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	time.Sleep(settleTime)
	fmt.Fprintf(o.Progress, "%d instances, %d upstreams\n", len(d.Instances()), len(d.Upstreams))
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		injectFaults(ctx, d, o)
	}()
	results := runCallers(ctx, d, o.Seed)
	<-faults
	return report(d, results), nil
}

// injectFaults shifts traffic at a sixth of the time, drains an upstream at a
// third and kills another at two thirds.
func injectFaults(ctx context.Context, d *deployment.Deployment, o Options) {
	if !latency.Sleep(ctx, o.Duration/6) {
		return
	}
	if err := shiftTraffic(ctx, d); err != nil {
		d.RecordViolation(fmt.Sprintf("shift %s: %v", shift.ID, err))
	}
	fmt.Fprintf(o.Progress, "shift of %d%% of %s from %s to %s, cap %d\n", shift.Percent, shift.Service, shift.From, shift.To, shift.Cap)
	if !latency.Sleep(ctx, o.Duration/6) {
		return
	}
	drained := d.Upstream("catalogue-gulf-a-1")
	drained.Drain()
	at := time.Now()
	fmt.Fprintf(o.Progress, "drain of %s\n", drained.ID())
	if !latency.Sleep(ctx, o.Duration/3) {
		return
	}
	killed := d.Upstream("catalogue-gulf-b-1")
	d.KillUpstream(killed)
	fmt.Fprintf(o.Progress, "kill of %s\n", killed.ID())
	<-ctx.Done()
	if late := drained.Stats().LastExecutionStart.Sub(at); late > maxDrain {
		d.RecordViolation(fmt.Sprintf("%s got new work %v after its drain", drained.ID(), late))
	}
}

// maxDrain is how long after its announcement a draining upstream may get work.
const maxDrain = 3 * time.Second

// runCallers runs the callers until the context ends, and lets their last requests
// finish.
func runCallers(ctx context.Context, d *deployment.Deployment, seed uint64) []deployment.Result {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []deployment.Result
	for i := range d.Plan.Services {
		s := &d.Plan.Services[i]
		for z, zone := range zones {
			for k := range callersEach {
				c := fake.NewCaller(fake.CallerOptions{
					Name: fmt.Sprintf("%s-%s-%d", s.Name, zone.Name, k), Zone: zone.Name, Region: zone.Region,
					Seeds: d.AddressesNear(zone.Name, k)})
				rng := rand.New(rand.NewPCG(seed, uint64(z*callersEach+k)))
				wg.Add(1)
				caller := &caller{Caller: c, deployment: d, service: s, rng: rng}
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

func report(d *deployment.Deployment, results []deployment.Result) *Report {
	r := &Report{}
	for i := range d.Plan.Services {
		r.rows = append(r.rows, serviceRow{name: d.Plan.Services[i].Name})
	}
	for i := range results {
		s := &results[i]
		r.Add(s, d.Journal)
		r.row(s.Service).add(s)
	}
	r.AddDuplicateKeys(d.Journal)
	d.CheckSlots()
	r.MaxConcurrentShifted = checkShift(d)
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
	s.total += r.ResponseTime
	s.worst = max(s.worst, r.ResponseTime)
}

func (r *Report) row(name model.ServiceName) *serviceRow {
	for i := range r.rows {
		if r.rows[i].name == name {
			return &r.rows[i]
		}
	}
	return &serviceRow{}
}
