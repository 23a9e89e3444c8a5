package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// loadAge is how long a load report counts. Without reports nothing changes.
const maxLoadReportAge = 5 * time.Second

// loadHint is what an upstream last reported of itself. It may lag or mislead.
type loadReport struct {
	load           float64
	loadReportedAt model.Time
}

// reportedLoad returns the load that the upstream reported, 0 if that is too
// long ago.
func (u *Upstream) reportedLoad(at model.Time) float64 {
	if at > u.health.loadReportedAt.Add(maxLoadReportAge) {
		return 0
	}
	return u.health.load
}
