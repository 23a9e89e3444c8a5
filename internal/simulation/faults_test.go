package simulation

import (
	"strings"
	"testing"

	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/state"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// Guards against checks that do not detect a violated rule. Each case disables
// one rule of the reducer; the schedules must then report the violation that
// follows.
func TestSchedulesDetectDisabledRules(t *testing.T) {
	for _, c := range []struct {
		name          string
		want          string
		disabledRules state.DisabledRules
	}{
		{"takeover without a wait", "slots", state.DisabledRules{Permits: permit.DisabledRules{FreeOnTakeover: true}}},
		{"permit expires before its attempt ends", "slots", state.DisabledRules{Permits: permit.DisabledRules{ExpireEarly: true}}},
		{"handover without permits", "slots", state.DisabledRules{Permits: permit.DisabledRules{NoForward: true}}},
		{"grants after a handover", "slots", state.DisabledRules{Upstreams: upstream.DisabledRules{KeepAfterHandover: true}}},
		{"permit dispatched after its validity", "after its drain", state.DisabledRules{Permits: permit.DisabledRules{NoValidity: true}}},
		{"drain ignored", "after its drain", state.DisabledRules{Upstreams: upstream.DisabledRules{IgnoreDrain: true}}},
		{"share of the shift cap ignored", "under a cap", state.DisabledRules{Permits: permit.DisabledRules{IgnoreShare: true}}},
		{"unknown outcome retried", "was executed 2 times", state.DisabledRules{Requests: request.DisabledRules{RetryUnknownOutcome: true}}},
		{"unknown outcome reported as not executed", "was reported not executed and was executed", state.DisabledRules{Requests: request.DisabledRules{ReportNotExecuted: true}}},
		{"deadline ignored", "has not ended", state.DisabledRules{Requests: request.DisabledRules{NeverExpire: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, violation, _ := runSchedules(defaultSchedules, c.disabledRules)
			if !strings.Contains(violation, c.want) {
				t.Fatalf("seed %d: violation %q, want one with %q", seed, violation, c.want)
			}
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}
