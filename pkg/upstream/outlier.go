package upstream

import (
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// outlierFactor is how many times the median of its service an upstream's
	// latency may be.
	outlierFactor = 3
	// probeInterval is how often a suspect upstream gets a request all the same.
	probeInterval = time.Second
	// minCompared is how many upstreams a median needs.
	minMedianSize = 3
	// minOldest keeps scheduling delays of a few milliseconds from counting as
	// a slow attempt where requests are very short.
	minOutlierAge = 20 * time.Millisecond
)

// suspicion is the outlier state of an upstream.
type outlierState struct {
	suspect bool
	probeAt model.Time
}

// mayProbe reports whether a suspect upstream may get a request to be judged by.
func (u *Upstream) mayProbe(at model.Time) bool { return u.health.suspect && at >= u.health.probeAt }

// suspect keeps new work from the upstream, unless half of the service's
// upstreams are suspect already: a fault of this instance or of the network must
// not take all of them out.
func (p *pool) markSuspect(at model.Time, u *Upstream) {
	if u.health.suspect || 2*(p.suspects+1) > len(p.members) {
		return
	}
	p.suspects++
	u.health.suspect = true
	u.health.probeAt = at.Add(probeInterval)
}

// clear gives a suspect upstream work again, a little at first.
func (p *pool) clearSuspect(at model.Time, u *Upstream) {
	p.suspects--
	u.health.suspect = false
	u.beginSlowStart(at)
}

// findOutliers compares latency and the age of the oldestAllowed running attempt with
// the medians of the service. The worst are suspected first.
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

// medianOf returns the median of a value over the upstreams that have one, 0 if
// they are too few.
func (p *pool) medianOf(scratch *[]float64, value func(*Upstream) float64) float64 {
	list := (*scratch)[:0]
	for _, u := range p.members {
		if v := value(u); v > 0 {
			list = append(list, v)
		}
	}
	*scratch = list
	if len(list) < minMedianSize {
		return 0
	}
	sort.Float64s(list)
	return list[(len(list)-1)/2]
}
