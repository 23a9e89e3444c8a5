package fleet

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// minControlStopTime is the least time between the stop request and the end of
	// the process at a control instance, which sends its last responses during
	// this time.
	minControlStopTime = 100 * time.Millisecond
	// minEntryStopTime is the least time between the stop request and the end of
	// the process at an entry instance. The instance accepts requests during this
	// time, because clients with a cached lookup result may still connect to it.
	minEntryStopTime = 3 * time.Second
	// graceReserveFraction is the fraction of the grace period that is kept in
	// reserve: this long before the end of the grace period, the sends that are still
	// open are canceled and their requests are answered.
	graceReserveFraction = 1.0 / 8
	// cancelTime is how long after that the process ends, even if a canceled send has
	// not ended.
	cancelTime = 150 * time.Millisecond
)

// gracefulStop is the state of a graceful stop. From earliestStop on, the
// process stops as soon as no request is open. At stopDeadline the open requests
// are ended, and cancelTime later the process stops in any case. requestedAt is 0 if
// no stop was requested, canceled is true from stopDeadline on.
type gracefulStop struct {
	requestedAt, earliestStop, stopDeadline model.Time
	// nextCheckAt is the time for which a timer event is requested, to check again
	// whether the process can stop.
	nextCheckAt model.Time
	canceled    bool
	done        bool
}

func (s *gracefulStop) requested() bool { return s.requestedAt != 0 }

// rejectsNewRequests reports whether a stopping instance rejects new requests
// because its process might stop before they end. The instance rejects none
// until minEntryStopTime after the stop request. During this time, responses
// close their connections and lookups omit this instance, so that clients move
// to other instances. A client that is still connected and is rejected retries
// at another instance at once.
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
	s.requests.StopAt(s.stopping.stopDeadline)
}

// stopIfDone stops the process if a stop was requested, earliestStop has been
// reached and no request is open. At stopDeadline it ends the open requests, so that
// their callers get an answer instead of a closed connection.
func (s *State) stopIfDone(at model.Time) {
	st := &s.stopping
	if !st.requested() || st.done || at < st.earliestStop {
		return
	}
	if at >= st.stopDeadline && !st.canceled {
		st.canceled = true
		s.requests.EndAll(at, &s.out)
	}
	if s.requests.OpenRequests > 0 && at < st.stopDeadline.Add(cancelTime) {
		// Each open request ends with an event, which leads to another check. The
		// timer is needed only for the two times.
		st.nextCheckAt = st.stopDeadline
		if st.canceled {
			st.nextCheckAt = st.stopDeadline.Add(cancelTime)
		}
		return
	}
	st.done = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped, Fields: []logevent.Field{logevent.F("open", s.requests.OpenRequests)}})
	s.out.Add(event.Stopped{})
}
