package configbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// faultDuration is how long a partition lasts. It is longer than a lease and
	// two election timeouts of average length.
	faultDuration = 2500 * time.Millisecond
	// recoveryTimeout bounds each wait for the recovery from a fault. The target
	// for the recovery is 5 s.
	recoveryTimeout = 15 * time.Second
	// faultPause is the time between the recovery from a fault and the next fault.
	faultPause = 500 * time.Millisecond
	// statusInterval is the time between two status requests to an isolated
	// leader.
	statusInterval = 5 * time.Millisecond
)

// faultInjector injects faults into the deployment and measures the recovery.
type faultInjector struct {
	deployment *deployment
	tracker    *tracker
	operators  *operators
	rng        *rand.Rand
	// rounds is the number of completed rounds. A round is one call of the
	// function of the fault mode: it injects a fault and waits for the
	// recovery.
	rounds int

	// The fields below hold the measured durations, at most one per round.
	// Report describes each figure and has the longest duration under the same
	// name.
	healToInForce, leaderLossToAccept, isolatedLeaderCurrent, repairToVoter []time.Duration
}

// run executes rounds of the fault mode until done is closed, but at least one.
// Without a fault mode it returns at once.
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

// awaitRecovery records the end of the fault and measures the time until the
// version that is the highest now is in force at all running instances.
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

// awaitAccepted waits until a change that was first sent after since is
// accepted, and returns the time from since until then.
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

// partition isolates an instance for faultDuration. In every second round,
// starting with the first, this is the leader, in both directions. In the other
// rounds it is a random instance, for which partition blocks in turn both
// directions, only the messages that it receives, and only those that it sends.
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

// measureIsolatedLeader measures how long an isolated leader reports that it is
// current.
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

// crash kills and restarts an instance: in every second round, starting with
// the first, the leader, in the other rounds a random instance.
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

// repairThenLoss restarts a follower without its disk. As soon as the follower
// is a voter again, repairThenLoss kills and restarts another member: in every
// second round, starting with the first, the leader, in the other rounds
// another follower.
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

// repair restarts a member without its disk and waits until it is a voter
// again.
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
	// The log line is written when the promotion is proposed. A change that is
	// sent later and accepted proves that the promotion is committed.
	f.awaitAccepted(ctx, time.Now())
	f.repairToVoter = append(f.repairToVoter, time.Since(restartedAt))
	return f.awaitRecovery(ctx)
}

// measureCatchUp stops a follower and, if there is one, an instance outside the
// control group, lets operators make a number of changes, and restarts the
// stopped instances. It returns how long after its restart each had the highest
// version in force.
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

// awaitVersionAt waits until the version or a later one is in force at an
// instance. It returns false after recoveryTimeout.
func (f *faultInjector) awaitVersionAt(ctx context.Context, id model.InstanceID, version model.Version) bool {
	return f.tracker.waitFor(ctx, recoveryTimeout, func() bool { return f.tracker.latestVersion[id] >= version })
}
