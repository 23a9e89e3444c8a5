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
type accepted struct {
	id      string
	version model.Version
	base    model.Version
	// value is the content that only this change sets.
	value int64
	sent  time.Time
	at    time.Time
}

// install is a version that came into force at an instance.
type install struct {
	version model.Version
	at      time.Time
}

// window is the time of a fault.
type window struct{ from, to time.Time }

// tracker collects what happened. Instances and operators report to it.
type tracker struct {
	mu       sync.Mutex
	changed  chan struct{}
	installs map[model.InstanceID][]install
	latest   map[model.InstanceID]model.Version
	contents map[model.Version]int64
	accepts  []accepted
	faults   []window
	// history maps the identifiers of committed changes to their versions.
	history map[string][]model.Version

	leader model.InstanceID
	// learners and voters count the member lists that name the instance as such
	// since forgetMember.
	learners map[model.MemberID]bool
	voters   map[model.InstanceID]bool

	conflicts     int
	resends       int
	reverted      int
	doubleApplied int
	violations    []string
}

func newTracker() *tracker {
	return &tracker{
		changed:  make(chan struct{}),
		installs: map[model.InstanceID][]install{},
		latest:   map[model.InstanceID]model.Version{},
		contents: map[model.Version]int64{},
		history:  map[string][]model.Version{},
		learners: map[model.MemberID]bool{},
		voters:   map[model.InstanceID]bool{},
	}
}

// notify wakes those who await a condition. The caller holds the lock.
func (t *tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// await waits until the condition, which is checked under the lock, holds.
func (t *tracker) await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		t.mu.Lock()
		holds, changed := condition(), t.changed
		t.mu.Unlock()
		if holds {
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
func (t *tracker) installed(id model.InstanceID, c *model.Config) {
	at := time.Now()
	var value int64
	if len(c.Links) > 0 {
		value = c.Links[0].BytesPerSecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Version < t.latest[id] {
		t.reverted++
		t.fail("%s: version %d in force after %d", id, c.Version, t.latest[id])
	}
	t.latest[id] = max(t.latest[id], c.Version)
	t.installs[id] = append(t.installs[id], install{c.Version, at})
	if known, ok := t.contents[c.Version]; ok && known != value {
		t.fail("%s: version %d has content %d, elsewhere %d", id, c.Version, value, known)
	}
	t.contents[c.Version] = value
	t.notify()
}

func (t *tracker) violation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail(format, args...)
}

// fail records a violation. The caller holds the lock.
func (t *tracker) fail(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// accept takes an accepted change, or the answer to a resent one.
func (t *tracker) accept(a accepted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.accepts {
		switch {
		case other.id == a.id && other.version != a.version:
			t.doubleApplied++
			t.fail("change %s accepted as %d and as %d", a.id, other.version, a.version)
			return
		case other.id == a.id:
			return
		case other.base == a.base || other.version == a.version:
			t.fail("changes %s and %s both replaced version %d", other.id, a.id, a.base)
		}
	}
	t.accepts = append(t.accepts, a)
	t.notify()
}

func (t *tracker) count(field *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*field++
}

func (t *tracker) acceptedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.accepts)
}

// highest returns the highest version that was accepted or is in force.
func (t *tracker) highest() model.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v model.Version
	for _, l := range t.latest {
		v = max(v, l)
	}
	for _, a := range t.accepts {
		v = max(v, a.version)
	}
	return v
}

func (t *tracker) currentLeader() model.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader
}

// faultBegins opens a window; faultEnds closes it.
func (t *tracker) faultBegins() time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, window{from: now})
	return now
}

func (t *tracker) faultEnds() time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[len(t.faults)-1].to = now
	return now
}

// member matches an entry of a logged member list.
var member = regexp.MustCompile(`\{(\S+)/(\S+) (true|false)\}`)

// HandleLog implements log.Handler. It learns the leader and the members.
func (t *tracker) HandleLog(e *log.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	code, _ := e.Fields["event"].(int)
	switch logevent.Code(code) {
	case logevent.AgreementLeader:
		t.leader, _ = e.Fields["instance"].(model.InstanceID)
	case logevent.AgreementMembers:
		for _, m := range member.FindAllStringSubmatch(fmt.Sprint(e.Fields["members"]), -1) {
			// The former identity of an instance can still be a voter beside the
			// new one, so the disk tells them apart.
			id := model.MemberID{Instance: model.InstanceID(m[1]), Disk: model.DiskID(m[2])}
			if m[3] == "true" {
				t.learners[id] = true
			} else if t.learners[id] {
				t.voters[id.Instance] = true
			}
		}
	default:
		return nil
	}
	t.notify()
	return nil
}

func (t *tracker) forgetMember(id model.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.learners)
	delete(t.voters, id)
}
