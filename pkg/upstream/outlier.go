package upstream

import (
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// outlierFactor is the multiple of the service's median above which the
	// latency of an upstream or the age of its oldest attempt is an outlier.
	outlierFactor = 3
	// probeInterval is the interval at which a suspect upstream receives a
	// request.
	probeInterval = time.Second
	// minUpstreamsForMedian is the minimum number of upstreams for a median.
	minUpstreamsForMedian = 3
	// minOutlierAge is the minimum age of an attempt that makes its upstream an
	// outlier. It excludes scheduling delays of a few milliseconds, which
	// matter where requests are very short.
	minOutlierAge = 20 * time.Millisecond
)

// outlierState records whether an upstream is suspect, which means that it
// receives only probes, and when the next probe is due.
type outlierState struct {
	suspect bool
	probeAt model.Time
}

// mayProbe reports whether a suspect upstream is due for a probe: a request
// whose latency shows whether the upstream has recovered.
func (u *Upstream) mayProbe(at model.Time) bool { return u.health.suspect && at >= u.health.probeAt }

// markSuspect excludes the upstream from new requests, unless half of the
// service's upstreams are already suspect: a fault of this instance or of the
// network must not exclude all of them.
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

// findOutliers marks the upstreams as suspect whose latency or whose oldest
// running attempt is far above the medians of the service, the slowest first.
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

// medianOf returns the median of a value over the upstreams whose value is not
// 0, and 0 if there are fewer than minUpstreamsForMedian. scratch is a reusable buffer.
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
