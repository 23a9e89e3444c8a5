package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// sampleWeight is the weight of a new sample in the moving means of latency
	// and hold time.
	sampleWeight = 0.2
	// SweepInterval is the interval at which callers should call Sweep.
	SweepInterval = 100 * time.Millisecond
)

// health is the state of an upstream as derived from the results of attempts and
// from the load that the upstream reports.
type health struct {
	// latency is the moving mean of the times to the response headers, holdTime
	// that of the times for which a slot was occupied. Both are in nanoseconds,
	// and 0 before the first sample.
	latency, holdTime float64
	outlierState
	slowStart
	loadReport
}

// Observe records the observation of an attempt at an owned upstream. The attempt
// may be one of this or of another instance.
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
		normal := p.medianLatency == 0 || float64(o.Latency) <= outlierFactor*p.medianLatency
		if normal {
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

// movingMean returns the exponential moving mean after a new sample. An old mean of
// 0 means that there was no sample before.
func movingMean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

// Sweep detects outliers among the upstreams of each service and raises the slot
// limits of upstreams in slow start. It returns the services with a raised limit.
// The result is valid until the next call.
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

// free returns the number of slots that may be granted at the time. During slow
// start, the slots in use count against the slow start limit.
func (u *Upstream) free(at model.Time) int {
	free := u.Usage.Free(at)
	if limit := u.health.limit; limit > 0 {
		return min(free, limit-u.Usage.Used())
	}
	return free
}
