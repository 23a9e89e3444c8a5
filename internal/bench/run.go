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
	// settleTime is the wait before the load starts, in which instances connect
	// to each other and upstreams register. It is longer than 2 s because a
	// ledger replica rejects idempotency keys that were issued before it had run
	// for 2 s.
	settleTime       = 3 * time.Second
	progressInterval = 5 * time.Second
	// maxInstanceTries is the number of instances to which a caller tries to
	// connect for one request.
	maxInstanceTries = 4
)

// Run runs the scenario once per seed and returns a summary of all runs.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if err := o.Validate(); err != nil {
		return nil, err
	}
	summary := newSummary(&o)
	for i := range o.NumSeeds {
		m, err := newRunner(&o, o.FirstSeed+uint64(i)).run(ctx)
		if err != nil {
			return nil, err
		}
		summary.addRun(m)
	}
	return summary, nil
}

// runner executes one run: a scenario with one seed.
type runner struct {
	options  *Options
	seed     uint64
	plan     deployment.Plan
	scenario *scenario
	arrivals []arrival

	deployment *deployment.Deployment
	// callers holds the simulated callers of each zone, in the order of the zones
	// in the plan.
	callers   [][]*fake.Caller
	loadStart time.Time
	results   chan deployment.Result
	// drainedAt holds the time of the drain announcement of each drained
	// upstream.
	drainedAt map[model.UpstreamID]time.Time
	// sendLag records, for each request, the delay from its intended to its actual
	// send time.
	sendLag *latencyHistogram
}

func newRunner(o *Options, seed uint64) *runner {
	plan := o.plan()
	plan.Seed = seed
	rng := rand.New(rand.NewPCG(seed, 0))
	definition := newScenario(o.Scenario, o.Duration, &plan, rng)
	return &runner{
		options:   o,
		seed:      seed,
		plan:      plan,
		scenario:  definition,
		arrivals:  definition.generateArrivals(&plan, rng),
		results:   make(chan deployment.Result, 1024),
		drainedAt: map[model.UpstreamID]time.Time{},
		sendLag:   newLatencyHistogram(),
	}
}

// run starts the deployment, offers the load while it executes the steps of the
// scenario, and returns the measurement.
func (r *runner) run(ctx context.Context) (*measurement, error) {
	d, err := deployment.Start(r.plan)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	r.deployment = d
	r.createCallers()
	defer r.closeCallers()
	time.Sleep(settleTime)
	startCPUTime := cpuTime()
	r.loadStart = time.Now()
	stepsDone := make(chan struct{})
	go func() {
		defer close(stepsDone)
		r.executeSteps(ctx)
	}()
	results := r.offerLoad(ctx)
	<-stepsDone
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	m := r.measure(results)
	m.metrics[metricCPUCores] = (cpuTime() - startCPUTime).Seconds() / time.Since(r.loadStart).Seconds()
	return m, nil
}

func (r *runner) createCallers() {
	for _, zone := range r.plan.Zones {
		var callers []*fake.Caller
		for i := range callersPerZone {
			callers = append(callers, fake.NewCaller(fake.CallerOptions{
				Name:          fmt.Sprintf("%s-%d", zone.Name, i),
				Zone:          zone.Name,
				Region:        zone.Region,
				Seeds:         r.deployment.AddressesNear(zone.Name, i),
				OneWayLatency: r.plan.Network.ClientLatency,
			}))
		}
		r.callers = append(r.callers, callers)
	}
}

func (r *runner) closeCallers() {
	for _, callers := range r.callers {
		for _, caller := range callers {
			caller.Close()
		}
	}
}

// offerLoad sends each request at its intended time, without waiting for responses
// to earlier requests. It returns the results of all requests once the last one has
// finished.
func (r *runner) offerLoad(ctx context.Context) []deployment.Result {
	collected := make(chan []deployment.Result)
	go func() { collected <- r.collectResults() }()
	var inFlight sync.WaitGroup
	for index := range r.arrivals {
		a := &r.arrivals[index]
		if !r.waitUntil(ctx, a.at) {
			break
		}
		r.sendLag.record(time.Since(r.loadStart) - a.at)
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			r.results <- r.sendRequest(ctx, a, index)
		}()
	}
	inFlight.Wait()
	close(r.results)
	return <-collected
}

// collectResults receives results of requests, and prints progress, until the
// channel r.results is closed. It returns the received results.
func (r *runner) collectResults() []deployment.Result {
	results := make([]deployment.Result, 0, len(r.arrivals))
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case result, ok := <-r.results:
			if !ok {
				return results
			}
			results = append(results, result)
		case <-ticker.C:
			fmt.Fprintf(r.options.Progress, "%s %s %s seed %d: %d of %d requests completed after %v\n", r.options.Deployment,
				r.options.Policy, r.options.Scenario, r.seed, len(results), len(r.arrivals), time.Since(r.loadStart).Round(time.Second))
		}
	}
}

// waitUntil waits until the given time since the start of the load has passed. It
// returns false if the context ended first.
func (r *runner) waitUntil(ctx context.Context, offset time.Duration) bool {
	return latency.Sleep(ctx, offset-time.Since(r.loadStart))
}

// sendRequest sends one request and returns its result. The index of the request
// makes its token and its idempotency key unique.
func (r *runner) sendRequest(ctx context.Context, a *arrival, index int) deployment.Result {
	service := &r.plan.Services[a.serviceIndex]
	zone := r.plan.Zones[a.zoneIndex]
	caller := r.callers[a.zoneIndex][a.callerIndex]
	request := fake.Request{
		Service:       service.Name,
		Tenant:        model.Tenant(fmt.Sprintf("house-%d", a.tenantIndex)),
		Method:        service.Method,
		Token:         fmt.Sprintf("%d/%d", r.seed, index),
		ResponseBytes: service.ResponseBytes,
	}
	if service.UsesIdempotencyKeys {
		request.IdempotencyKey = fmt.Sprintf("%s.%d.%08d-%d", zone.Name, time.Now().UnixMilli(), index, r.seed)
	}
	result := deployment.Result{
		Service:           service.Name,
		Tenant:            request.Tenant,
		Region:            zone.Region,
		Token:             request.Token,
		Idempotent:        service.Idempotent(),
		HasIdempotencyKey: service.UsesIdempotencyKeys,
		IntendedStart:     a.at,
	}
	result.Instance, result.Call = r.tryInstances(ctx, caller, request)
	result.AffectedByFault = r.deployment.AffectedByFault(result.Instance, result.Call)
	result.ResponseTime = time.Since(r.loadStart) - a.at
	return result
}

// tryInstances sends the request to the first instance of the lookup result that
// accepts a connection. It tries the next instance only if an injected fault
// explains why the connection could not be opened. Without such a fault, it returns
// the connection failure as a lost request.
func (r *runner) tryInstances(ctx context.Context, caller *fake.Caller, request fake.Request) (model.InstanceID, fake.CallResult) {
	var id model.InstanceID
	result := fake.CallResult{Outcome: fake.Lost, Unsent: true}
	for range maxInstanceTries {
		instance, err := caller.Instance(ctx, request.Service)
		if err != nil {
			return id, result
		}
		id = instance.ID
		result = caller.Do(ctx, instance, request)
		if !result.Unsent || !r.deployment.AffectedByFault(id, result) {
			return id, result
		}
		caller.DropInstance(request.Service, id)
	}
	return id, result
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
