package configbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// faultTime is how long a fault lasts. It is longer than a lease and two
	// election timeouts.
	faultTime = 2500 * time.Millisecond
	// healLimit bounds the wait after a fault; the target is 5 s.
	healLimit = 15 * time.Second
	// calm is the time between the end of a fault and the next one.
	calm = 500 * time.Millisecond
	// statusInterval is the time between two status requests to an isolated
	// leader.
	statusInterval = 5 * time.Millisecond
)

// faults breaks the deployment and measures how it recovers.
type faults struct {
	cluster   *cluster
	tracker   *tracker
	operators *operators
	rng       *rand.Rand
	rounds    int

	healToInForce, leaderLoss, isolatedCurrent, promotion []time.Duration
}

// run injects faults of the mode until done is closed. At least one round ends.
func (f *faults) run(ctx context.Context, mode string, done <-chan struct{}) error {
	steps := map[string]func(context.Context) error{
		FaultsPartition: f.partition, FaultsCrash: f.crash, FaultsRepairThenLoss: f.repairThenLoss}
	step := steps[mode]
	if step == nil {
		return nil
	}
	for {
		if err := step(ctx); err != nil {
			return fmt.Errorf("%s, round %d: %w", mode, f.rounds+1, err)
		}
		f.rounds++
		select {
		case <-done:
			return nil
		case <-time.After(calm):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// heals measures how long it takes until all instances have what was accepted
// when the fault ended.
func (f *faults) heals(ctx context.Context) error {
	at := f.tracker.faultEnds()
	v := f.tracker.highest()
	if !f.cluster.awaitInForce(ctx, v, healLimit) {
		f.tracker.violation("version %d is not in force everywhere %v after a fault ended", v, healLimit)
		return nil
	}
	f.healToInForce = append(f.healToInForce, time.Since(at))
	return nil
}

// awaitAccept measures the time until a change is accepted that was first sent
// after the loss.
func (f *faults) awaitAccept(ctx context.Context, since time.Time) time.Duration {
	var at time.Time
	if !f.tracker.await(ctx, healLimit, func() bool {
		for n := len(f.tracker.accepts) - 1; n >= 0 && f.tracker.accepts[n].at.After(since); n-- {
			if a := f.tracker.accepts[n]; a.sent.After(since) {
				at = a.at
			}
		}
		return !at.IsZero()
	}) {
		f.tracker.violation("no change was accepted for %v after a loss", healLimit)
		return healLimit
	}
	return at.Sub(since)
}

// partition isolates the leader in every second round and another instance in
// the others, where the direction varies.
func (f *faults) partition(ctx context.Context) error {
	leader := f.cluster.index(f.tracker.currentLeader())
	k, send, receive := leader, true, true
	if f.rounds%2 == 1 {
		k = f.rng.IntN(len(f.cluster.ids))
		direction := f.rounds / 2 % 3
		send, receive = direction != 1, direction != 2
	}
	if k < 0 {
		return fmt.Errorf("no leader")
	}
	at := f.tracker.faultBegins()
	f.cluster.network.isolate(f.cluster.ids[k], f.cluster.ids, send, receive)
	ends := time.After(faultTime)
	if k == leader && send && receive {
		f.watchIsolated(ctx, k, at)
		f.leaderLoss = append(f.leaderLoss, f.awaitAccept(ctx, at))
	}
	select {
	case <-ends:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.cluster.network.heal()
	return f.heals(ctx)
}

// watchIsolated measures how long an isolated leader answers as current.
func (f *faults) watchIsolated(ctx context.Context, k int, since time.Time) {
	var last time.Duration
	for lasting := time.Since(since); lasting < faultTime/2; lasting = time.Since(since) {
		if f.operators.isCurrent(ctx, k) {
			last = lasting
		}
		time.Sleep(statusInterval)
	}
	f.isolatedCurrent = append(f.isolatedCurrent, last)
}

// crash ends the leader in every second round and another instance in the
// others, and starts it again.
func (f *faults) crash(ctx context.Context) error {
	leader := f.cluster.index(f.tracker.currentLeader())
	k := leader
	if f.rounds%2 == 1 {
		k = f.rng.IntN(len(f.cluster.ids))
	}
	if k < 0 {
		return fmt.Errorf("no leader")
	}
	at := f.tracker.faultBegins()
	f.cluster.kill(k)
	if k == leader {
		f.leaderLoss = append(f.leaderLoss, f.awaitAccept(ctx, at))
	}
	if err := f.cluster.restart(k); err != nil {
		return err
	}
	return f.heals(ctx)
}

// repairThenLoss takes the disk of a follower, lets it return, and ends a second
// member as soon as the first one counts in majorities again: the leader in
// every second round.
func (f *faults) repairThenLoss(ctx context.Context) error {
	leader := f.cluster.index(f.tracker.currentLeader())
	if leader < 0 {
		return fmt.Errorf("no leader")
	}
	group := f.cluster.options.Group
	repaired := (leader + 1 + f.rng.IntN(group-1)) % group
	if err := f.repair(ctx, repaired); err != nil {
		return err
	}
	leader = f.cluster.index(f.tracker.currentLeader())
	second := leader
	for f.rounds%2 == 1 && (second == leader || second == repaired) {
		second = f.rng.IntN(group)
	}
	at := f.tracker.faultBegins()
	f.cluster.kill(second)
	f.leaderLoss = append(f.leaderLoss, f.awaitAccept(ctx, at))
	if err := f.cluster.restart(second); err != nil {
		return err
	}
	return f.heals(ctx)
}

// repair replaces the disk of a member and waits until it is a voter again.
func (f *faults) repair(ctx context.Context, k int) error {
	id := f.cluster.ids[k]
	f.tracker.faultBegins()
	f.cluster.kill(k)
	if err := f.cluster.loseDisk(k); err != nil {
		return err
	}
	f.tracker.forgetMember(id)
	at := time.Now()
	if err := f.cluster.restart(k); err != nil {
		return err
	}
	if !f.tracker.await(ctx, healLimit, func() bool { return f.tracker.voters[id] }) {
		f.tracker.violation("%s did not return to the control group within %v", id, healLimit)
	}
	// The log line tells of the proposal. A change that is sent after it and
	// accepted proves that the proposal is committed.
	f.awaitAccept(ctx, time.Now())
	f.promotion = append(f.promotion, time.Since(at))
	return f.heals(ctx)
}

// away lets a member and an instance without a disk miss changes, and measures
// how long each takes to have the latest one in force.
func (f *faults) away(ctx context.Context, changes int) ([]time.Duration, error) {
	leader := f.cluster.index(f.tracker.currentLeader())
	stopped := []int{(leader + 1) % f.cluster.options.Group}
	if last := len(f.cluster.ids) - 1; last >= f.cluster.options.Group {
		stopped = append(stopped, last)
	}
	f.tracker.faultBegins()
	for _, k := range stopped {
		f.cluster.kill(k)
	}
	if err := f.operators.run(ctx, f.tracker.acceptedCount()+changes, 1, 0); err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, k := range stopped {
		v := f.tracker.highest()
		at := time.Now()
		if err := f.cluster.restart(k); err != nil {
			return nil, err
		}
		if !f.awaitAt(ctx, f.cluster.ids[k], v) {
			f.tracker.violation("%s lacks version %d %v after its return", f.cluster.ids[k], v, healLimit)
		}
		times = append(times, time.Since(at))
	}
	return times, f.heals(ctx)
}

func (f *faults) awaitAt(ctx context.Context, id model.InstanceID, v model.Version) bool {
	return f.tracker.await(ctx, healLimit, func() bool { return f.tracker.latest[id] >= v })
}
