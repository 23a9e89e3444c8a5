package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// maxPacingDelay is how long after its scheduled time a paced request may still
	// be sent. A turn that is missed by more than this is skipped: many instances
	// could otherwise send their late requests at once.
	maxPacingDelay = time.Second
	// minPacedRate is the lowest rate of paced requests, in requests per second.
	minPacedRate = 0.001
	// minPacedPeriod is the shortest period between paced requests. Rates above one
	// request in this time are not limited in effect.
	minPacedPeriod = time.Microsecond
)

// pace is the rate at which this instance may send requests to an upstream: one
// in each period.
type pace struct {
	period model.Duration
}

// newPace returns the pace of a number of requests per second.
func newPace(perSecond float64) pace {
	return pace{period: max(model.Duration(float64(time.Second)/max(perSecond, minPacedRate)), minPacedPeriod)}
}

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
	if late := at.Sub(p.nextAt) - maxPacingDelay; late > 0 {
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

// rateCredit accumulates permission for requests at a rate that was granted to
// this instance alone.
type rateCredit struct {
	requests  float64
	updatedAt model.Time
}

// maxCreditTime bounds a credit to the requests of this time, or to one request at
// lower rates.
const maxCreditTime = time.Second

// refill adds the credit since the last update. Without a rate the credit is lost,
// since the rate now belongs to other instances.
func (c *rateCredit) refill(at model.Time, perSecond float64) {
	elapsed := max(0, at.Sub(c.updatedAt)).Seconds()
	c.requests = min(c.requests+perSecond*elapsed, max(1, perSecond*maxCreditTime.Seconds()))
	if perSecond == 0 {
		c.requests = 0
	}
	c.updatedAt = at
}

// equalPace returns the pace of this instance's requests to an upstream whose rate
// all entry instances share equally, and whether there is one: the rate that a
// cold upstream of the service can handle, and a request limit of the upstream
// while this instance has no share of its own. If both apply, the lower rate
// counts.
func (s *State) equalPace(at model.Time, svc *service, t *target) (pace, bool) {
	rate := 0.0
	if svc.limitsColdRate() && t.needsPacing(at) {
		rate = svc.spec.ColdRequestRate
	}
	if t.limit.isSet() && !t.limit.hasShare(at) && (rate == 0 || t.limit.perSecond < rate) {
		rate = t.limit.perSecond
	}
	if rate == 0 {
		return pace{}, false
	}
	return newPace(rate / float64(max(1, s.EntryInstances))), true
}

// mayPaceNow reports whether the rates that apply to the upstream permit one more
// request of this instance now.
func (s *State) mayPaceNow(at model.Time, svc *service, t *target) bool {
	if pace, ok := s.equalPace(at, svc, t); ok && !t.pacer.allows(at, pace, pacingPhase(s.self.ID, t)) {
		return false
	}
	if t.limit.isSet() && t.limit.hasShare(at) {
		t.limit.credit.refill(at, t.limit.share)
		return t.limit.credit.requests >= 1
	}
	return true
}

// nextPacedAt returns when the rates that apply to the upstream permit the next
// request of this instance, 0 if none applies.
func (s *State) nextPacedAt(at model.Time, svc *service, t *target) model.Time {
	var next model.Time
	if _, ok := s.equalPace(at, svc, t); ok {
		next = t.pacer.nextAt
	}
	if l := &t.limit; l.isSet() && l.hasShare(at) {
		missing := max(0, 1-l.credit.requests)
		next = max(next, at.Add(model.Duration(missing/max(l.share, minPacedRate)*float64(time.Second))))
	}
	return next
}

// recordPaced counts a request that is sent to the upstream.
func (s *State) recordPaced(at model.Time, svc *service, t *target) {
	if pace, ok := s.equalPace(at, svc, t); ok {
		t.pacer.advance(pace)
	}
	if t.limit.isSet() && t.limit.hasShare(at) {
		t.limit.credit.requests--
	}
}
