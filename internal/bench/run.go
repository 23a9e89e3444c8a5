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
	maxInstanceTries = 4
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
	for i := range o.NumSeeds {
		m, err := newRunner(&o, o.FirstSeed+uint64(i)).run(ctx)
		if err != nil {
			return nil, err
		}
		summary.addRun(m)
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
	loadStart  time.Time
	results    chan deployment.Result
	drainedAt  map[model.UpstreamID]time.Time
	sendLag    *latencyHistogram
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

// run starts the deployment, offers the load and measures.
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
				Name:    fmt.Sprintf("%s-%d", zone.Zone, i),
				Zone:    zone.Zone,
				Region:  zone.Region,
				Seeds:   r.deployment.AddressesFrom(zone.Zone, i),
				Latency: r.plan.Network.ToClients,
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

// load sends each request at its intended time, whether earlier ones have been
// answered or not, and returns all results.
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

// collect owns the results and prints progress until the last one has come.
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
			fmt.Fprintf(r.options.Progress, "%s %s %s seed %d: %d of %d requests ended after %v\n", r.options.Deployment,
				r.options.Policy, r.options.Scenario, r.seed, len(results), len(r.arrivals), time.Since(r.loadStart).Round(time.Second))
		}
	}
}

// waitUntil waits for a time since the start of the load.
func (r *runner) waitUntil(ctx context.Context, offset time.Duration) bool {
	return latency.Sleep(ctx, offset-time.Since(r.loadStart))
}

// send carries out one request and returns what its caller was told.
func (r *runner) sendRequest(ctx context.Context, a *arrival, index int) deployment.Result {
	service := &r.plan.Services[a.serviceIndex]
	zone := r.plan.Zones[a.zoneIndex]
	caller := r.callers[a.zoneIndex][a.callerIndex]
	request := fake.Request{
		Service: service.Name,
		Tenant:  model.Tenant(fmt.Sprintf("house-%d", a.tenantIndex)),
		Method:  service.Method,
		Token:   fmt.Sprintf("%d/%d", r.seed, index),
		Size:    service.BodySize,
	}
	if service.Keyed {
		request.Key = fmt.Sprintf("%s.%d.%08d-%d", zone.Zone, time.Now().UnixMilli(), index, r.seed)
	}
	result := deployment.Result{
		Service:    service.Name,
		Tenant:     request.Tenant,
		Region:     zone.Region,
		Token:      request.Token,
		Idempotent: service.Idempotent(),
		Keyed:      service.Keyed,
		Intended:   a.at,
	}
	result.Instance, result.Reply = r.tryInstances(ctx, caller, request)
	result.Faulted = r.deployment.Faulted(result.Instance, result.Reply)
	result.Took = time.Since(r.loadStart) - a.at
	return result
}

// try sends the request to the instances of a look-up in turn, until one can be
// reached. Only an instance that a fault ended may be unreachable.
func (r *runner) tryInstances(ctx context.Context, caller *fake.Caller, request fake.Request) (model.InstanceID, fake.Reply) {
	var id model.InstanceID
	reply := fake.Reply{Outcome: fake.Lost, Unsent: true}
	for range maxInstanceTries {
		instance, err := caller.Instance(ctx, request.Service)
		if err != nil {
			return id, reply
		}
		id = instance.ID
		reply = caller.Do(ctx, instance, request)
		if !reply.Unsent || !r.deployment.Faulted(id, reply) {
			return id, reply
		}
		caller.Skip(request.Service, id)
	}
	return id, reply
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
