package configbench

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// addHistory takes the history that an instance told.
func (t *tracker) addHistory(entries []change.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if !slices.Contains(t.history[e.ID], e.Version) {
			t.history[e.ID] = append(t.history[e.ID], e.Version)
		}
	}
}

// check compares what operators were told with the history and with what came
// into force. It returns how many accepted changes are missing.
func (t *tracker) checkAcceptedChanges() (lost int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, versions := range t.history {
		if len(versions) > 1 {
			t.doubleApplied++
			t.addViolationLocked("change %s is in the history as %v", id, versions)
		}
	}
	for _, a := range t.acceptedChanges {
		content, known := t.contentByVersion[a.version]
		if !slices.Contains(t.history[a.id], a.version) || known && content != a.content {
			lost++
			t.addViolationLocked("change %s, accepted as %d: history %v, content %d", a.id, a.version, t.history[a.id], content)
		}
	}
	return lost
}

// inForceAt returns when the version or a higher one was first in force at every
// instance, and false if an instance never got it.
func (t *tracker) inForceEverywhereAt(version model.Version) (last time.Time, ok bool) {
	for _, events := range t.inForce {
		first := slices.IndexFunc(events, func(e inForceEvent) bool { return e.version >= version })
		if first < 0 {
			return last, false
		}
		if events[first].at.After(last) {
			last = events[first].at
		}
	}
	return last, true
}
