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
	// startLimit bounds the start of the deployment.
	startLimit = 60 * time.Second
	// idleTime is how long the deployment is measured without changes.
	idleTime = 3 * time.Second
	// firstVersion is the lowest version of a founded deployment.
	firstVersion = 2
)

// Run runs a deployment under changes and faults and checks the outcome.
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
	c, err := newCluster(o, dir, t)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	begin := time.Now()
	for k := range c.settings {
		if err := c.start(k); err != nil {
			return nil, err
		}
	}
	if !c.awaitInForce(ctx, firstVersion, startLimit) {
		return nil, fmt.Errorf("the deployment has no configuration %v after its start", startLimit)
	}
	r := &Report{Faults: o.Faults, Instances: o.Instances, Group: o.Group, Seed: o.Seed}
	if err := measure(ctx, o, c, t, r); err != nil {
		t.violation("%v", err)
	}
	r.fill(t)
	r.Seconds = time.Since(begin).Seconds()
	return r, nil
}

// measure lets operators and faults run and collects the figures that need the
// running deployment.
func measure(ctx context.Context, o Options, c *cluster, t *tracker, r *Report) error {
	idle := startMeter(c)
	time.Sleep(idleTime)
	r.IdleCPUShare, r.IdleBytesPerSecond = idle.read()

	ops := newOperators(c, t, o.Seed)
	defer ops.client.CloseIdleConnections()
	f := &faults{cluster: c, tracker: t, operators: ops, rng: rand.New(rand.NewPCG(o.Seed, 0))}
	changing := startMeter(c)
	err := runBoth(ctx, o, ops, f)
	r.ControlCPUShare, r.ControlBytesPerSecond = changing.read()
	if err == nil && o.Faults == FaultsCrash && o.Away > 0 {
		var times []time.Duration
		times, err = f.away(ctx, o.Away)
		r.CatchUp, r.CatchUpChanges = quantile(times, 1), o.Away
	}
	r.FaultRounds, r.LeaderLosses = f.rounds, len(f.leaderLoss)
	r.HealToInForce, r.LeaderLoss = quantile(f.healToInForce, 1), quantile(f.leaderLoss, 1)
	r.IsolatedCurrent, r.Promotion = quantile(f.isolatedCurrent, 1), quantile(f.promotion, 1)
	if err != nil {
		return err
	}
	if !c.awaitInForce(ctx, t.highest(), healLimit) {
		t.violation("version %d is not in force everywhere at the end", t.highest())
	}
	return ops.readHistory(ctx)
}

// runBoth runs operators and faults at the same time. Operators go on until the
// last fault has ended, since the measurements of faults wait for changes.
func runBoth(ctx context.Context, o Options, ops *operators, f *faults) error {
	done := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- f.run(ctx, o.Faults, done) }()
	err := ops.run(ctx, o.Changes, racers, o.Interval)
	close(done)
	for {
		select {
		case faultErr := <-ended:
			if err == nil {
				err = faultErr
			}
			return err
		default:
			ops.round(ctx, racers)
			time.Sleep(o.Interval)
		}
	}
}

// meter measures the cost of control per instance.
type meter struct {
	cluster *cluster
	at      time.Time
	cpu     time.Duration
	bytes   uint64
}

func startMeter(c *cluster) meter {
	return meter{cluster: c, at: time.Now(), cpu: processCPU(), bytes: c.sentBytes()}
}

// read returns cores and bytes per second for one instance.
func (m meter) read() (cpu, bytes float64) {
	seconds := time.Since(m.at).Seconds()
	each := seconds * float64(len(m.cluster.ids))
	return (processCPU() - m.cpu).Seconds() / each, float64(m.cluster.sentBytes()-m.bytes) / each
}

// processCPU returns the processor time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
