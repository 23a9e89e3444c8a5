package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// latencyWeight is the weight of a new sample in the moving mean.
	latencyWeight = 0.2
	// SweepInterval is how often the upstreams of a service are compared.
	SweepInterval = 100 * time.Millisecond
)

// health is what is known of an upstream from attempts and its own reports.
type health struct {
	// latency and hold are moving means in nanoseconds, 0 before the first.
	latency, holdTime float64
	outlierState
	slowStart
	loadReport
}

// Observe takes the observation of an attempt, of this instance or another.
func (s *State) Observe(at model.Time, id model.UpstreamID, o message.Observation) {
	u := s.owned[id]
	if u == nil {
		return
	}
	p := s.pools[u.Announcement.Service]
	h := &u.health
	if o.Unreachable {
		h.failed = true
		p.markSuspect(at, u)
		return
	}
	if o.Latency > 0 {
		good := p.medianLatency == 0 || float64(o.Latency) <= outlierFactor*p.medianLatency
		if good {
			h.succeeded = true
			if h.suspect {
				h.latency = 0
				p.clearSuspect(at, u)
			}
		}
		h.latency = movingMean(h.latency, float64(o.Latency))
	}
	if o.HoldTime > 0 {
		h.holdTime = movingMean(h.holdTime, float64(o.HoldTime))
	}
}

func movingMean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + latencyWeight*(sample-old)
}

// Sweep compares the upstreams of each service and lets slow starts go on. It
// returns the services that gained slots by that, valid until the next call.
func (s *State) Sweep(at model.Time) []model.ServiceName {
	s.raisedServices = s.raisedServices[:0]
	for _, name := range s.services() {
		p := s.pools[name]
		p.findOutliers(at, &s.scratch)
		if p.raiseLimits(at) {
			s.raisedServices = append(s.raisedServices, name)
		}
	}
	return s.raisedServices
}

// free returns the number of slots that may be granted now.
func (u *Upstream) free(at model.Time) int {
	free := u.Usage.Free(at)
	if limit := u.health.limit; limit > 0 {
		return min(free, limit-u.Usage.Used())
	}
	return free
}
