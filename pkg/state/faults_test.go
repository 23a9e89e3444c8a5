package state

import (
	"strings"
	"testing"
)

// Guards against checks of the schedules that a broken rule passes unnoticed.
func TestSchedulesCatchBrokenRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   string
		faults func(*State)
	}{
		{"takeover without a wait", "slots", func(s *State) { s.permits.Faults.FreeOnTakeover = true }},
		{"permit ends before its attempt", "slots", func(s *State) { s.permits.Faults.ExpireEarly = true }},
		{"handover without its permits", "slots", func(s *State) { s.permits.Faults.NoForward = true }},
		{"grants after a handover", "slots", func(s *State) { s.upstreams.Faults.KeepAfterHandover = true }},
		{"permit without validity", "after its drain", func(s *State) { s.permits.Faults.NoValidity = true }},
		{"drain ignored", "after its drain", func(s *State) { s.upstreams.Faults.IgnoreDrain = true }},
		{"share ignored", "under a cap", func(s *State) { s.permits.Faults.IgnoreShare = true }},
		{"unknown outcome repeated", "ran 2 times", func(s *State) { s.requests.Faults.RepeatUnknown = true }},
		{"unknown outcome denied", "told not run and ran", func(s *State) { s.requests.Faults.DenyRun = true }},
		{"deadline ignored", "has not ended", func(s *State) { s.requests.Faults.NeverExpire = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, violation, _ := runSchedules(defaultSchedules, c.faults)
			if !strings.Contains(violation, c.want) {
				t.Fatalf("seed %d: violation %q, want one with %q", seed, violation, c.want)
			}
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}
