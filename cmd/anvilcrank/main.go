// Command anvilcrank is the command-line client for operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes of all commands; docs/api.md lists them.
const (
	exitFailure = 1
	// exitUsage: the command line is invalid.
	exitUsage = 2
	// exitConflict: another change replaced the expected version, or the change id
	// belongs to another change.
	exitConflict = 3
	// exitInvalid: the change is malformed or its result would be invalid.
	exitInvalid = 4
	// exitUnknown: the outcome is unknown, since no response reported whether
	// the change was accepted.
	exitUnknown = 5
	// exitNotInForce: the change is accepted but not known to be in force
	// everywhere.
	exitNotInForce = 6
	// exitUnavailable: no instance could process the request, or the leader did not
	// confirm the response. Nothing was changed.
	exitUnavailable = 7
	// exitUnauthorized: the token is missing, invalid or lacks the required role.
	exitUnauthorized = 8
)

// errUsage is returned if a command lacks its subcommand.
var errUsage = &commandError{exitUsage, "a subcommand is missing; see --help"}

type args struct {
	Profile  *profileArgs  `arg:"subcommand:profile" help:"list, set or delete steering profiles"`
	Shift    *shiftArgs    `arg:"subcommand:shift" help:"list, set or delete traffic shifts"`
	Drain    *drainArgs    `arg:"subcommand:drain" help:"take upstreams, instances, zones or regions out of service"`
	RollBack *rollBackArgs `arg:"subcommand:rollback" help:"bring back an earlier version as a new one"`
	Status   *statusArgs   `arg:"subcommand:status" help:"show which version is in force where"`
	History  *historyArgs  `arg:"subcommand:history" help:"show the latest changes"`
	Member   *memberArgs   `arg:"subcommand:member" help:"show the control group"`
	Demo     *demoArgs     `arg:"subcommand:demo" help:"run a small deployment in this process"`
	Replay   *replayArgs   `arg:"subcommand:replay" help:"run recorded events again"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "anvilcrank steers an anvilcrank deployment."
}

// Epilogue implements arg.Epilogued.
func (args) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another change won, 4 invalid change, 5 outcome unknown, " +
		"6 accepted but not known to be in force everywhere, 7 no current answer, 8 not authorized."
}

// run executes the selected command.
func (a *args) run() error {
	switch {
	case a.Profile != nil:
		return a.Profile.run()
	case a.Shift != nil:
		return a.Shift.run()
	case a.Drain != nil:
		return a.Drain.run()
	case a.RollBack != nil:
		return a.RollBack.run()
	case a.Status != nil:
		return a.Status.run()
	case a.History != nil:
		return a.History.run()
	case a.Member != nil:
		return a.Member.run()
	case a.Demo != nil:
		return a.Demo.run()
	case a.Replay != nil:
		return a.Replay.run()
	}
	return errUsage
}

func main() {
	var a args
	arg.MustParse(&a)
	err := a.run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "anvilcrank:", err)
	var commandErr *commandError
	if errors.As(err, &commandErr) {
		os.Exit(commandErr.exitCode)
	}
	os.Exit(exitFailure)
}
