package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/anvilcrank/anvilcrank/pkg/control"
)

type replayArgs struct {
	File string `arg:"positional,required" help:"recording of an instance"`
	JSON bool   `arg:"--json" help:"print one JSON object"`
}

// run replays a recording and returns an error if the effects differ from the
// recorded ones.
func (a *replayArgs) run() error {
	report, err := control.ReplayFile(a.File)
	if err != nil {
		return err
	}
	if a.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d events, first mismatch %d, dropped before %d\n", report.Events, report.FirstMismatch, report.Dropped)
		for _, f := range report.Failures {
			fmt.Printf("invariant %s failed: %s\n", f.Name, f.Detail)
		}
	}
	if report.FirstMismatch >= 0 {
		return fmt.Errorf("the effects differ from event %d on", report.FirstMismatch)
	}
	return nil
}
