package configbench

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// addHistory stores the entries of the change history that an instance returned.
func (t *tracker) addHistory(entries []change.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if !slices.Contains(t.history[e.ID], e.Version) {
			t.history[e.ID] = append(t.history[e.ID], e.Version)
		}
	}
}

// checkAcceptedChanges compares the accepted changes with the change history
// and with the configurations that came into force, and records violations. It
// returns the number of lost changes. An accepted change is lost if the history
// lacks it, or if its version came into force with different content.
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

// inForceEverywhereAt returns the earliest time at which every instance had put the
// version or a higher one in force. It returns false if an instance has never done
// so. The caller holds the lock.
func (t *tracker) inForceEverywhereAt(version model.Version) (last time.Time, ok bool) {
	for _, events := range t.inForceEvents {
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
