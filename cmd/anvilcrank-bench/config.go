package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/configbench"
)

type configArgs struct {
	Instances     int           `arg:"--instances" default:"11"`
	Nodes         int           `arg:"--nodes" help:"size of the deployment for slopes; replaces --instances"`
	Group         int           `arg:"--group" default:"3" help:"members of the control group, 3 or 5"`
	Changes       int           `arg:"--changes" default:"500" help:"changes to be accepted"`
	MissedChanges int           `arg:"--away" default:"1000" help:"changes that stopped instances miss with --faults crash"`
	Faults        string        `arg:"--faults" default:"none" help:"none, partition, crash or repair-then-loss"`
	Seed          uint64        `arg:"--seed" default:"1"`
	Interval      time.Duration `arg:"--interval" default:"40ms" help:"pause between two races of operators"`
	JSON          bool          `arg:"--json" help:"print one JSON object"`
}

// run executes the benchmark of configuration changes and prints its report. It
// returns an error if a figure that must be 0 is above 0.
func (a *configArgs) run() error {
	options := configbench.Options{Instances: a.Instances, GroupSize: a.Group, Changes: a.Changes, MissedChanges: a.MissedChanges,
		FaultMode: a.Faults, Seed: a.Seed, RaceInterval: a.Interval}
	if a.Nodes > 0 {
		options.Instances = a.Nodes
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := configbench.Run(ctx, options)
	if err != nil {
		return err
	}
	if a.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err == nil && report.Failed() {
		err = fmt.Errorf("reverted %d, lost_accepted %d, double_applied %d, violations %d",
			report.Reverted, report.LostAccepted, report.DoubleApplied, report.Violations)
	}
	return err
}
