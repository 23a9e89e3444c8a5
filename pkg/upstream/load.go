package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxLoadReportAge is the age up to which a load report is used. The load of an
// upstream without a recent report is taken as 0.
const maxLoadReportAge = 5 * time.Second

// loadReport is the load that an upstream last reported about itself. It may be
// out of date or wrong.
type loadReport struct {
	load           float64
	loadReportedAt model.Time
}

// reportedLoad returns the load that the upstream last reported, 0 if the
// report is too old.
func (u *Upstream) reportedLoad(at model.Time) float64 {
	if at > u.health.loadReportedAt.Add(maxLoadReportAge) {
		return 0
	}
	return u.health.load
}
