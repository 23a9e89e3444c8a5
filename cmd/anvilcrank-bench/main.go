// Command anvilcrank-bench runs deployments in its own process, measures their
// performance and checks their invariants.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/anvilcrank/anvilcrank/internal/bench"
)

// Exit codes; docs/api.md lists them.
const (
	exitFailure = 1
	exitUsage   = 2
)

type args struct {
	Deployment *deploymentArgs `arg:"subcommand:deployment" help:"run a whole deployment under load in this process"`
	Report     *reportArgs     `arg:"subcommand:report" help:"run deployments and write one page with plots"`
	Config     *configArgs     `arg:"subcommand:config" help:"change the configuration under faults"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "anvilcrank-bench measures deployments.\n\nExit codes: 0 done, 1 failed or a violation was seen, 2 wrong usage."
}

type deploymentArgs struct {
	Name      string        `arg:"--name" default:"bell" help:"bell or tabsangam"`
	Policy    string        `arg:"--policy" default:"anvilcrank" help:"anvilcrank, round-robin or least-reported"`
	Scenario  string        `arg:"--scenario" default:"steady"`
	Seeds     int           `arg:"--seeds" default:"5" help:"number of seeds"`
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed"`
	Duration  time.Duration `arg:"--duration" help:"how long load is offered; 0 is the scenario's default"`
	TimeScale float64       `arg:"--time-scale" default:"1" help:"multiplies service times and so divides the request rate"`
	NoKeys    bool          `arg:"--no-keys" help:"send non-idempotent requests without idempotency keys"`
	JSON      bool          `arg:"--json" help:"print one JSON object as the last line"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	switch {
	case a.Report != nil:
		exitOnError(a.Report.run(), exitFailure)
	case a.Config != nil:
		exitOnError(a.Config.run(), exitFailure)
	case a.Deployment != nil:
		runDeployment(a.Deployment)
	default:
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
}

// exitOnError prints the error and exits with the code unless err is nil.
func exitOnError(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrank-bench:", err)
		os.Exit(code)
	}
}

// runDeployment executes the subcommand deployment.
func runDeployment(a *deploymentArgs) {
	options := a.options()
	exitOnError(options.Validate(), exitUsage)
	exitOnError(runBenchmark(options, a.JSON), exitFailure)
}

// options converts the flags to options of the benchmark.
func (a *deploymentArgs) options() bench.Options {
	return bench.Options{
		Deployment:        a.Name,
		Policy:            a.Policy,
		Scenario:          a.Scenario,
		NumSeeds:          a.Seeds,
		FirstSeed:         a.Seed,
		Duration:          a.Duration,
		TimeScale:         a.TimeScale,
		NoIdempotencyKeys: a.NoKeys,
		Progress:          os.Stderr,
	}
}

// runBenchmark executes a benchmark and prints its summary. It returns an error
// if a figure that must be 0 is above 0.
func runBenchmark(options bench.Options, printJSON bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	summary, err := bench.Run(ctx, options)
	if err != nil {
		return err
	}
	if printJSON {
		err = json.NewEncoder(os.Stdout).Encode(summary)
	} else {
		err = summary.WriteTable(os.Stdout)
	}
	if err != nil {
		return err
	}
	if nonZero := summary.FailedMetrics(); len(nonZero) > 0 {
		return fmt.Errorf("not zero: %s", strings.Join(nonZero, ", "))
	}
	return nil
}
