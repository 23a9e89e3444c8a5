package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// sampleWeight is the weight of a new sample in the moving means of latency and
	// hold time.
	sampleWeight = 0.2
	// SweepInterval is the interval at which callers should call State.Sweep.
	SweepInterval = 100 * time.Millisecond
)

// health is the condition of an upstream, derived from the results of its attempts
// and from the load that it reports.
type health struct {
	// latency is the moving mean of the time from the dispatch of an attempt to the
	// response headers. holdTime is the moving mean of the time for which an
	// attempt occupied its slot. Both are in nanoseconds, 0 before the first
	// sample.
	latency, holdTime float64
	outlierState
	slowStart
	loadReport
	statements
}

// Observe records the latency, hold time or connection failure of an attempt at an
// owned upstream. The attempt may be one of this instance or of another.
func (s *State) Observe(at model.Time, id model.UpstreamID, o message.Observation) {
	u := s.owned[id]
	if u == nil {
		return
	}
	s.observeStatement(at, u, &o)
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

// movingMean returns the exponential moving mean after a new sample. old is the
// mean before it, 0 if there was no sample yet.
func movingMean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + sampleWeight*(sample-old)
}

// Sweep marks the outliers among the upstreams of each service as suspect, and
// raises the slot limits of upstreams in slow start. It also makes upstreams
// available again after a pause. It returns the services for which it raised the
// limit of an upstream or made one available. The returned slice is valid until the
// next call.
func (s *State) Sweep(at model.Time) []model.ServiceName {
	s.raisedServices = s.raisedServices[:0]
	for _, name := range s.services() {
		p := s.pools[name]
		p.findOutliers(at, &s.scratch)
		raised, resumed := p.raiseLimits(at), p.resume(at)
		if raised || resumed {
			s.raisedServices = append(s.raisedServices, name)
		}
	}
	return s.raisedServices
}

// free returns how many more slots of the upstream may be granted at the given
// time. During slow start, the slots in use count against the slow start limit too.
func (u *Upstream) free(at model.Time) int {
	if !u.health.mayReceive(at) {
		return 0
	}
	free := u.Usage.Free(at)
	if limit := u.health.limit; limit > 0 {
		return min(free, limit-u.Usage.Used())
	}
	return free
}
