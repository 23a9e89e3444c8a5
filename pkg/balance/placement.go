package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// keepRate is how much the kept share may change in a second. Twice this lies
	// below the share of requests that may change their region within two seconds.
	homeShareChangePerSecond = 0.04
	// keepBelow and keepAbove bound the use of the slots at home: objects come
	// back below the one and leave above the other.
	growBelowUtilization   = 0.6
	shrinkAboveUtilization = 0.8
	// keepLead is how much more used than elsewhere the slots at home must be
	// before objects leave.
	utilizationMargin = 0.1
	// settleTime is how long after its first request an instance may still learn of
	// upstreams that are there.
	discoveryTime = 500 * time.Millisecond
	// nearWeight prefers other groups of the own region to those of other regions
	// for objects that are not kept at home.
	ownRegionWeight = 4
)

// keptShare is the share of the objects of its clients that an instance's home
// group handles. Each of the others has one group elsewhere. All instances of a
// group derive this alike, from the object and from the loads that upstreams
// report. If each request went where it seemed best at that moment, an object
// would be unknown at most of the upstreams that get requests for it.
type homeShare struct {
	value     float64
	updatedAt model.Time
	startedAt model.Time
}

// adapt moves the share with the use of the slots at home and elsewhere. At first
// it is what the known slots say.
func (k *homeShare) update(at model.Time, initial, homeUtilization, otherUtilization float64, stable bool) {
	if k.startedAt == 0 {
		k.startedAt = at
	}
	if at < k.startedAt.Add(discoveryTime) {
		k.value, k.updatedAt = initial, at
		return
	}
	step := homeShareChangePerSecond * min(1, at.Sub(k.updatedAt).Seconds())
	k.updatedAt = at
	switch {
	case !stable:
	case homeUtilization > shrinkAboveUtilization && homeUtilization > otherUtilization+utilizationMargin:
		k.value = max(0, k.value-step)
	case homeUtilization < growBelowUtilization || homeUtilization < otherUtilization-utilizationMargin:
		k.value = min(1, k.value+step)
	}
}

// place selects the group that handles the object.
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
	// At first all objects are unknown and slots are scarce, so every region gets
	// what its slots can bear. Large responses leave a zone only if they must.
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

// elsewhere selects one of the other groups by weighted rendezvous hashing over
// their slots.
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

// unit maps a hash to the open interval from 0 to 1.
func toUnitInterval(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
