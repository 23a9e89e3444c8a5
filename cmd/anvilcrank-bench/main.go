// Command anvilcrank-bench measures deployments.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type args struct {
	Config *configArgs `arg:"subcommand:config" help:"change the configuration under faults"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	if a.Config == nil {
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err := a.Config.run(); err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrank-bench:", err)
		os.Exit(exitFailure)
	}
}
