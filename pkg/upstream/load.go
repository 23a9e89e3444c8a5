package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxLoadReportAge is the age up to which a load report is used. An upstream whose
// last report is older counts as having no load, because the report may no longer
// be true.
const maxLoadReportAge = 5 * time.Second

// loadReport is the last load that an upstream reported about itself in an
// announcement. It may be out of date or wrong.
type loadReport struct {
	load           float64
	loadReportedAt model.Time
}

// reportedLoad returns the load that the upstream last reported, 0 if the report is
// older than maxLoadReportAge.
func (u *Upstream) reportedLoad(at model.Time) float64 {
	if at > u.health.loadReportedAt.Add(maxLoadReportAge) {
		return 0
	}
	return u.health.load
}
