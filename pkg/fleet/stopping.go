package fleet

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// minControlStopTime is the minimum duration of the stop of a control instance,
	// in which its last responses are sent.
	minControlStopTime = 100 * time.Millisecond
	// minEntryStopTime is how long a stopping entry instance accepts requests at
	// least, because clients with a cached lookup may still open connections.
	minEntryStopTime = 3 * time.Second
	// forcedStopShare is the last part of the grace period. At its start the
	// process stops although requests are open.
	forcedStopShare = 1.0 / 6
)

// gracefulStop is the progress of a graceful stop. earliestEnd and latestEnd
// bound the time at which the process stops.
type gracefulStop struct {
	requestedAt, earliestEnd, latestEnd model.Time
	// wakeAt is the time of the next check that no event triggers.
	wakeAt model.Time
	done   bool
}

func (s *gracefulStop) requested() bool { return s.requestedAt != 0 }

// rejectsNewRequests reports whether new requests are rejected, because they
// might not finish before the process stops. From the beginning of the stop, its
// responses close the connections and lookups omit this instance; remaining clients
// retry at another instance at once.
func (s *gracefulStop) rejectsNewRequests(at model.Time) bool {
	return s.requested() && at >= s.requestedAt.Add(minEntryStopTime)
}

func (s *gracefulStop) nextWake() model.Time {
	if !s.requested() || s.done {
		return 0
	}
	return s.wakeAt
}

// stop begins a graceful stop. Lookups stop returning the instance at once.
// Requests are served until none is open or the grace period ends.
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
