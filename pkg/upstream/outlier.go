package upstream

import (
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// outlierFactor multiplies the medians of the service. An upstream is an
	// outlier if its latency exceeds that multiple of the median latency, or if
	// the age of its oldest attempt exceeds that multiple of the median hold
	// time.
	outlierFactor = 3
	// probeInterval is the interval between probes of a suspect upstream.
	probeInterval = time.Second
	// minUpstreamsForMedian is the number of upstreams with samples below which no
	// median is computed.
	minUpstreamsForMedian = 3
	// minOutlierAge is the minimum age of an attempt that makes its upstream an
	// outlier. It excludes scheduling delays of a few milliseconds, which
	// matter where requests are very short.
	minOutlierAge = 20 * time.Millisecond
)

// outlierState is the result of outlier detection for one upstream.
type outlierState struct {
	// suspect is true if the upstream receives only probes, and requests for which
	// there is no other upstream.
	suspect bool
	// probeAt is when the next probe of a suspect upstream is due.
	probeAt model.Time
}

// mayProbe reports whether a suspect upstream is due for a probe: a request
// whose latency shows whether the upstream has recovered.
func (u *Upstream) mayProbe(at model.Time) bool { return u.health.suspect && at >= u.health.probeAt }

// markSuspect marks the upstream as suspect. It does nothing if more than half of
// the service's upstreams would then be suspect: a fault of this instance or of the
// network must not exclude all upstreams.
func (p *pool) markSuspect(at model.Time, u *Upstream) {
	if u.health.suspect || 2*(p.suspects+1) > len(p.members) {
		return
	}
	p.suspects++
	u.health.suspect = true
	u.health.probeAt = at.Add(probeInterval)
}

// clearSuspect ends the exclusion of a suspect upstream and begins a slow
// start.
func (p *pool) clearSuspect(at model.Time, u *Upstream) {
	p.suspects--
	u.health.suspect = false
	u.beginSlowStart(at)
}

// findOutliers updates the median latency and marks outliers as suspect: upstreams
// whose latency, or the age of whose oldest attempt, is far above the medians of
// the service. It marks the upstreams with the highest latency first, because
// markSuspect limits the number of suspects.
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

// medianOf returns the median of a value over the upstreams with a value other than
// 0. It returns 0 if there are fewer than minUpstreamsForMedian such upstreams.
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
