package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// homeShareChangePerSecond is the largest change of a home share per second.
	// In two seconds a share changes by at most 0.08, which is less than the share
	// of requests, 0.15, that the platform permits to change their region in this
	// time.
	homeShareChangePerSecond = 0.04
	// growBelowUtilization and shrinkAboveUtilization are utilizations of the
	// slots of the home group. The home share grows while the utilization is below
	// the first, and may shrink while it is above the second.
	growBelowUtilization   = 0.6
	shrinkAboveUtilization = 0.8
	// utilizationMargin is the least difference between the utilizations of the
	// home group and of all other groups together. The home share shrinks only
	// while the utilization of the home group is higher by more than the margin.
	// The home share also grows while that utilization is lower by more than the
	// margin.
	utilizationMargin = 0.1
	// discoveryTime is how long after its first request an instance may still lack
	// registrations of existing upstreams, because it has not received them yet.
	discoveryTime = 500 * time.Millisecond
	// ownRegionWeight multiplies the weight of groups in this instance's region
	// when an object is assigned to a group other than the home group. Large
	// responses that have to leave their zone then mostly stay in the region.
	ownRegionWeight = 4
)

// homeShare is the share of objects that is assigned to the home group, among
// the objects that an instance's clients request. The home group consists of
// the upstreams of the instance's region, or of its zone for downloads. Each
// remaining object is assigned to one other group. All instances of a region
// (or zone) derive the same assignment from the hash of the object and from the
// reported loads of the upstreams. If every request were sent to the group that
// is cheapest at that moment, an object would be uncached at most of the
// upstreams that receive requests for it. startedAt is the time of the first
// update.
type homeShare struct {
	value     float64
	updatedAt model.Time
	startedAt model.Time
}

// update adapts the share to the utilizations of the home group and of all
// other groups together. During discoveryTime the share is set to initial,
// which follows from the slots known so far. After that, the share does not
// change while stable is false.
func (h *homeShare) update(at model.Time, initial, homeUtilization, otherUtilization float64, stable bool) {
	if h.startedAt == 0 {
		h.startedAt = at
	}
	if at < h.startedAt.Add(discoveryTime) {
		h.value, h.updatedAt = initial, at
		return
	}
	step := homeShareChangePerSecond * min(1, at.Sub(h.updatedAt).Seconds())
	h.updatedAt = at
	switch {
	case !stable:
	case homeUtilization > shrinkAboveUtilization && homeUtilization > otherUtilization+utilizationMargin:
		h.value = max(0, h.value-step)
	case homeUtilization < growBelowUtilization || homeUtilization < otherUtilization-utilizationMargin:
		h.value = min(1, h.value+step)
	}
}

// selectGroup selects the group to which the object is assigned.
func (s *State) selectGroup(at model.Time, svc *service, p *placement) *upstreamGroup {
	home := p.group(p.homeName)
	if home == nil {
		return p.selectOtherGroup(s.self.Regions[s.self.Zone])
	}
	load, slots := 0.0, 0.0
	for _, g := range p.groups {
		load += g.load
		slots += g.slots
	}
	// At the start all objects are uncached and slots are scarce, so the home
	// region initially handles as many objects as its slots allow. Large responses
	// leave their zone only if its utilization requires it.
	share, initial := &svc.homeRegionShare, min(1, home.slots*float64(len(p.groups))/slots)
	if p.perZone {
		share, initial = &svc.homeZoneShare, 1
	}
	share.update(at, initial, home.load/home.slots, (load-home.load)/max(1, slots-home.slots), s.regionShift.isStable())
	if len(p.groups) == 1 || toUnitInterval(mixHash(p.objectHash)) < share.value {
		return home
	}
	return p.selectOtherGroup(s.self.Regions[s.self.Zone])
}

// selectOtherGroup selects a group other than the home group by weighted
// rendezvous hashing. The weight of a group is its number of slots. Groups in
// the given region have a higher weight.
func (p *placement) selectOtherGroup(region model.Region) *upstreamGroup {
	var best *upstreamGroup
	var bestScore float64
	for _, g := range p.groups {
		if g.name == p.homeName {
			continue
		}
		weight := g.slots
		if g.region == region {
			weight *= ownRegionWeight
		}
		score := weight / -math.Log(toUnitInterval(mixHash(xxhash.Sum64String(g.name)^p.objectHash)))
		if best == nil || score > bestScore {
			best, bestScore = g, score
		}
	}
	return best
}

// toUnitInterval maps a hash to the open interval from 0 to 1.
func toUnitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
