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
	// content is a value that no other change sets.
	content int64
	// sentAt is the time of the first attempt.
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

// tracker records what instances and operators report and checks it.
type tracker struct {
	mu sync.Mutex
	// changed is closed and replaced when a condition of waitFor may have changed.
	changed chan struct{}
	inForce map[model.InstanceID][]inForceEvent
	// latestVersion holds the highest version that was in force at each instance.
	latestVersion map[model.InstanceID]model.Version
	// contentByVersion holds the content of each version that came into force.
	contentByVersion map[model.Version]int64
	acceptedChanges  []acceptedChange
	faultWindows     []faultWindow
	// history maps the identifiers of committed changes to their versions.
	history map[string][]model.Version

	// leader is the instance that was last elected leader.
	leader model.InstanceID
	// seenLearners holds the members that a logged member list has shown as
	// learners since the latest call of resetMember.
	seenLearners map[model.MemberID]bool
	// promoted holds the instances whose member was first a learner and then a
	// voter in the logged member lists.
	promoted map[model.InstanceID]bool

	// These counts are the figures of the same names in Report.
	conflicts     int
	resends       int
	reverted      int
	doubleApplied int
	violations    []string
}

func newTracker() *tracker {
	return &tracker{
		changed:          make(chan struct{}),
		inForce:          map[model.InstanceID][]inForceEvent{},
		latestVersion:    map[model.InstanceID]model.Version{},
		contentByVersion: map[model.Version]int64{},
		history:          map[string][]model.Version{},
		seenLearners:     map[model.MemberID]bool{},
		promoted:         map[model.InstanceID]bool{},
	}
}

// notify wakes all calls of waitFor, which then check their conditions. The
// caller holds the lock.
func (t *tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// waitFor waits until the condition is met, and returns false after the
// timeout. The condition is called with the lock held.
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
// checks that the version is not lower than an earlier one, and that the
// version has the same content at all instances.
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
	t.inForce[id] = append(t.inForce[id], inForceEvent{config.Version, at})
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

// recordAccepted records an accepted change. A change that is already recorded
// must have been accepted as the same version, and two changes must not have
// replaced the same version.
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

// increment increments a count of the tracker.
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

// highestVersion returns the highest version that was accepted or is in force
// at an instance.
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

// memberPattern matches an entry of a logged member list: the instance, the
// disk and whether the member is a learner.
var memberPattern = regexp.MustCompile(`\{(\S+)/(\S+) (true|false)\}`)

// HandleLog implements log.Handler. It extracts the leader and the members of
// the control group from the log.
func (t *tracker) HandleLog(e *log.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	code, _ := e.Fields["event"].(int)
	switch logevent.Code(code) {
	case logevent.AgreementLeader:
		t.leader, _ = e.Fields["instance"].(model.InstanceID)
	case logevent.AgreementMembers:
		for _, match := range memberPattern.FindAllStringSubmatch(fmt.Sprint(e.Fields["members"]), -1) {
			// The member with an instance's lost disk can still be a voter beside the
			// member with its new disk, so the members are distinguished by disk.
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

// resetMember discards what the tracker recorded about an instance as a learner
// and about its promotion.
func (t *tracker) resetMember(id model.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.seenLearners)
	delete(t.promoted, id)
}
