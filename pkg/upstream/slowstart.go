package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// slowStartStep is how long an upstream must do well before it gets twice the
// slots.
const slowStartInterval = time.Second

// slowStart limits the slots of an upstream that may be cold.
type slowStart struct {
	// limit is the number of slots that may be used, 0 for all.
	limit    int
	raisedAt model.Time
	// succeeded and failed say what happened since the limit was last raised.
	succeeded, failed bool
}

func (u *Upstream) beginSlowStart(at model.Time) {
	u.health.limit = 1
	u.health.raisedAt = at
	u.health.succeeded, u.health.failed = false, false
}

// raiseLimits doubles the limits of the upstreams that had a successful second.
// It reports whether there were raised.
func (p *pool) raiseLimits(at model.Time) bool {
	raised := false
	for _, u := range p.members {
		h := &u.health
		if h.limit == 0 || at < h.raisedAt.Add(slowStartInterval) {
			continue
		}
		if h.succeeded && !h.failed {
			h.limit *= 2
			raised = true
			p.addReady(u)
		}
		if h.limit >= u.Announcement.Slots {
			h.limit = 0
		}
		h.raisedAt = at
		h.succeeded, h.failed = false, false
	}
	return raised
}
