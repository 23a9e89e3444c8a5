package balance

import (
	"math"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// demandHalfLife is the half-life of the weight of a request in the demand for
	// an upstream.
	demandHalfLife = 4 * time.Second
	// limitReportTime is how long after the end of a limit this instance still
	// reports its demand for the upstream, so that others learn of the end.
	limitReportTime = 3 * time.Second
)

// requestLimit is the limit that an upstream has stated for the requests per
// second from all instances together, and this instance's share of it.
type requestLimit struct {
	// perSecond is the limit, 0 if there is none.
	perSecond float64
	// statedAt is when the latest answer that stated or ended the limit arrived, 0
	// if there was none.
	statedAt model.Time
	// share is the number of requests per second that this instance may send until
	// shareUntil. Without a valid share it may send an equal share of the limit.
	share      float64
	shareUntil model.Time
	credit     rateCredit
	// demand is the decaying number of requests for the upstream, sent there or
	// not, at the time demandAt.
	demand   float64
	demandAt model.Time
}

func (l *requestLimit) isSet() bool { return l.perSecond > 0 }

// observe records the limit that an answer states, 0 for none. Answers may arrive
// out of order: one without a limit ends the limit only if its request was sent
// after the limit was last stated.
func (l *requestLimit) observe(at, sentAt model.Time, perSecond float64) {
	switch {
	case perSecond > 0:
		l.perSecond, l.statedAt = perSecond, at
	case l.perSecond > 0 && sentAt >= l.statedAt:
		l.perSecond, l.statedAt = 0, at
	}
}

// addDemand counts requests for the upstream.
func (l *requestLimit) addDemand(at model.Time, requests float64) {
	l.demand = l.demand*decay(at.Sub(l.demandAt), demandHalfLife) + requests
	l.demandAt = at
}

// demandRate returns the demand in requests per second.
func (l *requestLimit) demandRate(at model.Time) float64 {
	return l.demand * decay(at.Sub(l.demandAt), demandHalfLife) * math.Ln2 / demandHalfLife.Seconds()
}

// hasShare reports whether this instance has a share of the limit for itself.
func (l *requestLimit) hasShare(at model.Time) bool { return at < l.shareUntil }

// objectFraction returns the fraction of the objects of an upstream with a limit
// that this instance requests there, so that its demand meets its share. The
// other objects have another primary. They stay cached there, which they would
// not if requests beyond the share were sent elsewhere at random.
func (s *State) objectFraction(at model.Time, t *target) float64 {
	l := &t.limit
	if !l.isSet() {
		return 1
	}
	share := l.share
	if !l.hasShare(at) {
		share = l.perSecond / float64(max(1, s.EntryInstances))
	}
	demand := l.demandRate(at)
	if demand <= share {
		return 1
	}
	return share / demand
}

// countDemand counts a request as demand for the upstreams with a limit to which
// it belongs: the first choice for its object in the assigned group or, without
// an affinity key, all upstreams of the service alike.
func (s *State) countDemand(at model.Time, svc *service, p *placement) {
	if p != nil {
		if p.assigned != nil && p.assigned.firstChoice.limit.isSet() {
			p.assigned.firstChoice.limit.addDemand(at, 1)
		}
		return
	}
	for _, t := range svc.targets {
		if t.limit.isSet() {
			t.limit.addDemand(at, 1/float64(len(svc.targets)))
		}
	}
}

// RequestLimit returns the request limit of an upstream, 0 if it has none.
func (s *State) RequestLimit(id model.UpstreamID) float64 {
	if t := s.targets[id]; t != nil {
		return t.limit.perSecond
	}
	return 0
}

// RateDemands returns this instance's demand for the upstreams that state a
// request limit, or did so until recently.
func (s *State) RateDemands(at model.Time) []message.RateDemand {
	var list []message.RateDemand
	for _, svc := range s.sortedServices() {
		for _, t := range svc.targets {
			l := &t.limit
			if !l.isSet() && (l.statedAt == 0 || at >= l.statedAt.Add(limitReportTime)) {
				continue
			}
			list = append(list, message.RateDemand{
				Upstream: t.rateKey(), Limit: l.perSecond, PerSecond: l.demandRate(at), StatementAgeMs: at.Sub(l.statedAt).Milliseconds()})
		}
	}
	return list
}

// SetRateShares stores the shares that were granted to this instance until the
// given time. A share may also bring the news that a limit has ended.
func (s *State) SetRateShares(at, until model.Time, shares []message.RateShare) {
	byKey := make(map[uint64]message.RateShare, len(shares))
	for _, share := range shares {
		byKey[share.Upstream] = share
	}
	for _, t := range s.targets {
		share, ok := byKey[t.rateKey()]
		if !ok {
			continue
		}
		if !t.limit.hasShare(at) {
			t.limit.credit = rateCredit{updatedAt: at}
		}
		t.limit.credit.refill(at, t.limit.share)
		t.limit.share, t.limit.shareUntil = share.PerSecond, until
		if stated := at.Add(-time.Duration(share.StatementAgeMs) * time.Millisecond); stated > t.limit.statedAt {
			t.limit.perSecond, t.limit.statedAt = share.Limit, stated
		}
	}
}

// rateKey identifies the process of the upstream in messages about its limit.
func (t *target) rateKey() uint64 { return mixHash(t.idHash ^ uint64(t.registration.StartTimeMs)) }
