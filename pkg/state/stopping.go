package state

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// handoverTimeout is how long a stopping instance waits for its upstreams to
// register with another owner. By the end of this time, the lease of an upstream
// that has not registered elsewhere has expired.
const handoverTimeout = 5 * time.Second

// stop begins a graceful stop. From then on lookups no longer return this instance.
// It continues to serve callers until their cached lookups have expired.
func (s *State) stop(at model.Time) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.viewPublished = false
	// The next tick reports the stop to the other instances.
	s.offerBroadcast.sentAt, s.offerBroadcast.nextTickAt = 0, 0
	s.members.Leave(at, &s.out)
	s.out.Add(event.Log{Code: logevent.ProcessStopping})
}

// advanceStop starts the handover of upstreams once the lookups that callers have
// cached have expired. That is the case view.LookupTTL after all other instances
// have stopped returning this instance in lookups.
//
// During the handover, announcements are redirected to the new owners, and the new
// owners request the permits that are in use.
func (s *State) startHandoverIfDue(at model.Time) {
	if !s.stopping || s.handingOver {
		return
	}
	if s.lookupsExpireAt == 0 {
		if disseminatedAt, ok := s.members.LeaveDisseminated(at); ok {
			s.lookupsExpireAt = disseminatedAt.Add(view.LookupTTL)
		}
	}
	s.handingOver = s.lookupsExpireAt != 0 && at >= s.lookupsExpireAt
}

// HandingOver reports whether this instance is stopping and has begun to hand over
// its upstreams to other instances.
func (s *State) HandingOver() bool { return s.handingOver }

// Owned returns the number of upstreams that this instance owns.
func (s *State) Owned() int { return s.upstreams.OwnedCount() }

// checkStopped completes the stop once nothing is left to wait for. It waits for:
//   - open requests of this instance, including long downloads;
//   - upstreams that have no other owner yet, for at most handoverTimeout;
//   - permits whose release must be forwarded;
//   - ledger updates that a majority has not acknowledged.
//
// It waits for upstreams and permits only while other instances are connected.
func (s *State) finishStopIfDone(at model.Time) {
	if !s.handingOver || s.stopped || s.requests.OpenRequests() > 0 {
		return
	}
	if len(s.peers) > 0 && at < s.lookupsExpireAt.Add(handoverTimeout) && (s.upstreams.OwnedCount() > 0 || !s.upstreams.HandoversSettled(at)) {
		return
	}
	if len(s.peers) > 0 && s.permits.Outstanding() > 0 || s.ledger.UnconfirmedUpdates() > 0 {
		return
	}
	s.stopped = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped})
	s.out.Add(event.Stopped{})
}

// nextStopWake returns the time of the next check of the stop, 0 if none is
// needed.
func (s *State) nextStopWake() model.Time {
	switch {
	case !s.stopping || s.stopped:
		return 0
	case !s.handingOver:
		// Until lookupsExpireAt is known, the events of membership probes and
		// acknowledgements advance the stop.
		return s.lookupsExpireAt
	}
	return s.nextTick()
}
