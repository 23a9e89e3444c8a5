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

// accepted is a change that an operator was told is accepted.
type acceptedChange struct {
	id       string
	version  model.Version
	replaced model.Version
	// value is the content that only this change sets.
	content    int64
	sentAt     time.Time
	acceptedAt time.Time
}

// install is a version that came into force at an instance.
type inForceEvent struct {
	version model.Version
	at      time.Time
}

// window is the time of a fault.
type faultWindow struct{ from, to time.Time }

// tracker collects what happened. Instances and operators report to it.
type tracker struct {
	mu               sync.Mutex
	changed          chan struct{}
	inForce          map[model.InstanceID][]inForceEvent
	latestVersion    map[model.InstanceID]model.Version
	contentByVersion map[model.Version]int64
	acceptedChanges  []acceptedChange
	faultWindows     []faultWindow
	// history maps the identifiers of committed changes to their versions.
	history map[string][]model.Version

	leader model.InstanceID
	// learners and voters count the member lists that name the instance as such
	// since forgetMember.
	seenLearners map[model.MemberID]bool
	promoted     map[model.InstanceID]bool

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

// notify wakes those who await a condition. The caller holds the lock.
func (t *tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// await waits until the condition, which is checked under the lock, holds.
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

// installed takes a configuration that came into force.
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

func (t *tracker) addViolation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addViolationLocked(format, args...)
}

// fail records a violation. The caller holds the lock.
func (t *tracker) addViolationLocked(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// accept takes an accepted change, or the answer to a resent one.
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

// highest returns the highest version that was accepted or is in force.
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

// faultBegins opens a window; faultEnds closes it.
func (t *tracker) beginFault() time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultWindows = append(t.faultWindows, faultWindow{from: now})
	return now
}

func (t *tracker) endFault() time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultWindows[len(t.faultWindows)-1].to = now
	return now
}

// member matches an entry of a logged member list.
var memberPattern = regexp.MustCompile(`\{(\S+)/(\S+) (true|false)\}`)

// HandleLog implements log.Handler. It learns the leader and the members.
func (t *tracker) HandleLog(e *log.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	code, _ := e.Fields["event"].(int)
	switch logevent.Code(code) {
	case logevent.AgreementLeader:
		t.leader, _ = e.Fields["instance"].(model.InstanceID)
	case logevent.AgreementMembers:
		for _, match := range memberPattern.FindAllStringSubmatch(fmt.Sprint(e.Fields["members"]), -1) {
			// The former identity of an instance can still be a voter beside the
			// new one, so the disk tells them apart.
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

func (t *tracker) resetMember(id model.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.seenLearners)
	delete(t.promoted, id)
}
