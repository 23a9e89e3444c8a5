package soak

import (
	"math/rand/v2"
	"time"
)

// StepKind is the fault or the operation that a step executes.
type StepKind string

// Kinds of steps. The names are part of the printed schedule.
const (
	KillEntry     StepKind = "kill_entry"
	KillControl   StepKind = "kill_control"
	KillAll       StepKind = "kill_all"
	PauseEntry    StepKind = "pause_entry"
	PauseControl  StepKind = "pause_control"
	StopEntry     StepKind = "stop_entry"
	StopControl   StepKind = "stop_control"
	Reload        StepKind = "reload"
	WipeControl   StepKind = "wipe_control"
	TearFile      StepKind = "tear_file"
	DelayLink     StepKind = "delay_link"
	ResetLink     StepKind = "reset_link"
	SilenceLink   StepKind = "silence_link"
	CutAnswers    StepKind = "cut_answers"
	CrashUpstream StepKind = "crash_upstream"
	DrainUpstream StepKind = "drain_upstream"
	ChangeRoute   StepKind = "change_route"
	ResendChange  StepKind = "resend_change"
	RaceChange    StepKind = "race_change"
	EvacuateZone  StepKind = "evacuate_zone"
	// ReplaceControl ends a control process for good and starts another one with an
	// empty data folder at a new address.
	ReplaceControl StepKind = "replace_control"
	// StateLeaving, StatePause and StateLimit make an upstream state something about
	// itself in its responses.
	StateLeaving StepKind = "state_leaving"
	StatePause   StepKind = "state_pause"
	StateLimit   StepKind = "state_limit"
	// HoldOrders holds up what the operator sends to a control process.
	HoldOrders  StepKind = "hold_orders"
	firstStepAt          = 2 * time.Second
	// stepFreeEnd is the last part of a run, in which no step starts. Delays, which
	// are not checked soon after a fault, are checked there again.
	stepFreeEnd = 8 * time.Second
	// diskRepairTime is how long after the loss of a disk no control process is
	// disrupted, and how long after a disruption no disk is lost (see Schedule).
	diskRepairTime = 8 * time.Second
)

// stepWeights holds the relative frequency of each kind of step.
var stepWeights = []struct {
	kind   StepKind
	weight int
}{
	{KillEntry, 3}, {KillControl, 3}, {KillAll, 1}, {PauseEntry, 3}, {PauseControl, 3}, {StopEntry, 5}, {StopControl, 3}, {Reload, 2},
	{WipeControl, 2}, {TearFile, 2}, {DelayLink, 3}, {ResetLink, 3}, {SilenceLink, 3}, {CutAnswers, 3}, {CrashUpstream, 3},
	{DrainUpstream, 4}, {ChangeRoute, 8}, {ResendChange, 3}, {RaceChange, 2}, {EvacuateZone, 3}, {HoldOrders, 10},
	{ReplaceControl, 2}, {StateLeaving, 3}, {StatePause, 3}, {StateLimit, 3},
}

// Step is one entry of a schedule.
type Step struct {
	At       time.Duration // since the start of the run
	Kind     StepKind
	Target   int // index of a process, upstream or zone, modulo their number
	Duration time.Duration
}

func (k StepKind) disruptsControl() bool {
	switch k {
	case KillControl, KillAll, PauseControl, StopControl, WipeControl, TearFile, ReplaceControl:
		return true
	}
	return false
}

// losesDisk reports whether a control process loses its data folder.
func (k StepKind) losesDisk() bool { return k == WipeControl || k == ReplaceControl }

// Schedule returns the steps of a run. They may overlap in time. The same seed
// and length give the same steps.
func Schedule(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	totalWeight := 0
	for _, w := range stepWeights {
		totalWeight += w.weight
	}
	var steps []Step
	var disruptedUntil, wipedUntil time.Duration
	for at := firstStepAt; at < length-stepFreeEnd; at += time.Duration(rng.Int64N(int64(time.Second))) {
		draw := rng.IntN(totalWeight)
		step := Step{At: at, Target: rng.IntN(64), Duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))}
		for _, w := range stepWeights {
			if draw -= w.weight; draw < 0 {
				step.Kind = w.kind
				break
			}
		}
		if step.Kind.disruptsControl() {
			// A control process that lost its disk counts as
			// failed until its log is restored. So for diskRepairTime after a
			// loss no step disrupts control processes, and no disk is lost that
			// soon after a disruption. The operands "> 0" are false until the
			// first loss or disruption.
			if at < wipedUntil+diskRepairTime && wipedUntil > 0 || step.Kind.losesDisk() && at < disruptedUntil+diskRepairTime && disruptedUntil > 0 {
				continue
			}
			disruptedUntil = at + step.Duration
			if step.Kind.losesDisk() {
				wipedUntil = at + step.Duration
			}
		}
		steps = append(steps, step)
	}
	return steps
}
