package configbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the time until the control group has made the first
	// version and all instances have put it in force.
	startTimeout = 60 * time.Second
	// idleDuration is how long the benchmark measures the deployment before
	// operators make changes.
	idleDuration = 3 * time.Second
	// firstVersion is the lowest version that the control group makes. Version 1
	// is the bootstrap configuration of each instance.
	firstVersion = 2
)

// Run runs a deployment under changes and faults, checks the outcome and
// returns the measurements.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "anvilcrank-config-")
	if err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	defer os.RemoveAll(dir)
	t := newTracker()
	d, err := newDeployment(o, dir, t)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	startedAt := time.Now()
	for k := range d.settings {
		if err := d.start(k); err != nil {
			return nil, err
		}
	}
	if !d.awaitInForce(ctx, firstVersion, startTimeout) {
		return nil, fmt.Errorf("the deployment has no configuration %v after its start", startTimeout)
	}
	r := &Report{FaultMode: o.FaultMode, Instances: o.Instances, GroupSize: o.GroupSize, Seed: o.Seed}
	if err := measure(ctx, o, d, t, r); err != nil {
		t.addViolation("%v", err)
	}
	r.fill(t)
	r.Seconds = time.Since(startedAt).Seconds()
	return r, ctx.Err()
}

// measure runs the operators and the fault injector, and stores in r the figures
// that are measured while the deployment runs.
func measure(ctx context.Context, o Options, d *deployment, t *tracker, r *Report) error {
	idleMeter := startResourceMeter(d)
	time.Sleep(idleDuration)
	r.IdleCPUShare, r.IdleBytesPerSecond = idleMeter.read()

	ops := newOperators(d, t, o.Seed)
	defer ops.client.CloseIdleConnections()
	injector := &faultInjector{deployment: d, tracker: t, operators: ops, rng: rand.New(rand.NewPCG(o.Seed, 0))}
	changeMeter := startResourceMeter(d)
	err := runOperatorsAndFaults(ctx, o, ops, injector)
	r.ControlCPUShare, r.ControlBytesPerSecond = changeMeter.read()
	if err == nil && o.FaultMode == FaultModeCrash && o.MissedChanges > 0 {
		var catchUpTimes []time.Duration
		catchUpTimes, err = injector.measureCatchUp(ctx, o.MissedChanges)
		r.CatchUp, r.CatchUpChanges = quantile(catchUpTimes, 1), o.MissedChanges
	}
	r.FaultRounds, r.LeaderLosses = injector.rounds, len(injector.leaderLossToAccept)
	r.HealToInForce, r.LeaderLossToAccept = quantile(injector.healToInForce, 1), quantile(injector.leaderLossToAccept, 1)
	r.IsolatedLeaderCurrent, r.RepairToVoter = quantile(injector.isolatedLeaderCurrent, 1), quantile(injector.repairToVoter, 1)
	if err != nil {
		return err
	}
	if !d.awaitInForce(ctx, t.highestVersion(), recoveryTimeout) {
		t.addViolation("version %d is not in force everywhere at the end", t.highestVersion())
	}
	return ops.readHistory(ctx)
}

// runOperatorsAndFaults runs the operators and the fault injector concurrently.
// The operators send changes until the last fault has ended, since the injector
// waits for accepted changes.
func runOperatorsAndFaults(ctx context.Context, o Options, ops *operators, injector *faultInjector) error {
	operatorsDone := make(chan struct{})
	faultsEnded := make(chan error, 1)
	go func() { faultsEnded <- injector.run(ctx, o.FaultMode, operatorsDone) }()
	err := ops.run(ctx, o.Changes, racingOperators, o.RaceInterval)
	close(operatorsDone)
	for {
		select {
		case faultErr := <-faultsEnded:
			if err == nil {
				err = faultErr
			}
			return err
		default:
			ops.runRace(ctx, racingOperators)
			time.Sleep(o.RaceInterval)
		}
	}
}

// resourceMeter measures the processor use of this process and the bytes that the
// instances send, both as averages per instance.
type resourceMeter struct {
	deployment *deployment
	startedAt  time.Time
	startCPU   time.Duration
	startBytes uint64
}

func startResourceMeter(d *deployment) resourceMeter {
	return resourceMeter{deployment: d, startedAt: time.Now(), startCPU: processCPU(), startBytes: d.sentBytes()}
}

// read returns two averages per instance since the start of the meter: the used
// processor time as a share of one core, and the sent bytes per second.
func (m resourceMeter) read() (cpu, bytes float64) {
	seconds := time.Since(m.startedAt).Seconds()
	instanceSeconds := seconds * float64(len(m.deployment.ids))
	return (processCPU() - m.startCPU).Seconds() / instanceSeconds, float64(m.deployment.sentBytes()-m.startBytes) / instanceSeconds
}

// processCPU returns the processor time that this process has used, or 0 if it
// is not available.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
