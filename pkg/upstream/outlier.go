package upstream

import (
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// outlierFactor multiplies the median latency and the median hold time of a
	// service's upstreams. An upstream is an outlier if its latency exceeds the
	// first product, or if the age of its oldest attempt exceeds the second.
	outlierFactor = 3
	// probeInterval is the time between two probes of a suspect upstream.
	probeInterval = time.Second
	// minUpstreamsForMedian is the least number of upstreams with samples for which
	// a median is computed. With only two different values, either one could be the
	// outlier.
	minUpstreamsForMedian = 3
	// minOutlierAge is the least age of an attempt that makes its upstream an
	// outlier. A lower limit would count scheduling delays of a few milliseconds as
	// faults of the upstream where requests are very short.
	minOutlierAge = 20 * time.Millisecond
)

// outlierState is the result of outlier detection for one upstream.
type outlierState struct {
	// suspect is true if the upstream probably has a fault. It then receives only
	// probes, and requests for which there is no other upstream.
	suspect bool
	// probeAt is the time from which the next probe of a suspect upstream may be
	// sent.
	probeAt model.Time
}

// mayProbe reports whether the upstream is suspect and due for a probe: a request
// whose latency shows whether the upstream has recovered.
func (u *Upstream) mayProbe(at model.Time) bool { return u.health.suspect && at >= u.health.probeAt }

// markSuspect marks the upstream as suspect. It does nothing if more than half of
// the service's upstreams would then be suspect. So many suspect upstreams at once
// indicate a fault of this instance or of the network. Such a fault must not
// exclude all upstreams.
func (p *pool) markSuspect(at model.Time, u *Upstream) {
	if u.health.suspect || 2*(p.suspects+1) > len(p.members) {
		return
	}
	p.suspects++
	u.health.suspect = true
	u.health.probeAt = at.Add(probeInterval)
}

// clearSuspect makes a suspect upstream available again and begins a slow start.
func (p *pool) clearSuspect(at model.Time, u *Upstream) {
	p.suspects--
	u.health.suspect = false
	u.beginSlowStart(at)
}

// findOutliers updates the median latency of the service's upstreams and marks the
// outliers as suspect (see outlierFactor and minOutlierAge). It begins with the
// outlier that has the highest latency, because markSuspect limits the number of
// suspect upstreams.
func (p *pool) findOutliers(at model.Time, scratch *[]float64) {
	p.medianLatency = p.medianOf(scratch, func(u *Upstream) float64 { return u.health.latency })
	medianHoldTime := p.medianOf(scratch, func(u *Upstream) float64 { return u.health.holdTime })
	oldestAllowed := at.Add(-max(minOutlierAge, model.Duration(outlierFactor*medianHoldTime)))
	var outliers []*Upstream
	for _, u := range p.members {
		if u.health.suspect {
			continue
		}
		slow := p.medianLatency > 0 && u.health.latency > outlierFactor*p.medianLatency
		stuck := medianHoldTime > 0 && u.Usage.Used() > 0 && u.Usage.OldestGrant() < oldestAllowed
		if slow || stuck {
			outliers = append(outliers, u)
		}
	}
	sort.SliceStable(outliers, func(i, j int) bool { return outliers[i].health.latency > outliers[j].health.latency })
	for _, u := range outliers {
		p.markSuspect(at, u)
	}
}

// medianOf returns the median of the given value over the upstreams for which it is
// not 0. It returns 0 if there are fewer than minUpstreamsForMedian such upstreams.
// scratch is a reusable buffer.
func (p *pool) medianOf(scratch *[]float64, value func(*Upstream) float64) float64 {
	values := (*scratch)[:0]
	for _, u := range p.members {
		if v := value(u); v > 0 {
			values = append(values, v)
		}
	}
	*scratch = values
	if len(values) < minUpstreamsForMedian {
		return 0
	}
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}
