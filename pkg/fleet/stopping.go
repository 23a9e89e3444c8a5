package fleet

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// minControlStopTime is the least duration of the stop of a control instance.
	// It sends its last responses during this time.
	minControlStopTime = 100 * time.Millisecond
	// minEntryStopTime is the least time for which a stopping entry instance
	// accepts requests, because clients with a cached lookup result may still open
	// connections.
	minEntryStopTime = 3 * time.Second
	// graceReserveFraction is the fraction of the grace period that remains when the
	// process stops even if requests are open.
	graceReserveFraction = 1.0 / 6
)

// gracefulStop is the state of a graceful stop. The process stops between
// earliestStop and stopDeadline. requestedAt is 0 if no stop was requested.
type gracefulStop struct {
	requestedAt, earliestStop, stopDeadline model.Time
	// wakeAt is when the end of the stop must be checked although no event has
	// arrived.
	nextCheckAt model.Time
	done        bool
}

func (s *gracefulStop) requested() bool { return s.requestedAt != 0 }

// rejectsNewRequests reports whether new requests are rejected because the
// process might stop before they end. This happens late in a stop: from its
// beginning, responses close their connections and lookups omit this instance.
// Clients that are still connected retry at another instance at once.
func (s *gracefulStop) rejectsNewRequests(at model.Time) bool {
	return s.requested() && at >= s.requestedAt.Add(minEntryStopTime)
}

func (s *gracefulStop) nextWake() model.Time {
	if !s.requested() || s.done {
		return 0
	}
	return s.nextCheckAt
}

// beginStop begins a graceful stop. From now on, lookups do not return this
// instance. Requests are served until none is open or the grace period is
// nearly over.
func (s *State) beginStop(at model.Time) {
	if s.stopping.requested() {
		return
	}
	s.out.Add(event.Log{Code: logevent.ProcessStopping})
	s.stopping.requestedAt = at
	s.stopping.earliestStop = at.Add(minEntryStopTime)
	if s.identity.Control {
		s.stopping.earliestStop = at.Add(minControlStopTime)
	}
	s.stopping.nextCheckAt = s.stopping.earliestStop
	s.stopping.stopDeadline = at.Add(max(model.Duration((1-graceReserveFraction)*float64(s.identity.StopGracePeriod)), minEntryStopTime))
}

// stopIfDone ends the process once no request is open or stopDeadline is reached.
func (s *State) stopIfDone(at model.Time) {
	st := &s.stopping
	if !st.requested() || st.done || at < st.earliestStop {
		return
	}
	if s.requests.OpenRequests > 0 && at < st.stopDeadline {
		// The end of each open request is reported by an event.
		st.nextCheckAt = st.stopDeadline
		return
	}
	st.done = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped, Fields: []logevent.Field{logevent.F("open", s.requests.OpenRequests)}})
	s.out.Add(event.Stopped{})
}
