// Command anvilcrank-soak runs anvilcrankd processes on loopback, injects faults
// and checks the results that clients, upstreams and operators observe.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/anvilcrank/anvilcrank/internal/soak"
)

type args struct {
	Daemon    string        `arg:"required" help:"path of the anvilcrankd program"`
	Seed      uint64        `default:"1" help:"first seed"`
	Seeds     int           `default:"1" help:"number of seeds, one run each"`
	Length    time.Duration `default:"30s" help:"length of a run"`
	Controls  int           `default:"3" help:"control processes"`
	Entries   int           `default:"3" help:"entry processes"`
	Upstreams int           `default:"9" help:"upstreams, played by this program"`
	Clients   int           `default:"24" help:"clients, played by this program"`
	Schedule  bool          `help:"print the schedule of the seeds and run nothing"`
	Keep      string        `help:"folder for the logs and schedules of failed runs" default:"soak-failures"`
}

// Description implements arg.Described.
func (args) Description() string {
	return "anvilcrank-soak runs anvilcrankd processes under random faults. The same seed gives the same schedule. " +
		"Exit code 1: a promise was broken; 2: a run could not be played."
}

// Exit codes of the command.
const (
	// exitViolation: a run detected a violation.
	exitViolation = 1
	// exitRunFailed: a run could not be started or completed.
	exitRunFailed = 2
)

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	exitCode := 0
	for i := range a.Seeds {
		seed := a.Seed + uint64(i)
		if a.Schedule {
			printSchedule(soak.Schedule(seed, a.Length))
			continue
		}
		violated, err := runSeed(ctx, &a, seed)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitRunFailed)
		}
		if violated {
			exitCode = exitViolation
		}
	}
	os.Exit(exitCode)
}

// printSchedule prints the steps of a run, one per line.
func printSchedule(steps []soak.Step) {
	for _, s := range steps {
		fmt.Printf("%8.3f %-15s target %2d for %v\n", s.At.Seconds(), s.Kind, s.Target, s.Duration.Round(time.Millisecond))
	}
}

// runSeed executes the soak run of a seed and reports whether the run detected a
// violation. If so, runSeed keeps the logs of the run.
func runSeed(ctx context.Context, a *args, seed uint64) (bool, error) {
	folder, err := os.MkdirTemp("", "anvilcrank-soak")
	if err != nil {
		return false, err
	}
	daemon, err := filepath.Abs(a.Daemon)
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Options{Seed: seed, Length: a.Length, Daemon: daemon, Folder: folder,
		Controls: a.Controls, Entries: a.Entries, Upstreams: a.Upstreams, Clients: a.Clients})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w (logs in %s)", seed, err, folder)
	}
	fmt.Printf("seed %d: %d steps, ends %v, %d broken\n", seed, len(report.Steps), report.StatusCounts, len(report.Violations))
	if len(report.Violations) == 0 {
		return false, os.RemoveAll(folder)
	}
	for _, v := range report.Violations {
		fmt.Println("  " + v)
	}
	keptFolder := filepath.Join(a.Keep, fmt.Sprint(seed))
	if err := os.MkdirAll(a.Keep, 0o700); err != nil {
		return true, err
	}
	if err := os.Rename(folder, keptFolder); err != nil {
		keptFolder = folder
	}
	printSchedule(report.Steps)
	fmt.Println("logs in", keptFolder)
	return true, nil
}
