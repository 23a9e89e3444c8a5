package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// Options configures a deployment benchmark.
type Options struct {
	Deployment string
	Policy     string
	Scenario   string
	// NumSeeds is the number of runs. Run i, counted from 0, has the seed
	// FirstSeed+i.
	NumSeeds  int
	FirstSeed uint64
	// Duration is how long load is offered; 0 means the scenario's default.
	Duration time.Duration
	// TimeScale multiplies all service times; 0 means 1. The load of a scenario
	// is a share of slot capacity, so TimeScale also divides the request rate.
	TimeScale float64
	// NoIdempotencyKeys makes callers send non-idempotent requests without
	// idempotency keys, so that instances do not use the ledger.
	NoIdempotencyKeys bool
	// Progress receives progress lines; nil discards them.
	Progress io.Writer
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	if o.Deployment != DeploymentBell && o.Deployment != DeploymentTabsangam {
		return fmt.Errorf("deployment %q is not %s or %s", o.Deployment, DeploymentBell, DeploymentTabsangam)
	}
	if !slices.Contains(Scenarios, o.Scenario) {
		return fmt.Errorf("scenario %q is not one of %s", o.Scenario, strings.Join(Scenarios, ", "))
	}
	if _, ok := policies[o.Policy]; !ok {
		return fmt.Errorf("policy %q is not anvilcrank, round-robin or least-reported", o.Policy)
	}
	if o.NumSeeds < 1 || o.Duration < 0 || o.TimeScale < 0 {
		return fmt.Errorf("invalid seeds %d, duration %v or time scale %v: seeds must be at least 1, the others not negative",
			o.NumSeeds, o.Duration, o.TimeScale)
	}
	return nil
}

func (o *Options) timeScale() float64 {
	if o.TimeScale == 0 {
		return 1
	}
	return o.TimeScale
}

// policies maps the name of a benchmark policy to the policy by which instances
// select upstreams. All except anvilcrank are baselines: with them, instances
// dispatch each request at once, and it waits in the queue of the upstream if no
// slot is free.
var policies = map[string]string{
	"anvilcrank":     upstream.PolicyLeastExpected,
	"round-robin":    upstream.PolicyRoundRobin,
	"least-reported": upstream.PolicyLeastLoad,
}

func (o *Options) isBaseline() bool { return policies[o.Policy] != upstream.PolicyLeastExpected }
