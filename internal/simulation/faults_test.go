package simulation

import (
	"strings"
	"testing"

	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/state"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// Guards against checks of the schedules that a broken rule passes unnoticed.
func TestSchedulesCatchBrokenRules(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   string
		faults state.Faults
	}{
		{"takeover without a wait", "slots", state.Faults{Permits: permit.Faults{FreeOnTakeover: true}}},
		{"permit ends before its attempt", "slots", state.Faults{Permits: permit.Faults{ExpireEarly: true}}},
		{"handover without its permits", "slots", state.Faults{Permits: permit.Faults{NoForward: true}}},
		{"grants after a handover", "slots", state.Faults{Upstreams: upstream.Faults{KeepAfterHandover: true}}},
		{"permit without validity", "after its drain", state.Faults{Permits: permit.Faults{NoValidity: true}}},
		{"drain ignored", "after its drain", state.Faults{Upstreams: upstream.Faults{IgnoreDrain: true}}},
		{"share ignored", "under a cap", state.Faults{Permits: permit.Faults{IgnoreShare: true}}},
		{"unknown outcome repeated", "ran 2 times", state.Faults{Requests: request.Faults{RetryUnknownOutcome: true}}},
		{"unknown outcome denied", "told not run and ran", state.Faults{Requests: request.Faults{ReportNotExecuted: true}}},
		{"deadline ignored", "has not ended", state.Faults{Requests: request.Faults{NeverExpire: true}}},
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
