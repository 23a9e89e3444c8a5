package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxCreditTime bounds how many requests to an upstream with a request limit may be
// sent at once: those of this time, at least one.
const maxCreditTime = time.Second

// statements is what an upstream has stated about itself in its responses.
type statements struct {
	// leaving is true if the process of the upstream is about to end.
	leaving bool
	// pausedUntil is when the upstream accepts requests again, 0 if it does now.
	pausedUntil model.Time
	// requestLimit is the number of requests per second that the upstream accepts, 0
	// for any number. This instance grants all slots of the upstream, so that it
	// applies the limit alone. credit is the number of requests that may be sent now,
	// as of creditAt.
	requestLimit float64
	credit       float64
	creditAt     model.Time
}

// observeStatement applies a statement of an upstream. Statements of an earlier
// process are ignored.
func (s *State) observeStatement(at model.Time, u *Upstream, o *message.Observation) {
	if o.Incarnation == 0 || o.Incarnation != u.Announcement.Incarnation {
		return
	}
	h := &u.health
	if o.Stated.Leaving && !h.leaving {
		h.leaving = true
		u.pool.removeReady(u)
		u.pool.recount()
	}
	if o.Stated.Pause > 0 {
		h.pausedUntil = max(h.pausedUntil, at.Add(o.Stated.Pause))
	}
	if h.requestLimit == 0 {
		h.credit, h.creditAt = 0, at
	}
	h.requestLimit = o.Stated.RequestLimit
}

// mayReceive reports whether the statements of the upstream permit one more request.
func (h *statements) mayReceive(at model.Time) bool {
	if at < h.pausedUntil {
		return false
	}
	if h.requestLimit == 0 {
		return true
	}
	h.credit = min(h.credit+h.requestLimit*at.Sub(h.creditAt).Seconds(), max(1, h.requestLimit*maxCreditTime.Seconds()))
	h.creditAt = at
	return h.credit >= 1
}

// requestSent counts a request against the request limit.
func (h *statements) requestSent() {
	if h.requestLimit > 0 {
		h.credit--
	}
}

// resume makes the upstreams of the pool available again whose pause has ended or
// whose request limit permits a request. An upstream returns from a pause with one
// slot, like a new one. resume reports whether there is any.
func (p *pool) resume(at model.Time) bool {
	resumed := false
	for _, u := range p.members {
		h := &u.health
		if h.pausedUntil != 0 && at >= h.pausedUntil {
			h.pausedUntil = 0
			u.beginSlowStart(at)
		} else if h.requestLimit == 0 {
			continue
		}
		if u.readyIndex < 0 && u.free(at) > 0 {
			p.addReady(u)
			resumed = true
		}
	}
	return resumed
}
