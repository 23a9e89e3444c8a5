package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// slowStartInterval is the interval after which the slot limit doubles, provided
// that attempts succeeded and none failed in the interval.
const slowStartInterval = time.Second

// slowStart limits the usable slots of an upstream that may be cold.
type slowStart struct {
	// limit is the number of slots that may be used, 0 for all.
	limit int
	// raisedAt is the start of the present interval.
	raisedAt model.Time
	// succeeded and failed are true if an attempt has succeeded or failed,
	// respectively, in the present interval.
	succeeded, failed bool
}

// beginSlowStart limits the upstream to one slot and begins the first interval.
func (u *Upstream) beginSlowStart(at model.Time) {
	u.health.limit = 1
	u.health.raisedAt = at
	u.health.succeeded, u.health.failed = false, false
}

// raiseLimits handles the upstreams whose slow start interval has ended. It doubles
// the limit after a successful interval, and removes a limit that is no longer
// below the number of slots. It reports whether it raised any limit.
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
