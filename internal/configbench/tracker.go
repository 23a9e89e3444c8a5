package configbench

import (
	"context"
	"fmt"
	"regexp"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// acceptedChange is a change that an instance has reported as accepted to an
// operator.
type acceptedChange struct {
	id string
	// version is the version that the change made.
	version model.Version
	// replaced is the version that the operator expected to replace.
	replaced model.Version
	// content is the value that the change sets. Every change sets a different one.
	content int64
	// sentAt is the time of the operator's first attempt to send the change.
	sentAt     time.Time
	acceptedAt time.Time
}

// inForceEvent records that a version came into force at an instance.
type inForceEvent struct {
	version model.Version
	at      time.Time
}

// faultWindow is the time span of a fault. While the fault lasts, to is zero.
type faultWindow struct{ from, to time.Time }

// tracker records which changes were accepted and which versions came into force,
// and checks that they are consistent.
type tracker struct {
	mu sync.Mutex
	// changed is closed and replaced by a new channel when the calls of waitFor
	// must check their conditions again.
	changed       chan struct{}
	inForceEvents map[model.InstanceID][]inForceEvent
	// latestVersion holds the highest version that has been in force at each
	// instance.
	latestVersion map[model.InstanceID]model.Version
	// contentByVersion holds the content of each version that came into force.
	contentByVersion map[model.Version]int64
	acceptedChanges  []acceptedChange
	faultWindows     []faultWindow
	// history maps the identifier of each committed change to the versions that it
	// made. There are several versions only if the change was applied repeatedly.
	history map[string][]model.Version

	// leader is the instance that was last elected leader.
	leader model.InstanceID
	// seenLearners holds the members of the control group that a logged member list
	// has shown as learners since the latest call of resetMember.
	seenLearners map[model.MemberID]bool
	// promoted holds the instances that the logged member lists of the control
	// group have shown first as learners and then as voters.
	promoted map[model.InstanceID]bool

	// The fields of Report with the same names describe these counts.
	conflicts     int
	resends       int
	reverted      int
	doubleApplied int
	violations    []string
}

func newTracker() *tracker {
	return &tracker{
		changed:          make(chan struct{}),
		inForceEvents:    map[model.InstanceID][]inForceEvent{},
		latestVersion:    map[model.InstanceID]model.Version{},
		contentByVersion: map[model.Version]int64{},
		history:          map[string][]model.Version{},
		seenLearners:     map[model.MemberID]bool{},
		promoted:         map[model.InstanceID]bool{},
	}
}

// notify wakes all calls of waitFor, which then check their conditions again. The
// caller holds the lock.
func (t *tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// waitFor waits until condition returns true. It returns false if that has not
// happened before the timeout. It calls condition with the lock held.
func (t *tracker) waitFor(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		t.mu.Lock()
		met, changed := condition(), t.changed
		t.mu.Unlock()
		if met {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// recordInForce records that a configuration came into force at an instance. It
// checks that the version is not lower than the highest version that the
// instance has had in force, and that the version has the same content at all
// instances.
func (t *tracker) recordInForce(id model.InstanceID, config *model.Config) {
	at := time.Now()
	var content int64
	if len(config.Links) > 0 {
		content = config.Links[0].BytesPerSecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if config.Version < t.latestVersion[id] {
		t.reverted++
		t.addViolationLocked("%s: version %d in force after %d", id, config.Version, t.latestVersion[id])
	}
	t.latestVersion[id] = max(t.latestVersion[id], config.Version)
	t.inForceEvents[id] = append(t.inForceEvents[id], inForceEvent{config.Version, at})
	if other, ok := t.contentByVersion[config.Version]; ok && other != content {
		t.addViolationLocked("%s: version %d has content %d, elsewhere %d", id, config.Version, content, other)
	}
	t.contentByVersion[config.Version] = content
	t.notify()
}

// addViolation records a violation.
func (t *tracker) addViolation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation for callers that hold the lock.
func (t *tracker) addViolationLocked(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// recordAccepted records an accepted change. It records a violation if the same
// change was accepted before as another version, or if another accepted change has
// replaced or made the same version.
func (t *tracker) recordAccepted(a acceptedChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.acceptedChanges {
		switch {
		case other.id == a.id && other.version != a.version:
			t.doubleApplied++
			t.addViolationLocked("change %s accepted as %d and as %d", a.id, other.version, a.version)
			return
		case other.id == a.id:
			return
		case other.replaced == a.replaced || other.version == a.version:
			t.addViolationLocked("changes %s and %s both replaced version %d", other.id, a.id, a.replaced)
		}
	}
	t.acceptedChanges = append(t.acceptedChanges, a)
	t.notify()
}

// increment adds 1 to a count field of the tracker.
func (t *tracker) increment(field *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*field++
}

func (t *tracker) acceptedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.acceptedChanges)
}

// highestVersion returns the highest configuration version that an accepted change
// has made or that has come into force at an instance.
func (t *tracker) highestVersion() model.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	var highest model.Version
	for _, version := range t.latestVersion {
		highest = max(highest, version)
	}
	for _, a := range t.acceptedChanges {
		highest = max(highest, a.version)
	}
	return highest
}

func (t *tracker) currentLeader() model.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader
}

// beginFault records and returns the start of a fault.
func (t *tracker) beginFault() time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultWindows = append(t.faultWindows, faultWindow{from: now})
	return now
}

// endFault records and returns the end of the latest fault.
func (t *tracker) endFault() time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultWindows[len(t.faultWindows)-1].to = now
	return now
}

// memberPattern matches a member in a logged list of the control group's members.
// Its groups are the instance, the disk and whether the member is a learner.
var memberPattern = regexp.MustCompile(`\{(\S+)/(\S+) (true|false)\}`)

// HandleLog implements log.Handler. It reads the leader and the members of the
// control group from the log entries of the instances.
func (t *tracker) HandleLog(e *log.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	code, _ := e.Fields["event"].(int)
	switch logevent.Code(code) {
	case logevent.AgreementLeader:
		t.leader, _ = e.Fields["instance"].(model.InstanceID)
	case logevent.AgreementMembers:
		for _, match := range memberPattern.FindAllStringSubmatch(fmt.Sprint(e.Fields["members"]), -1) {
			// After an instance has lost its disk, the list can contain it twice: with
			// the lost disk, still as a voter, and with the new disk. Only the disk
			// distinguishes these two members.
			id := model.MemberID{Instance: model.InstanceID(match[1]), Disk: model.DiskID(match[2])}
			if match[3] == "true" {
				t.seenLearners[id] = true
			} else if t.seenLearners[id] {
				t.promoted[id.Instance] = true
			}
		}
	default:
		return nil
	}
	t.notify()
	return nil
}

// resetMember forgets the promotion of an instance, and which members of the control
// group were learners, so that the next promotion of the instance is noticed.
func (t *tracker) resetMember(id model.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.seenLearners)
	delete(t.promoted, id)
}
