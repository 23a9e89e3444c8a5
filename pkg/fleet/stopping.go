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
	// forcedStopShare is the fraction of the grace period that remains when the
	// process stops even if requests are open.
	forcedStopShare = 1.0 / 6
)

// gracefulStop is the state of a graceful stop. The process stops between
// earliestEnd and latestEnd. requestedAt is 0 if no stop was requested.
type gracefulStop struct {
	requestedAt, earliestEnd, latestEnd model.Time
	// wakeAt is when the end of the stop must be checked although no event has
	// arrived.
	wakeAt model.Time
	done   bool
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
	return s.wakeAt
}

// stop begins a graceful stop. From now on, lookups do not return this
// instance. Requests are served until none is open or the grace period is
// nearly over.
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

// advanceStop ends the process once no request is open or latestEnd is reached.
func (s *State) advanceStop(at model.Time) {
	st := &s.stopping
	if !st.requested() || st.done || at < st.earliestEnd {
		return
	}
	if s.requests.OpenRequests > 0 && at < st.latestEnd {
		// The end of each open request is reported by an event.
		st.wakeAt = st.latestEnd
		return
	}
	st.done = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped, Fields: []logevent.Field{logevent.F("open", s.requests.OpenRequests)}})
	s.out.Add(event.Stopped{})
}
