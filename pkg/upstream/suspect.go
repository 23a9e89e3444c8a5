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
	minCompared = 3
	// minOldest keeps scheduling delays of a few milliseconds from counting as
	// a slow attempt where requests are very short.
	minOldest = 20 * time.Millisecond
)

// suspicion is the outlier state of an upstream.
type suspicion struct {
	suspect bool
	probeAt model.Time
}

// mayProbe reports whether a suspect upstream may get a request to be judged by.
func (u *Upstream) mayProbe(at model.Time) bool { return u.health.suspect && at >= u.health.probeAt }

// suspect keeps new work from the upstream, unless half of the service's
// upstreams are suspect already: a fault of this instance or of the network must
// not take all of them out.
func (p *pool) suspect(at model.Time, u *Upstream) {
	if u.health.suspect || 2*(p.suspects+1) > len(p.members) {
		return
	}
	p.suspects++
	u.health.suspect = true
	u.health.probeAt = at.Add(probeInterval)
}

// clear gives a suspect upstream work again, a little at first.
func (p *pool) clear(at model.Time, u *Upstream) {
	p.suspects--
	u.health.suspect = false
	u.beginSlowStart(at)
}

// findOutliers compares latency and the age of the oldest running attempt with
// the medians of the service. The worst are suspected first.
func (p *pool) findOutliers(at model.Time, scratch *[]float64) {
	p.median = p.medianOf(scratch, func(u *Upstream) float64 { return u.health.latency })
	hold := p.medianOf(scratch, func(u *Upstream) float64 { return u.health.hold })
	oldest := at.Add(-max(minOldest, model.Duration(outlierFactor*hold)))
	var bad []*Upstream
	for _, u := range p.members {
		if u.health.suspect {
			continue
		}
		slow := p.median > 0 && u.health.latency > outlierFactor*p.median
		stuck := hold > 0 && u.Meter.Used() > 0 && u.Meter.OldestGrant() < oldest
		if slow || stuck {
			bad = append(bad, u)
		}
	}
	sort.SliceStable(bad, func(i, j int) bool { return bad[i].health.latency > bad[j].health.latency })
	for _, u := range bad {
		p.suspect(at, u)
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
	if len(list) < minCompared {
		return 0
	}
	sort.Float64s(list)
	return list[(len(list)-1)/2]
}
