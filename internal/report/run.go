package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/bench"
)

// Options selects the benchmark runs of a report.
type Options struct {
	Deployments []string
	Scenarios   []string
	Policies    []string
	// NumSeeds is the number of runs of each combination of a deployment, a scenario
	// and a policy. Run i, counted from 0, has the seed FirstSeed+i.
	NumSeeds  int
	FirstSeed uint64
	// Duration is how long load is offered in each scenario; 0 means the scenario's
	// default.
	Duration time.Duration
	// Progress receives progress lines and must not be nil.
	Progress io.Writer
}

// Row is the result of all runs of one combination of a deployment, a scenario and a
// policy. In JSON, Deployment is called "name" and Summary is called "figures".
type Row struct {
	Deployment string         `json:"name"`
	Scenario   string         `json:"scenario"`
	Policy     string         `json:"policy"`
	Summary    *bench.Summary `json:"figures"`
}

// Report holds the results of the benchmark runs, in the order in which they were
// executed. In JSON, NumSeeds is called "seeds".
type Report struct {
	Started  time.Time `json:"started"`
	NumSeeds int       `json:"seeds"`
	Rows     []Row     `json:"rows"`
}

// Run benchmarks all combinations of the selected deployments, scenarios and
// policies, one after another.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Started: time.Now().UTC(), NumSeeds: o.NumSeeds}
	total := len(o.Deployments) * len(o.Scenarios) * len(o.Policies)
	for _, deployment := range o.Deployments {
		for _, scenario := range o.Scenarios {
			for _, policy := range o.Policies {
				fmt.Fprintf(o.Progress, "row %d of %d: %s %s %s\n", len(r.Rows)+1, total, deployment, scenario, policy)
				b := bench.Options{Deployment: deployment, Scenario: scenario, Policy: policy,
					NumSeeds: o.NumSeeds, FirstSeed: o.FirstSeed, Duration: o.Duration, Progress: o.Progress}
				if err := b.Validate(); err != nil {
					return nil, err
				}
				summary, err := bench.Run(ctx, b)
				if err != nil {
					return nil, fmt.Errorf("%s %s %s: %w", deployment, scenario, policy, err)
				}
				r.Rows = append(r.Rows, Row{Deployment: deployment, Scenario: scenario, Policy: policy, Summary: summary})
			}
		}
	}
	return r, nil
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
