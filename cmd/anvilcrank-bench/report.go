package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/bench"
	"github.com/anvilcrank/anvilcrank/internal/report"
)

type reportArgs struct {
	Names     []string      `arg:"--name,separate" help:"deployments [default: bell and tabsangam]"`
	Scenarios []string      `arg:"--scenario,separate" help:"scenarios [default: all]"`
	Policies  []string      `arg:"--policy,separate" help:"policies [default: anvilcrank and round-robin]"`
	Seeds     int           `arg:"--seeds" default:"5" help:"number of seeds"`
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed"`
	Duration  time.Duration `arg:"--duration" help:"how long load is offered; 0 is the scenario's default"`
	Output    string        `arg:"--output" default:"report.html" help:"HTML file; the JSON file stands beside it"`
}

// run executes the benchmarks and writes the report as HTML and as JSON.
func (a *reportArgs) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := report.Run(ctx, report.Options{
		Deployments: orDefault(a.Names, bench.DeploymentBell, bench.DeploymentTabsangam),
		Scenarios:   orDefault(a.Scenarios, bench.Scenarios...),
		Policies:    orDefault(a.Policies, "anvilcrank", "round-robin"),
		NumSeeds:    a.Seeds,
		FirstSeed:   a.Seed,
		Duration:    a.Duration,
		Progress:    os.Stderr,
	})
	if err != nil {
		return err
	}
	if err := writeFile(a.Output, r.WriteHTML); err != nil {
		return err
	}
	return writeFile(a.Output+".json", r.WriteJSON)
}

// orDefault returns the list, or the defaults if it is empty.
func orDefault(list []string, defaults ...string) []string {
	if len(list) > 0 {
		return list
	}
	return defaults
}

// writeFile creates a file with the content that write produces.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := write(f); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return f.Close()
}
