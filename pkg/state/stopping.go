package state

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// handoverTimeout is how long a stopping instance waits for its upstreams to announce
// themselves to another owner. After this time there is nothing left to hand over:
// the lease of an upstream that has not announced itself elsewhere has expired.
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

// startHandoverIfDue starts the handover of this stopping instance's upstreams once
// no caller has this instance in a cached lookup result any more. Cached lookup
// results expire at the latest view.LookupTTL after all other instances have
// stopped returning this instance in lookups.
//
// During the handover, the announcements of upstreams are redirected to the new
// owners, and the new owners request the list of permits that are in use.
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

// finishStopIfDone completes the graceful stop once nothing is left to wait for. It
// waits for:
//   - open requests of this instance, including long downloads;
//   - upstreams that have no other owner yet, for at most handoverTimeout;
//   - permits that other instances hold, since the releases of these permits arrive
//     here and must be forwarded to the new owners of the upstreams;
//   - releases that this instance has sent to the owners of upstreams and that are not
//     acknowledged yet;
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

// nextStopWake returns the time at which a step is needed for the graceful stop to
// continue, 0 if no timer is needed for it.
func (s *State) nextStopWake() model.Time {
	switch {
	case !s.stopping || s.stopped:
		return 0
	case !s.handingOver:
		// lookupsExpireAt is 0 until all other instances have stopped returning
		// this instance in lookups. No timer is needed to detect this:
		// startHandoverIfDue checks it in every step, and membership probes and
		// acknowledgements cause steps.
		return s.lookupsExpireAt
	}
	return s.nextTick()
}
