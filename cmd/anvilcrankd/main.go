// Command anvilcrankd runs one instance: an entry instance that a YAML settings
// file configures or, with --platform, an instance in the role that the
// platform assigns.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
	"github.com/anvilcrank/anvilcrank/platform"
)

type args struct {
	Settings string `arg:"positional" help:"settings file (YAML)"`
	Platform bool   `arg:"--platform" help:"run on the platform, by the settings file that its environment names"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "anvilcrankd runs one entry instance. SIGTERM and SIGINT begin a graceful stop; a second one ends it at once."
}

// Exit codes of the command.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

func main() {
	var a args
	parser := arg.MustParse(&a)
	if a.Platform {
		runOnPlatform(a.Check)
		return
	}
	if a.Settings == "" {
		parser.Fail("SETTINGS is required")
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if a.Check {
		return
	}
	if err := runInstance(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// runOnPlatform runs an instance in the role that the platform's settings assign.
// If check is true, it only validates the settings.
func runOnPlatform(check bool) {
	signals := platform.CatchSignals()
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if check {
		return
	}
	if err := platform.Run(s, signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// runInstance runs an instance until a graceful stop is complete, a second signal
// arrives or a part of the instance fails.
func runInstance(s *settings.Settings) error {
	memory.LimitRuntime(memory.ProcessBytes(s.MemoryBytes()))
	instance, err := anvilcrank.New(s, anvilcrank.Options{})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return instance.Run(ctx) }, func(error) { cancel() })
	addGracefulStop(&g, instance)
	err = g.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addGracefulStop adds a signal handler to the run group. The first SIGTERM or
// SIGINT begins a graceful stop of the instance. The second one ends the group,
// and with it the instance.
func addGracefulStop(g *run.Group, instance *anvilcrank.Instance) {
	waitFirst, stopFirst := run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := waitFirst(); !errors.Is(err, run.ErrSignal) {
			return err
		}
		instance.Stop()
		waitSecond, stopSecond := run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stopSecond(nil)
		return waitSecond()
	}, func(err error) {
		stopFirst(err)
		cancel()
	})
}
