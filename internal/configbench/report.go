package configbench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Report is the result of a run. Times are in milliseconds.
type Report struct {
	FaultMode string `json:"faults"`
	Instances int    `json:"instances"`
	GroupSize int    `json:"group"`
	Seed      uint64 `json:"seed"`

	Accepted  int `json:"accepted"`
	Conflicts int `json:"conflicts"`
	// Resends counts answers that the bench kept from the operators.
	Resends     int `json:"resends"`
	FaultRounds int `json:"fault_rounds"`

	// InForce are the times from the answer to an operator, or from the first
	// instance that had the version in force if that was earlier, until it was
	// in force everywhere. Changes that met a fault are left out.
	InForceSamples int     `json:"in_force_samples"`
	InForceP50     float64 `json:"in_force_p50_ms"`
	InForceP99     float64 `json:"in_force_p99_ms"`
	InForceMax     float64 `json:"in_force_max_ms"`
	// FaultInForce is the longest time from the end of a fault until a change
	// that met it was in force everywhere.
	InForceAfterFaultMax float64 `json:"in_force_after_fault_max_ms"`
	AcceptP50            float64 `json:"accept_p50_ms"`
	AcceptP99            float64 `json:"accept_p99_ms"`

	HealToInForce         float64 `json:"heal_to_in_force_ms"`
	LeaderLossToAccept    float64 `json:"leader_loss_to_accept_ms"`
	LeaderLosses          int     `json:"leader_losses"`
	IsolatedLeaderCurrent float64 `json:"isolated_leader_current_ms"`
	RepairToVoter         float64 `json:"repair_to_voter_ms"`
	CatchUp               float64 `json:"catch_up_ms"`
	CatchUpChanges        int     `json:"catch_up_changes"`

	Reverted      int `json:"reverted"`
	LostAccepted  int `json:"lost_accepted"`
	DoubleApplied int `json:"double_applied"`
	Violations    int `json:"violations"`
	// Details name the first violations.
	Details []string `json:"details,omitempty"`

	// ControlCPUShare is the share of one core per instance. It includes the
	// bench itself, so it is an upper bound.
	ControlCPUShare float64 `json:"control_cpu_share"`
	// ControlBytesPerSecond is what one instance sends to others.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// IdleCPUShare and IdleBytesPerSecond are the same without changes.
	IdleCPUShare       float64 `json:"idle_cpu_share"`
	IdleBytesPerSecond float64 `json:"idle_bytes_per_second"`
	Seconds            float64 `json:"seconds"`
}

// Failed reports whether a figure that has to be 0 is not.
func (r *Report) Failed() bool {
	return r.Reverted+r.LostAccepted+r.DoubleApplied+r.Violations > 0
}

// maxDetails bounds the violations that a report names.
const maxDetails = 10

// fill computes the figures from what was tracked.
func (r *Report) fill(t *tracker) {
	r.LostAccepted = t.checkAcceptedChanges()
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Accepted, r.Conflicts, r.Resends = len(t.acceptedChanges), t.conflicts, t.resends
	r.Reverted, r.DoubleApplied = t.reverted, t.doubleApplied
	var undisturbed, acceptTimes []time.Duration
	for _, a := range t.acceptedChanges {
		everywhereAt, ok := t.inForceEverywhereAt(a.version)
		if !ok {
			t.addViolationLocked("change %s, version %d, never came into force everywhere", a.id, a.version)
			continue
		}
		acceptTimes = append(acceptTimes, a.acceptedAt.Sub(a.sentAt))
		knownAt := t.firstKnownAt(a)
		if faultEnd, disturbed := t.lastFaultEnd(knownAt, everywhereAt); disturbed {
			r.InForceAfterFaultMax = max(r.InForceAfterFaultMax, milliseconds(everywhereAt.Sub(faultEnd)))
		} else {
			undisturbed = append(undisturbed, everywhereAt.Sub(knownAt))
		}
	}
	r.InForceSamples = len(undisturbed)
	r.InForceP50, r.InForceP99, r.InForceMax = quantile(undisturbed, 0.5), quantile(undisturbed, 0.99), quantile(undisturbed, 1)
	r.AcceptP50, r.AcceptP99 = quantile(acceptTimes, 0.5), quantile(acceptTimes, 0.99)
	r.Violations = len(t.violations)
	r.Details = t.violations[:min(maxDetails, len(t.violations))]
}

// firstKnown returns when the change was first known to be accepted.
func (t *tracker) firstKnownAt(a acceptedChange) time.Time {
	first := a.acceptedAt
	for _, events := range t.inForce {
		index, ok := slices.BinarySearchFunc(events, a.version, func(e inForceEvent, version model.Version) int { return cmp.Compare(e.version, version) })
		if ok && events[index].at.Before(first) {
			first = events[index].at
		}
	}
	return first
}

// faultEnd returns the end of the last fault that overlaps the time, later ones
// first.
func (t *tracker) lastFaultEnd(from, to time.Time) (time.Time, bool) {
	for n := len(t.faultWindows) - 1; n >= 0; n-- {
		if f := t.faultWindows[n]; f.from.Before(to) && f.to.After(from) {
			return f.to, true
		}
	}
	return time.Time{}, false
}

// quantile returns a quantile in milliseconds, 0 without values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return milliseconds(values[min(int(q*float64(len(values))), len(values)-1)])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTable writes the figures one a line.
func (r *Report) WriteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, `faults %s, %d instances, control group of %d, seed %d, %.0f s
accepted %d, conflicts %d, resends %d, fault rounds %d
in force: p50 %.1f ms, p99 %.1f ms, max %.1f ms (%d changes); after a fault: max %.1f ms
heal to in force %.1f ms, leader loss to accept %.1f ms, isolated leader current %.1f ms
repair to voter %.1f ms, catch-up %.1f ms after %d changes
control: %.4f cores, %.0f B/s; idle: %.4f cores, %.0f B/s
reverted %d, lost %d, double applied %d, violations %d %q
`, r.FaultMode, r.Instances, r.GroupSize, r.Seed, r.Seconds, r.Accepted, r.Conflicts, r.Resends, r.FaultRounds,
		r.InForceP50, r.InForceP99, r.InForceMax, r.InForceSamples, r.InForceAfterFaultMax,
		r.HealToInForce, r.LeaderLossToAccept, r.IsolatedLeaderCurrent, r.RepairToVoter, r.CatchUp, r.CatchUpChanges,
		r.ControlCPUShare, r.ControlBytesPerSecond, r.IdleCPUShare, r.IdleBytesPerSecond,
		r.Reverted, r.LostAccepted, r.DoubleApplied, r.Violations, r.Details)
	return err
}
