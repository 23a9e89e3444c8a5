package configbench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Report is the result of a run. Durations are in milliseconds unless their name
// has another unit. Some JSON keys differ from the names of their fields.
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
	// Resends counts how often an operator sent a change again because the
	// benchmark had dropped the answer.
	Resends     int `json:"resends"`
	FaultRounds int `json:"fault_rounds"`

	// InForceP50, InForceP99 and InForceMax are quantiles of the time until an
	// accepted change was in force at all instances. The time starts when the
	// operator received the answer, or when the first instance had the change in
	// force if that was earlier. They cover only the InForceSamples changes for
	// which no fault overlapped this time.
	InForceSamples int     `json:"in_force_samples"`
	InForceP50     float64 `json:"in_force_p50_ms"`
	InForceP99     float64 `json:"in_force_p99_ms"`
	InForceMax     float64 `json:"in_force_max_ms"`
	// InForceAfterFaultMax is the longest time from the end of a fault until an
	// accepted change was in force at all instances. It covers the changes that
	// InForceSamples leaves out: those for which a fault overlapped the time that
	// InForceMax measures. If several faults did, the time starts at the end of the
	// last one. A change that was in force before the fault ended counts as 0.
	InForceAfterFaultMax float64 `json:"in_force_after_fault_max_ms"`
	// AcceptP50 and AcceptP99 are quantiles of the time from an operator's first
	// attempt to send a change until the operator received the answer that the
	// change was accepted.
	AcceptP50 float64 `json:"accept_p50_ms"`
	AcceptP99 float64 `json:"accept_p99_ms"`

	// HealToInForce is the longest time from the end of a fault until all instances
	// had put in force the version that was the highest when the fault ended.
	HealToInForce float64 `json:"heal_to_in_force_ms"`
	// LeaderLossToAccept is the longest time from the loss of a member of the
	// control group, usually the leader, until a change that was sent after the
	// loss was accepted.
	LeaderLossToAccept float64 `json:"leader_loss_to_accept_ms"`
	// LeaderLosses is the number of losses of members that LeaderLossToAccept
	// covers.
	LeaderLosses int `json:"leader_losses"`
	// IsolatedLeaderCurrent is the longest time after its isolation at which a
	// leader still reported that it was the leader with a valid lease.
	IsolatedLeaderCurrent float64 `json:"isolated_leader_current_ms"`
	// RepairToVoter is the longest time from the restart of a member of the control
	// group without its disk until the member was a voter again.
	RepairToVoter float64 `json:"repair_to_voter_ms"`
	// CatchUp is the longest time that an instance took after its restart to put the
	// highest version in force. While it was stopped, it had missed CatchUpChanges
	// changes.
	CatchUp        float64 `json:"catch_up_ms"`
	CatchUpChanges int     `json:"catch_up_changes"`

	// Reverted counts how often a version came into force at an instance after a
	// higher version.
	Reverted int `json:"reverted"`
	// LostAccepted counts the accepted changes that are missing in the change
	// history, or whose version came into force with different content.
	LostAccepted int `json:"lost_accepted"`
	// DoubleApplied counts the changes that were applied more than once, as
	// different versions.
	DoubleApplied int `json:"double_applied"`
	// Violations counts all violations, including those that Reverted,
	// LostAccepted and DoubleApplied cover.
	Violations int `json:"violations"`
	// Details describes the first violations, at most maxDetails.
	Details []string `json:"details,omitempty"`

	// ControlCPUShare is the average processor use of an instance, as a share of one
	// core, while operators make changes. It includes the processor use of the
	// benchmark itself, so it is an upper bound.
	ControlCPUShare float64 `json:"control_cpu_share"`
	// ControlBytesPerSecond is the average number of bytes per second that an
	// instance sends to its peers while operators make changes.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// IdleCPUShare and IdleBytesPerSecond are the same figures for a time in which
	// no operator makes changes.
	IdleCPUShare       float64 `json:"idle_cpu_share"`
	IdleBytesPerSecond float64 `json:"idle_bytes_per_second"`
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
}

// Failed reports whether the run had a violation or a change that was reverted, lost
// or applied twice.
func (r *Report) Failed() bool {
	return r.Reverted+r.LostAccepted+r.DoubleApplied+r.Violations > 0
}

// maxDetails is the maximum number of violations that a report describes.
const maxDetails = 10

// fill computes the figures of the report that follow from what the tracker has
// recorded.
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
// accepted: when the operator that sent it received the answer, or when an
// instance first had it in force if that was earlier. The caller holds the lock.
func (t *tracker) firstKnownAt(a acceptedChange) time.Time {
	first := a.acceptedAt
	for _, events := range t.inForceEvents {
		index, ok := slices.BinarySearchFunc(events, a.version, func(e inForceEvent, version model.Version) int { return cmp.Compare(e.version, version) })
		if ok && events[index].at.Before(first) {
			first = events[index].at
		}
	}
	return first
}

// lastFaultEnd returns the end of the latest fault that overlaps the time between
// from and to. It returns false if there is no such fault. The caller holds the
// lock.
func (t *tracker) lastFaultEnd(from, to time.Time) (time.Time, bool) {
	for n := len(t.faultWindows) - 1; n >= 0; n-- {
		if f := t.faultWindows[n]; f.from.Before(to) && f.to.After(from) {
			return f.to, true
		}
	}
	return time.Time{}, false
}

// quantile returns the q-quantile of the values in milliseconds, or 0 if there are
// no values. It sorts the values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return milliseconds(values[min(int(q*float64(len(values))), len(values)-1)])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteTable writes the figures of the report as text.
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
