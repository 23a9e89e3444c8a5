package state

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// handoverLimit is how long a stopping instance waits for its upstreams to find
// another owner. Their leases have run out by then.
const handoverLimit = 5 * time.Second

// stop begins a graceful stop: look-ups stop naming this instance, and callers
// with a cached answer are served until it has run out.
func (s *State) stop(at model.Time) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.viewDone = false
	// The other instances learn of it with the next tick.
	s.hinting.sentAt, s.hinting.next = 0, 0
	s.members.Leave(at, &s.out)
	s.out.Add(event.Log{Code: logevent.ProcessStopping})
}

// advanceStop begins to hand over the upstreams once callers' cached look-ups
// have run out. Their time counts from when the last other instance has stopped
// naming this one. From then on, announcements are redirected, and the new owners
// ask for the counts.
func (s *State) advanceStop(at model.Time) {
	if !s.stopping || s.handingOver {
		return
	}
	if s.stopAt == 0 {
		if known, ok := s.members.LeaveKnown(at); ok {
			s.stopAt = known.Add(view.LookupTTL)
		}
	}
	s.handingOver = s.stopAt != 0 && at >= s.stopAt
}

// HandingOver reports whether ownership moves to other instances.
func (s *State) HandingOver() bool { return s.handingOver }

// Owned returns the number of upstreams that this instance owns.
func (s *State) Owned() int { return s.upstreams.OwnedCount() }

// checkStopped ends the process when nothing is left to wait for: requests of
// this instance, long downloads included, upstreams without another owner, and
// permits whose release must be passed on.
func (s *State) checkStopped(at model.Time) {
	if !s.handingOver || s.stopped || s.requests.Open() > 0 {
		return
	}
	if len(s.peers) > 0 && at < s.stopAt.Add(handoverLimit) && (s.upstreams.OwnedCount() > 0 || !s.upstreams.HandoversSettled(at)) {
		return
	}
	if len(s.peers) > 0 && s.permits.Outstanding() > 0 || s.ledger.Unsettled() > 0 {
		return
	}
	s.stopped = true
	s.out.Add(event.Log{Code: logevent.ProcessStopped})
	s.out.Add(event.Stopped{})
}

// nextStop returns when the stop goes on without another event, 0 if it does
// not.
func (s *State) nextStop() model.Time {
	switch {
	case !s.stopping || s.stopped:
		return 0
	case !s.handingOver:
		// Until stopAt is known, acknowledgements and the probes drive the stop.
		return s.stopAt
	}
	return s.nextTick()
}
