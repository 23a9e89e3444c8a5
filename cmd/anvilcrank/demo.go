package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/demo"
)

type demoArgs struct {
	Duration time.Duration `arg:"--duration" default:"10s" help:"how long callers send requests"`
	Seed     uint64        `arg:"--seed" default:"1" help:"start of the random numbers"`
	JSON     bool          `arg:"--json" help:"print one JSON object as the last line"`
}

// run runs the demo and returns an error if it detects a violation.
func (a *demoArgs) run() error {
	options := demo.Options{Duration: a.Duration, Seed: a.Seed}
	if !a.JSON {
		options.Progress = os.Stdout
	}
	report, err := demo.Run(context.Background(), options)
	if err != nil {
		return err
	}
	if a.JSON {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err != nil {
		return err
	}
	if report.Failed() {
		return errors.New("the demo saw a violation")
	}
	return nil
}
