package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// slowStartInterval is the interval after which the limit doubles if there were
// successful attempts and no failed ones.
const slowStartInterval = time.Second

// slowStart limits the usable slots of an upstream that may be cold.
type slowStart struct {
	// limit is the number of slots that may be used, 0 for all.
	limit    int
	raisedAt model.Time
	// succeeded and failed are true if an attempt has succeeded or failed in the
	// present interval.
	succeeded, failed bool
}

// beginSlowStart limits the upstream to one slot.
func (u *Upstream) beginSlowStart(at model.Time) {
	u.health.limit = 1
	u.health.raisedAt = at
	u.health.succeeded, u.health.failed = false, false
}

// raiseLimits doubles the limits of the upstreams that had a successful
// interval. It reports whether it raised any.
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
