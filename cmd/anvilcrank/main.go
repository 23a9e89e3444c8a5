// Command anvilcrank is the operator's command line.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes of all commands; docs/api.md lists them.
const (
	exitFailure = 1
	exitUsage   = 2
)

type args struct {
	Demo   *demoArgs   `arg:"subcommand:demo" help:"run a small deployment in this process"`
	Replay *replayArgs `arg:"subcommand:replay" help:"run recorded events again"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "anvilcrank steers an anvilcrank deployment.\n\nExit codes: 0 done, 1 failed, 2 wrong usage."
}

func main() {
	var a args
	p := arg.MustParse(&a)
	var err error
	switch {
	case a.Demo != nil:
		err = a.Demo.run()
	case a.Replay != nil:
		err = a.Replay.run()
	default:
		p.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilcrank:", err)
		os.Exit(exitFailure)
	}
}
