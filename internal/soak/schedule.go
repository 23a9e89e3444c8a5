package soak

import (
	"math/rand/v2"
	"time"
)

// Kind is what a step does.
type Kind string

// Kinds of steps.
const (
	KillEntry      Kind = "kill_entry"
	KillControl    Kind = "kill_control"
	KillAll        Kind = "kill_all"
	PauseEntry     Kind = "pause_entry"
	PauseControl   Kind = "pause_control"
	StopEntry      Kind = "stop_entry"
	StopControl    Kind = "stop_control"
	Reload         Kind = "reload"
	WipeControl    Kind = "wipe_control"
	TearFile       Kind = "tear_file"
	DelayLink      Kind = "delay_link"
	ResetLink      Kind = "reset_link"
	SilenceLink    Kind = "silence_link"
	CutAnswers     Kind = "cut_answers"
	CrashUpstream  Kind = "crash_upstream"
	DrainUpstream  Kind = "drain_upstream"
	ChangeRoute    Kind = "change_route"
	ResendChange   Kind = "resend_change"
	RaceChange     Kind = "race_change"
	EvacuateZone   Kind = "evacuate_zone"
	firstStepAfter      = 2 * time.Second
	// calmAtEnd is left without faults, so that bounds in time hold again.
	calmAtEnd = 8 * time.Second
	// repairTime is how long no other control process is harmed after one lost
	// its disk.
	repairTime = 8 * time.Second
)

// weights say how often each kind comes.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillEntry, 3}, {KillControl, 3}, {KillAll, 1}, {PauseEntry, 3}, {PauseControl, 3}, {StopEntry, 5}, {StopControl, 3}, {Reload, 2},
	{WipeControl, 2}, {TearFile, 2}, {DelayLink, 3}, {ResetLink, 3}, {SilenceLink, 3}, {CutAnswers, 3}, {CrashUpstream, 3},
	{DrainUpstream, 4}, {ChangeRoute, 8}, {ResendChange, 3}, {RaceChange, 2}, {EvacuateZone, 2},
}

// Step is one entry of a schedule.
type Step struct {
	At     time.Duration
	Kind   Kind
	Target int
	For    time.Duration
}

func (k Kind) harmsControl() bool {
	switch k {
	case KillControl, KillAll, PauseControl, StopControl, WipeControl, TearFile:
		return true
	}
	return false
}

// Schedule returns the steps of a run. They come in series and overlap.
func Schedule(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var steps []Step
	var controlHarmed, wiped time.Duration
	for at := firstStepAfter; at < length-calmAtEnd; at += time.Duration(rng.Int64N(int64(time.Second))) {
		n := rng.IntN(total)
		step := Step{At: at, Target: rng.IntN(64), For: 300*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))}
		for _, w := range weights {
			if n -= w.weight; n < 0 {
				step.Kind = w.kind
				break
			}
		}
		if step.Kind.harmsControl() {
			// A lost disk counts as a loss until the log is there again.
			if at < wiped+repairTime && wiped > 0 || step.Kind == WipeControl && at < controlHarmed+repairTime && controlHarmed > 0 {
				continue
			}
			controlHarmed = at + step.For
			if step.Kind == WipeControl {
				wiped = at + step.For
			}
		}
		steps = append(steps, step)
	}
	return steps
}
