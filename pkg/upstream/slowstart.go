package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// slowStartInterval is the time after which the slot limit of an upstream in slow
// start doubles, if attempts at it succeeded and none failed in this time.
const slowStartInterval = time.Second

// slowStart limits how many slots of an upstream may be used at once. It applies to
// an upstream that is new or has recovered, and so may be cold.
type slowStart struct {
	// limit is the number of slots that may be used at present, 0 if there is no
	// limit.
	limit int
	// raisedAt is the time at which the present slowStartInterval began.
	raisedAt model.Time
	// succeeded is true if an attempt has succeeded in the present
	// slowStartInterval, failed if one has failed.
	succeeded, failed bool
}

// beginSlowStart limits the upstream to one slot and begins the first
// slowStartInterval.
func (u *Upstream) beginSlowStart(at model.Time) {
	u.health.limit = 1
	u.health.raisedAt = at
	u.health.succeeded, u.health.failed = false, false
}

// raiseLimits handles the upstreams whose present slowStartInterval has ended. It
// doubles the slot limit if attempts succeeded and none failed. It removes a limit
// that is no longer below the upstream's number of slots. It reports whether it
// raised any limit.
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
