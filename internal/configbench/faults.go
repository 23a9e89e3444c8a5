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
	faultDuration = 2500 * time.Millisecond
	// healLimit bounds the wait after a fault; the target is 5 s.
	recoveryTimeout = 15 * time.Second
	// calm is the time between the end of a fault and the next one.
	faultPause = 500 * time.Millisecond
	// statusInterval is the time between two status requests to an isolated
	// leader.
	statusInterval = 5 * time.Millisecond
)

// faults breaks the deployment and measures how it recovers.
type faultInjector struct {
	deployment *deployment
	tracker    *tracker
	operators  *operators
	rng        *rand.Rand
	rounds     int

	healToInForce, leaderLossToAccept, isolatedLeaderCurrent, repairToVoter []time.Duration
}

// run injects faults of the mode until done is closed. At least one round ends.
func (f *faultInjector) run(ctx context.Context, mode string, done <-chan struct{}) error {
	modes := map[string]func(context.Context) error{
		FaultModePartition: f.partition, FaultModeCrash: f.crash, FaultModeRepairThenLoss: f.repairThenLoss}
	injectFault := modes[mode]
	if injectFault == nil {
		return nil
	}
	for {
		if err := injectFault(ctx); err != nil {
			return fmt.Errorf("%s, round %d: %w", mode, f.rounds+1, err)
		}
		f.rounds++
		select {
		case <-done:
			return nil
		case <-time.After(faultPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// heals measures how long it takes until all instances have what was accepted
// when the fault ended.
func (f *faultInjector) awaitRecovery(ctx context.Context) error {
	endedAt := f.tracker.endFault()
	version := f.tracker.highestVersion()
	if !f.deployment.awaitInForce(ctx, version, recoveryTimeout) {
		f.tracker.addViolation("version %d is not in force everywhere %v after a fault ended", version, recoveryTimeout)
		return nil
	}
	f.healToInForce = append(f.healToInForce, time.Since(endedAt))
	return nil
}

// awaitAccept measures the time until a change is accepted that was first sent
// after the loss.
func (f *faultInjector) awaitAccepted(ctx context.Context, since time.Time) time.Duration {
	var acceptedAt time.Time
	if !f.tracker.waitFor(ctx, recoveryTimeout, func() bool {
		for n := len(f.tracker.acceptedChanges) - 1; n >= 0 && f.tracker.acceptedChanges[n].acceptedAt.After(since); n-- {
			if a := f.tracker.acceptedChanges[n]; a.sentAt.After(since) {
				acceptedAt = a.acceptedAt
			}
		}
		return !acceptedAt.IsZero()
	}) {
		f.tracker.addViolation("no change was accepted for %v after a loss", recoveryTimeout)
		return recoveryTimeout
	}
	return acceptedAt.Sub(since)
}

// partition isolates the leader in every second round and another instance in
// the others, where the direction varies.
func (f *faultInjector) partition(ctx context.Context) error {
	leader := f.deployment.indexOf(f.tracker.currentLeader())
	target, send, receive := leader, true, true
	if f.rounds%2 == 1 {
		target = f.rng.IntN(len(f.deployment.ids))
		variant := f.rounds / 2 % 3
		send, receive = variant != 1, variant != 2
	}
	if target < 0 {
		return fmt.Errorf("no leader")
	}
	faultStart := f.tracker.beginFault()
	f.deployment.network.isolate(f.deployment.ids[target], f.deployment.ids, send, receive)
	faultOver := time.After(faultDuration)
	if target == leader && send && receive {
		f.measureIsolatedLeader(ctx, target, faultStart)
		f.leaderLossToAccept = append(f.leaderLossToAccept, f.awaitAccepted(ctx, faultStart))
	}
	select {
	case <-faultOver:
	case <-ctx.Done():
		return ctx.Err()
	}
	f.deployment.network.heal()
	return f.awaitRecovery(ctx)
}

// watchIsolated measures how long an isolated leader answers as current.
func (f *faultInjector) measureIsolatedLeader(ctx context.Context, index int, since time.Time) {
	var lastCurrent time.Duration
	for elapsed := time.Since(since); elapsed < faultDuration/2; elapsed = time.Since(since) {
		if f.operators.isCurrentLeader(ctx, index) {
			lastCurrent = elapsed
		}
		time.Sleep(statusInterval)
	}
	f.isolatedLeaderCurrent = append(f.isolatedLeaderCurrent, lastCurrent)
}

// crash ends the leader in every second round and another instance in the
// others, and starts it again.
func (f *faultInjector) crash(ctx context.Context) error {
	leader := f.deployment.indexOf(f.tracker.currentLeader())
	target := leader
	if f.rounds%2 == 1 {
		target = f.rng.IntN(len(f.deployment.ids))
	}
	if target < 0 {
		return fmt.Errorf("no leader")
	}
	faultStart := f.tracker.beginFault()
	f.deployment.kill(target)
	if target == leader {
		f.leaderLossToAccept = append(f.leaderLossToAccept, f.awaitAccepted(ctx, faultStart))
	}
	if err := f.deployment.restart(target); err != nil {
		return err
	}
	return f.awaitRecovery(ctx)
}

// repairThenLoss takes the disk of a follower, lets it return, and ends a second
// member as soon as the first one counts in majorities again: the leader in
// every second round.
func (f *faultInjector) repairThenLoss(ctx context.Context) error {
	leader := f.deployment.indexOf(f.tracker.currentLeader())
	if leader < 0 {
		return fmt.Errorf("no leader")
	}
	groupSize := f.deployment.options.GroupSize
	repaired := (leader + 1 + f.rng.IntN(groupSize-1)) % groupSize
	if err := f.repair(ctx, repaired); err != nil {
		return err
	}
	leader = f.deployment.indexOf(f.tracker.currentLeader())
	killed := leader
	for f.rounds%2 == 1 && (killed == leader || killed == repaired) {
		killed = f.rng.IntN(groupSize)
	}
	faultStart := f.tracker.beginFault()
	f.deployment.kill(killed)
	f.leaderLossToAccept = append(f.leaderLossToAccept, f.awaitAccepted(ctx, faultStart))
	if err := f.deployment.restart(killed); err != nil {
		return err
	}
	return f.awaitRecovery(ctx)
}

// repair replaces the disk of a member and waits until it is a voter again.
func (f *faultInjector) repair(ctx context.Context, index int) error {
	id := f.deployment.ids[index]
	f.tracker.beginFault()
	f.deployment.kill(index)
	if err := f.deployment.removeDataFolder(index); err != nil {
		return err
	}
	f.tracker.resetMember(id)
	restartedAt := time.Now()
	if err := f.deployment.restart(index); err != nil {
		return err
	}
	if !f.tracker.waitFor(ctx, recoveryTimeout, func() bool { return f.tracker.promoted[id] }) {
		f.tracker.addViolation("%s did not return to the control group within %v", id, recoveryTimeout)
	}
	// The log line tells of the proposal. A change that is sent after it and
	// accepted proves that the proposal is committed.
	f.awaitAccepted(ctx, time.Now())
	f.repairToVoter = append(f.repairToVoter, time.Since(restartedAt))
	return f.awaitRecovery(ctx)
}

// away lets a member and an instance without a disk miss changes, and measures
// how long each takes to have the latest one in force.
func (f *faultInjector) measureCatchUp(ctx context.Context, changes int) ([]time.Duration, error) {
	leader := f.deployment.indexOf(f.tracker.currentLeader())
	stopped := []int{(leader + 1) % f.deployment.options.GroupSize}
	if last := len(f.deployment.ids) - 1; last >= f.deployment.options.GroupSize {
		stopped = append(stopped, last)
	}
	f.tracker.beginFault()
	for _, k := range stopped {
		f.deployment.kill(k)
	}
	if err := f.operators.run(ctx, f.tracker.acceptedCount()+changes, 1, 0); err != nil {
		return nil, err
	}
	var durations []time.Duration
	for _, k := range stopped {
		version := f.tracker.highestVersion()
		restartedAt := time.Now()
		if err := f.deployment.restart(k); err != nil {
			return nil, err
		}
		if !f.awaitVersionAt(ctx, f.deployment.ids[k], version) {
			f.tracker.addViolation("%s lacks version %d %v after its return", f.deployment.ids[k], version, recoveryTimeout)
		}
		durations = append(durations, time.Since(restartedAt))
	}
	return durations, f.awaitRecovery(ctx)
}

func (f *faultInjector) awaitVersionAt(ctx context.Context, id model.InstanceID, version model.Version) bool {
	return f.tracker.waitFor(ctx, recoveryTimeout, func() bool { return f.tracker.latestVersion[id] >= version })
}
