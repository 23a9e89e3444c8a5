package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/internal/latency"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// settleTime lets links stand and upstreams announce themselves, and passes the
	// floor of the ledger: keys issued in the first 2 s of a replica are refused.
	settleTime       = 3 * time.Second
	progressInterval = 5 * time.Second
	// maxTries bounds the instances a caller turns to when it cannot connect.
	maxTries = 4
)

// Run runs the scenario at each seed and returns the medians.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if err := o.Validate(); err != nil {
		return nil, err
	}
	summary := newSummary(&o)
	for k := range o.Seeds {
		m, err := newRunner(&o, o.Seed+uint64(k)).run(ctx)
		if err != nil {
			return nil, err
		}
		summary.add(m)
	}
	return summary, nil
}

// runner carries out one scenario at one seed.
type runner struct {
	options  *Options
	seed     uint64
	plan     deployment.Plan
	scenario *scenario
	arrivals []arrival

	deployment *deployment.Deployment
	callers    [][]*fake.Caller
	start      time.Time
	results    chan deployment.Result
	drainedAt  map[model.UpstreamID]time.Time
	lag        *latencies
}

func newRunner(o *Options, seed uint64) *runner {
	plan := o.plan()
	plan.Seed = seed
	rng := rand.New(rand.NewPCG(seed, 0))
	s := newScenario(o.Scenario, o.Duration, &plan, rng)
	return &runner{
		options:   o,
		seed:      seed,
		plan:      plan,
		scenario:  s,
		arrivals:  s.arrivals(&plan, rng),
		results:   make(chan deployment.Result, 1024),
		drainedAt: map[model.UpstreamID]time.Time{},
		lag:       newLatencies(),
	}
}

// run starts the deployment, offers the load and measures.
func (r *runner) run(ctx context.Context) (*measurement, error) {
	d, err := deployment.Start(r.plan)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	r.deployment = d
	r.makeCallers()
	defer r.closeCallers()
	time.Sleep(settleTime)
	cpu := cpuTime()
	r.start = time.Now()
	stepsDone := make(chan struct{})
	go func() {
		defer close(stepsDone)
		r.carryOutSteps(ctx)
	}()
	all := r.load(ctx)
	<-stepsDone
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m := r.measure(all)
	m.figures[cpuCores] = (cpuTime() - cpu).Seconds() / time.Since(r.start).Seconds()
	return m, nil
}

func (r *runner) makeCallers() {
	for _, z := range r.plan.Zones {
		var list []*fake.Caller
		for k := range callersPerZone {
			list = append(list, fake.NewCaller(fake.CallerOptions{
				Name:          fmt.Sprintf("%s-%d", z.Name, k),
				Zone:          z.Name,
				Region:        z.Region,
				Seeds:         r.deployment.AddressesNear(z.Name, k),
				OneWayLatency: r.plan.Network.ClientLatency,
			}))
		}
		r.callers = append(r.callers, list)
	}
}

func (r *runner) closeCallers() {
	for _, list := range r.callers {
		for _, c := range list {
			c.Close()
		}
	}
}

// load sends each request at its intended time, whether earlier ones have been
// answered or not, and returns all results.
func (r *runner) load(ctx context.Context) []deployment.Result {
	collected := make(chan []deployment.Result)
	go func() { collected <- r.collect() }()
	var open sync.WaitGroup
	for n := range r.arrivals {
		a := &r.arrivals[n]
		if !r.waitUntil(ctx, a.at) {
			break
		}
		r.lag.add(time.Since(r.start) - a.at)
		open.Add(1)
		go func() {
			defer open.Done()
			r.results <- r.send(ctx, a, n)
		}()
	}
	open.Wait()
	close(r.results)
	return <-collected
}

// collect owns the results and prints progress until the last one has come.
func (r *runner) collect() []deployment.Result {
	all := make([]deployment.Result, 0, len(r.arrivals))
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case result, ok := <-r.results:
			if !ok {
				return all
			}
			all = append(all, result)
		case <-tick.C:
			fmt.Fprintf(r.options.Progress, "%s %s %s seed %d: %d of %d requests ended after %v\n", r.options.Name,
				r.options.Policy, r.options.Scenario, r.seed, len(all), len(r.arrivals), time.Since(r.start).Round(time.Second))
		}
	}
}

// waitUntil waits for a time since the start of the load.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	return latency.Sleep(ctx, at-time.Since(r.start))
}

// send carries out one request and returns what its caller was told.
func (r *runner) send(ctx context.Context, a *arrival, n int) deployment.Result {
	service := &r.plan.Services[a.service]
	zone := r.plan.Zones[a.zone]
	caller := r.callers[a.zone][a.caller]
	q := fake.Request{
		Service:       service.Name,
		Tenant:        model.Tenant(fmt.Sprintf("house-%d", a.tenant)),
		Method:        service.Method,
		Token:         fmt.Sprintf("%d/%d", r.seed, n),
		ResponseBytes: service.ResponseBytes,
	}
	if service.UsesIdempotencyKeys {
		q.IdempotencyKey = fmt.Sprintf("%s.%d.%08d-%d", zone.Name, time.Now().UnixMilli(), n, r.seed)
	}
	result := deployment.Result{
		Service:           service.Name,
		Tenant:            q.Tenant,
		Region:            zone.Region,
		Token:             q.Token,
		Idempotent:        service.Idempotent(),
		HasIdempotencyKey: service.UsesIdempotencyKeys,
		IntendedStart:     a.at,
	}
	result.Instance, result.Call = r.try(ctx, caller, q)
	result.AffectedByFault = r.deployment.AffectedByFault(result.Instance, result.Call)
	result.ResponseTime = time.Since(r.start) - a.at
	return result
}

// try sends the request to the instances of a look-up in turn, until one can be
// reached. Only an instance that a fault ended may be unreachable.
func (r *runner) try(ctx context.Context, c *fake.Caller, q fake.Request) (model.InstanceID, fake.CallResult) {
	var id model.InstanceID
	reply := fake.CallResult{Outcome: fake.Lost, Unsent: true}
	for range maxTries {
		to, err := c.Instance(ctx, q.Service)
		if err != nil {
			return id, reply
		}
		id = to.ID
		reply = c.Do(ctx, to, q)
		if !reply.Unsent || !r.deployment.AffectedByFault(id, reply) {
			return id, reply
		}
		c.DropInstance(q.Service, id)
	}
	return id, reply
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
