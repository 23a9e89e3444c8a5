package configbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// partitionDuration is how long a partition lasts at least. It is longer than
	// the lease of a leader plus two election timeouts of average length.
	partitionDuration = 2500 * time.Millisecond
	// recoveryTimeout bounds each wait until the deployment has recovered from a
	// fault. It is three times the target for the recovery, 5 s.
	recoveryTimeout = 15 * time.Second
	// faultPause is the time between the recovery from a fault and the next fault.
	faultPause = 500 * time.Millisecond
	// statusInterval is the pause between two status requests to an isolated
	// leader.
	statusInterval = 5 * time.Millisecond
)

// faultInjector injects faults into the deployment and measures how long the
// deployment takes to recover.
type faultInjector struct {
	deployment *deployment
	tracker    *tracker
	operators  *operators
	rng        *rand.Rand
	// rounds is the number of completed rounds. In a round, the method of the
	// fault mode (partition, crash or repairThenLoss) injects its faults and waits
	// until the deployment has recovered.
	rounds int

	// Each field below holds durations that were measured in different rounds. The
	// field of Report with the same name describes them and holds the longest one.
	healToInForce, leaderLossToAccept, isolatedLeaderCurrent, repairToVoter []time.Duration
}

// run executes rounds of the fault mode until done is closed, but at least one
// round. With FaultModeNone it returns at once.
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

// awaitRecovery records the end of the fault. Then it measures how long it takes
// until the highest version at the end of the fault is in force at all running
// instances.
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

// awaitAccepted waits until a change is accepted that an operator first sent
// after the time since. It returns the time from since until the change was
// accepted, or recoveryTimeout if no such change was accepted in that time.
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

// partition isolates one instance from all others for at least partitionDuration.
// In rounds 1, 3, 5 and so on, it isolates the leader and blocks the messages in
// both directions. In the other rounds, it isolates a random instance and blocks in
// turn all messages of the instance, only the messages to the instance, and only
// the messages from the instance. If all messages of the leader are blocked, the
// partition also lasts until a change is accepted, for recoveryTimeout at most.
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
	faultOver := time.After(partitionDuration)
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

// measureIsolatedLeader measures how long an isolated leader still reports in its
// status that it is the leader with a valid lease. The time counts from since.
func (f *faultInjector) measureIsolatedLeader(ctx context.Context, index int, since time.Time) {
	var lastCurrent time.Duration
	for elapsed := time.Since(since); elapsed < partitionDuration/2; elapsed = time.Since(since) {
		if f.operators.isCurrentLeader(ctx, index) {
			lastCurrent = elapsed
		}
		time.Sleep(statusInterval)
	}
	f.isolatedLeaderCurrent = append(f.isolatedLeaderCurrent, lastCurrent)
}

// crash kills and restarts one instance. In rounds 1, 3, 5 and so on, this is the
// leader; in the other rounds it is a random instance.
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

// repairThenLoss restarts a follower of the control group without its disk. As soon
// as this follower is a voter again, it kills and restarts another member. In
// rounds 1, 3, 5 and so on, the other member is the leader; in the other rounds it
// is another follower.
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

// repair restarts a member of the control group without its disk and waits until
// the member is a voter again.
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
	// The log line that sets promoted is written when the promotion of the
	// member to a voter is proposed. The promotion is certainly committed when
	// a change that was sent later is accepted.
	f.awaitAccepted(ctx, time.Now())
	f.repairToVoter = append(f.repairToVoter, time.Since(restartedAt))
	return f.awaitRecovery(ctx)
}

// measureCatchUp stops a follower and, if there is one, an instance outside the
// control group. While they are stopped, an operator makes the given number of
// changes. Then measureCatchUp restarts the stopped instances one after the
// other. It returns how long each of them took, from its restart, to put the
// highest version in force.
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

// awaitVersionAt waits until the given configuration version or a later one is in
// force at an instance. It returns false after recoveryTimeout.
func (f *faultInjector) awaitVersionAt(ctx context.Context, id model.InstanceID, version model.Version) bool {
	return f.tracker.waitFor(ctx, recoveryTimeout, func() bool { return f.tracker.latestVersion[id] >= version })
}
