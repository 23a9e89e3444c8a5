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
func (t *tracker) check() (lost int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, versions := range t.history {
		if len(versions) > 1 {
			t.doubleApplied++
			t.fail("change %s is in the history as %v", id, versions)
		}
	}
	for _, a := range t.accepts {
		value, shown := t.contents[a.version]
		if !slices.Contains(t.history[a.id], a.version) || shown && value != a.value {
			lost++
			t.fail("change %s, accepted as %d: history %v, content %d", a.id, a.version, t.history[a.id], value)
		}
	}
	return lost
}

// inForceAt returns when the version or a higher one was first in force at every
// instance, and false if an instance never got it.
func (t *tracker) inForceAt(v model.Version) (last time.Time, ok bool) {
	for _, list := range t.installs {
		n := slices.IndexFunc(list, func(i install) bool { return i.version >= v })
		if n < 0 {
			return last, false
		}
		if list[n].at.After(last) {
			last = list[n].at
		}
	}
	return last, true
}
