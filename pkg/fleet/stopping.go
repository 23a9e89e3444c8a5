package fleet

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// controlStopDelay lets the answers of a stopping control instance leave.
	minControlStopTime = 100 * time.Millisecond
	// entryStopDelay is how long a stopping entry instance serves at least:
	// clients that hold a lookup may still open connections.
	minEntryStopTime = 3 * time.Second
	// stopMargin is the part of the grace period, at its end, in which the process
	// ends whatever is open.
	forcedStopShare = 1.0 / 6
)

// stopping is the progress of a graceful stop.
type gracefulStop struct {
	requestedAt, earliestEnd, latestEnd model.Time
	// wakeAt is when the progress is looked at next without an event.
	wakeAt model.Time
	done   bool
}

func (s *gracefulStop) requested() bool { return s.requestedAt != 0 }

// tooLate reports whether a new request might not end before the process does.
// Clients were told to leave when the stop began; those that are still here try
// another instance at once.
func (s *gracefulStop) rejectsNewRequests(at model.Time) bool {
	return s.requested() && at >= s.requestedAt.Add(minEntryStopTime)
}

func (s *gracefulStop) nextWake() model.Time {
	if !s.requested() || s.done {
		return 0
	}
	return s.wakeAt
}

// stop begins a graceful stop: lookups stop naming the instance at once, and
// requests are served until clients have left or the grace period ends.
func (s *State) stop(at model.Time) {
	if s.stopping.requested() {
		return
	}
	s.out.Add(event.Log{Code: logevent.ProcessStopping})
	s.stopping.requestedAt = at
	s.stopping.earliestEnd = at.Add(minEntryStopTime)
	if s.identity.Control {
		s.stopping.earliestEnd = at.Add(minControlStopTime)
	}
	s.stopping.wakeAt = s.stopping.earliestEnd
	s.stopping.latestEnd = at.Add(max(model.Duration((1-forcedStopShare)*float64(s.identity.StopGracePeriod)), minEntryStopTime))
}

// advanceStop ends the process once nothing is open.
func (s *State) advanceStop(at model.Time) {
	st := &s.stopping
	if !st.requested() || st.done || at < st.earliestEnd {
		return
	}
	if s.requests.Open > 0 && at < st.latestEnd {
		// The end of each open request comes as an event.
		st.wakeAt = st.latestEnd
		return
	}
	st.done = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped, Fields: []logevent.Field{logevent.F("open", s.requests.Open)}})
	s.out.Add(event.Stopped{})
}
