package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// Options of a deployment benchmark.
type Options struct {
	Deployment string
	Policy     string
	Scenario   string
	// Seeds is how many seeds are run, beginning with Seed.
	NumSeeds  int
	FirstSeed uint64
	// Duration is how long load is offered, 0 for the scenario's default.
	Duration time.Duration
	// TimeScale multiplies all service times, and so divides the request rate
	// that fills the slots; 0 stands for 1.
	TimeScale float64
	// NoKeys sends non-idempotent requests without idempotency keys, which leaves
	// out the ledger.
	NoIdempotencyKeys bool
	// Progress takes lines on what happens; nil takes none.
	Progress io.Writer
}

// Validate reports the first impossible option.
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
		return fmt.Errorf("seeds %d, duration %v and time scale %v must be positive", o.NumSeeds, o.Duration, o.TimeScale)
	}
	return nil
}

func (o *Options) timeScale() float64 {
	if o.TimeScale == 0 {
		return 1
	}
	return o.TimeScale
}

// policies gives the selection policy of each name. All but the first are
// baselines, which send work at once.
var policies = map[string]string{
	"anvilcrank":     upstream.PolicyLeastExpected,
	"round-robin":    upstream.PolicyRoundRobin,
	"least-reported": upstream.PolicyLeastLoad,
}

func (o *Options) isBaseline() bool { return policies[o.Policy] != upstream.PolicyLeastExpected }
