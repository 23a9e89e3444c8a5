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
	keepRate = 0.04
	// keepBelow and keepAbove bound the use of the slots at home: objects come
	// back below the one and leave above the other.
	keepBelow = 0.6
	keepAbove = 0.8
	// keepLead is how much more used than elsewhere the slots at home must be
	// before objects leave.
	keepLead = 0.1
	// settleTime is how long after its first request an instance may still learn of
	// upstreams that are there.
	settleTime = 500 * time.Millisecond
	// nearWeight prefers other groups of the own region to those of other regions
	// for objects that are not kept at home.
	nearWeight = 4
)

// keptShare is the share of the objects of its clients that an instance's home
// group handles. Each of the others has one group elsewhere. All instances of a
// group derive this alike, from the object and from the loads that upstreams
// report. If each request went where it seemed best at that moment, an object
// would be unknown at most of the upstreams that get requests for it.
type keptShare struct {
	value     float64
	movedAt   model.Time
	startedAt model.Time
}

// adapt moves the share with the use of the slots at home and elsewhere. At first
// it is what the known slots say.
func (k *keptShare) adapt(at model.Time, first, home, elsewhere float64, steady bool) {
	if k.startedAt == 0 {
		k.startedAt = at
	}
	if at < k.startedAt.Add(settleTime) {
		k.value, k.movedAt = first, at
		return
	}
	step := keepRate * min(1, at.Sub(k.movedAt).Seconds())
	k.movedAt = at
	switch {
	case !steady:
	case home > keepAbove && home > elsewhere+keepLead:
		k.value = max(0, k.value-step)
	case home < keepBelow || home < elsewhere-keepLead:
		k.value = min(1, k.value+step)
	}
}

// place selects the group that handles the object.
func (s *State) place(at model.Time, svc *service, c *copies) *group {
	home := c.group(c.home)
	if home == nil {
		return c.elsewhere(s.self.Regions[s.self.Zone])
	}
	load, slots := 0.0, 0.0
	for _, g := range c.groups {
		load += g.load
		slots += g.slots
	}
	// At first all objects are unknown and slots are scarce, so every region gets
	// what its slots can bear. Large responses leave a zone only if they must.
	kept, first := &svc.kept, min(1, home.slots*float64(len(c.groups))/slots)
	if c.zonal {
		kept, first = &svc.keptInZone, 1
	}
	kept.adapt(at, first, home.load/home.slots, (load-home.load)/max(1, slots-home.slots), s.shares.isSteady())
	if len(c.groups) == 1 || unit(mix(c.object)) < kept.value {
		return home
	}
	return c.elsewhere(s.self.Regions[s.self.Zone])
}

// elsewhere selects one of the other groups by weighted rendezvous hashing over
// their slots.
func (c *copies) elsewhere(region model.Region) *group {
	var best *group
	var bestScore float64
	for _, g := range c.groups {
		if g.name == c.home {
			continue
		}
		weight := g.slots
		if g.region == region {
			weight *= nearWeight
		}
		score := weight / -math.Log(unit(mix(xxhash.Sum64String(g.name)^c.object)))
		if best == nil || score > bestScore {
			best, bestScore = g, score
		}
	}
	return best
}

// unit maps a hash to the open interval from 0 to 1.
func unit(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
