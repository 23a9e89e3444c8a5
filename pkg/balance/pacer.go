package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxPacingDelay is how long after its scheduled time a paced request may still
// be sent if this instance has an equal share of a rate. A turn that is missed by
// more than this is skipped: many instances could otherwise send their late
// requests at once.
const maxPacingDelay = time.Second

// pace is the rate at which this instance may send requests to an upstream: one
// in each period. maxDelay is how long after its scheduled time a request may
// still be sent.
type pace struct {
	period, maxDelay model.Duration
}

// newPace returns the pace of a number of requests per second.
func newPace(perSecond float64, maxDelay model.Duration) pace {
	return pace{period: model.Duration(float64(time.Second) / max(perSecond, minPacedRate)), maxDelay: maxDelay}
}

// minPacedRate is the lowest rate of paced requests, in requests per second: one
// in 1,000 s.
const minPacedRate = 0.001

// pacer spaces this instance's requests to an upstream, so that all instances
// together stay within a rate of the upstream. nextAt is the scheduled time of
// the next request.
type pacer struct {
	nextAt model.Time
}

// allows reports whether a request may be sent now. phase, from 0 to 1, is the
// fraction of the period by which the first request is delayed; it differs
// between instances.
func (p *pacer) allows(at model.Time, pace pace, phase float64) bool {
	if p.nextAt == 0 || p.nextAt > at.Add(pace.period) {
		p.nextAt = at.Add(model.Duration(phase * float64(pace.period)))
	}
	if late := at.Sub(p.nextAt) - pace.maxDelay; late > 0 {
		p.nextAt = p.nextAt.Add((late/pace.period + 1) * pace.period)
	}
	return at >= p.nextAt
}

// advance schedules the next request after one has been sent.
func (p *pacer) advance(pace pace) { p.nextAt = p.nextAt.Add(pace.period) }

// pacingPhase returns the phase of an instance at an upstream. The phases
// spread the requests of all instances over the period.
func pacingPhase(self model.InstanceID, t *target) float64 {
	return float64(mixHash(xxhash.Sum64String(string(self))^t.idHash)>>11) / (1 << 53)
}

// paceOf returns the pace of this instance's requests to an upstream, and whether
// there is one: for a cold upstream, an equal share of the rate that a cold
// upstream of the service can handle, and for an upstream that has stated a
// request limit, this instance's share of the limit. If both apply, the slower
// one counts.
func (s *State) paceOf(at model.Time, svc *service, t *target) (pace, bool) {
	var slowest pace
	if svc.limitsColdRate() && t.needsPacing(at) {
		slowest = newPace(s.equalShare(svc.spec.ColdRequestRate), maxPacingDelay)
	}
	if t.limit.isSet() {
		if p := s.limitPace(at, t); p.period > slowest.period {
			slowest = p
		}
	}
	return slowest, slowest.period > 0
}

// equalShare returns the share of one of the entry instances in a rate.
func (s *State) equalShare(perSecond float64) float64 {
	return perSecond / float64(max(1, s.EntryInstances))
}
