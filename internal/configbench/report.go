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

	// Accepted counts the accepted changes.
	Accepted int `json:"accepted"`
	// Conflicts counts the changes that were rejected because another change had
	// replaced the expected version.
	Conflicts int `json:"conflicts"`
	// Resends counts the answers that the benchmark dropped, so that the operator
	// sent the change again.
	Resends     int `json:"resends"`
	FaultRounds int `json:"fault_rounds"`

	// InForceSamples is the number of changes that no fault overlapped.
	// InForceP50, InForceP99 and InForceMax are quantiles, for these changes,
	// of the time until a change was in force at all instances. The time starts
	// when the operator received the answer, or when the first instance had the
	// change in force if that was earlier.
	InForceSamples int     `json:"in_force_samples"`
	InForceP50     float64 `json:"in_force_p50_ms"`
	InForceP99     float64 `json:"in_force_p99_ms"`
	InForceMax     float64 `json:"in_force_max_ms"`
	// InForceAfterFaultMax is the longest time from the end of a fault until a
	// change that the fault overlapped was in force at all instances.
	InForceAfterFaultMax float64 `json:"in_force_after_fault_max_ms"`
	// AcceptP50 and AcceptP99 are quantiles of the time from the first attempt
	// to send a change until its operator received the answer that it is
	// accepted.
	AcceptP50 float64 `json:"accept_p50_ms"`
	AcceptP99 float64 `json:"accept_p99_ms"`

	// HealToInForce is the longest time from the end of a fault until the highest
	// version of that moment was in force at all instances.
	HealToInForce float64 `json:"heal_to_in_force_ms"`
	// LeaderLossToAccept is the longest time from the loss of a member, usually
	// the leader, until a change was accepted that was sent after the loss.
	LeaderLossToAccept float64 `json:"leader_loss_to_accept_ms"`
	// LeaderLosses is the number of losses that LeaderLossToAccept covers.
	LeaderLosses int `json:"leader_losses"`
	// IsolatedLeaderCurrent is the longest time for which an isolated leader
	// reported that it was current.
	IsolatedLeaderCurrent float64 `json:"isolated_leader_current_ms"`
	// RepairToVoter is the longest time from the restart of a member without its
	// disk until it was a voter again.
	RepairToVoter float64 `json:"repair_to_voter_ms"`
	// CatchUp is the longest time from the restart of an instance that had
	// missed CatchUpChanges changes until it had the highest version in force.
	CatchUp        float64 `json:"catch_up_ms"`
	CatchUpChanges int     `json:"catch_up_changes"`

	// Reverted counts the configurations that came into force at an instance after
	// a later version.
	Reverted int `json:"reverted"`
	// LostAccepted counts the accepted changes that are missing in the history or
	// whose version came into force with other content.
	LostAccepted int `json:"lost_accepted"`
	// DoubleApplied counts the changes that were applied as two versions.
	DoubleApplied int `json:"double_applied"`
	// Violations counts all violations, including those that the three counts
	// above cover.
	Violations int `json:"violations"`
	// Details describes the first violations.
	Details []string `json:"details,omitempty"`

	// ControlCPUShare is the average processor time per instance as a share of one
	// core. It includes the benchmark itself, so it is an upper bound.
	ControlCPUShare float64 `json:"control_cpu_share"`
	// ControlBytesPerSecond is the average rate at which an instance sends bytes
	// to its peers.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// IdleCPUShare and IdleBytesPerSecond are the same figures without changes.
	IdleCPUShare       float64 `json:"idle_cpu_share"`
	IdleBytesPerSecond float64 `json:"idle_bytes_per_second"`
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
}

// Failed reports whether a figure that must be 0 is not 0.
func (r *Report) Failed() bool {
	return r.Reverted+r.LostAccepted+r.DoubleApplied+r.Violations > 0
}

// maxDetails is the maximum number of violations that a report describes.
const maxDetails = 10

// fill computes the figures that can be derived from what the tracker recorded.
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

// firstKnownAt returns the time at which the change was first known to be
// accepted: when its operator received the answer, or when an instance first
// had it in force if that was earlier. The caller holds the lock.
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

// lastFaultEnd returns the end of the latest fault that overlaps the time span,
// and false if there is none. The caller holds the lock.
func (t *tracker) lastFaultEnd(from, to time.Time) (time.Time, bool) {
	for n := len(t.faultWindows) - 1; n >= 0; n-- {
		if f := t.faultWindows[n]; f.from.Before(to) && f.to.After(from) {
			return f.to, true
		}
	}
	return time.Time{}, false
}

// quantile returns a quantile of the values in milliseconds, or 0 without
// values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return milliseconds(values[min(int(q*float64(len(values))), len(values)-1)])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTable writes the figures as text.
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
