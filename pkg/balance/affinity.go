package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// rendezvousScore returns the score of an upstream for an object in rendezvous
// hashing. It depends only on the hash of the upstream's identifier and on
// objectHash, the hash of the affinity key. All entry instances therefore
// compute the same score without communication.
func rendezvousScore(t *target, objectHash uint64) uint64 { return mixHash(t.idHash ^ objectHash) }

// mixHash spreads the bits of a combined hash.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// upstreamGroup holds the upstreams of a region, or of a zone for large
// responses. Each object is cached at one upstream of the group: the primary,
// which has the highest score for the object. The secondary has the second
// highest.
type upstreamGroup struct {
	// name is the name of the region or zone.
	name                         string
	region                       model.Region
	primary, secondary           *target
	primaryScore, secondaryScore uint64
	// firstChoice is the upstream with the highest score, whether or not its request
	// limit leaves room for the object.
	firstChoice      *target
	firstChoiceScore uint64
	// load and slots are the sums of the loads and slots of the upstreams in the
	// group.
	load, slots float64
}

// minObjectFraction is the least fraction of the slots of an upstream that counts
// towards the slots of its group.
const minObjectFraction = 0.05

// addCandidate makes an upstream the primary or the secondary of the group if
// its score is among the two highest so far.
func (g *upstreamGroup) addCandidate(t *target, score uint64) {
	switch {
	case g.primary == nil || score > g.primaryScore:
		g.secondary, g.secondaryScore = g.primary, g.primaryScore
		g.primary, g.primaryScore = t, score
	case g.secondary == nil || score > g.secondaryScore:
		g.secondary, g.secondaryScore = t, score
	}
}

// placement is the assignment of an object to a group of upstreams of a
// service, and to a primary and a secondary in each group. The upstreams of a
// region cache disjoint sets of objects, since the cache of a single upstream
// is too small for all objects. Large responses are costly to transfer between
// zones; for these, the upstreams of a zone cache disjoint sets.
type placement struct {
	groups []*upstreamGroup
	// byIndex holds the groups by regionIndex or zoneIndex of their upstreams, nil for
	// those without an upstream that can serve the request.
	byIndex []*upstreamGroup
	// homeName is the name of the home group: the group of this instance's own
	// region, or of its own zone if perZone is true.
	homeName string
	// perZone is true if groups are zones, false if they are regions.
	perZone bool
	// objectHash identifies the object. It is the hash of the affinity key, which
	// names the object.
	objectHash uint64
	// assigned is the group to which the object is assigned. A request for the
	// object is sent to another group only if the assigned group cannot accept it,
	// or if the assigned group is expected to miss the latency objective and costs
	// more than the other.
	assigned *upstreamGroup
}

// placementOf computes the placement of the object of a request, nil if the
// request has no affinity key. Upstreams that cannot serve the request are
// skipped; each object of a skipped upstream moves to the upstream with the
// next lower score for this object.
func (s *State) placementOf(at model.Time, svc *service, q *Query) *placement {
	if q.AffinityKey == "" {
		return nil
	}
	p := &placement{perZone: q.Download, objectHash: xxhash.Sum64String(q.AffinityKey)}
	p.homeName = p.groupName(s.self.Zone, s.self.Regions[s.self.Zone])
	for _, t := range svc.targets {
		if !t.canServe(at, q) {
			continue
		}
		g := p.groupOf(t)
		score, fraction := rendezvousScore(t, p.objectHash), s.objectFraction(at, t)
		g.load += t.load(at)
		g.slots += t.slots() * max(fraction, minObjectFraction)
		if g.firstChoice == nil || score > g.firstChoiceScore {
			g.firstChoice, g.firstChoiceScore = t, score
		}
		if fraction == 1 || toUnitInterval(mixHash(score)) < fraction {
			g.addCandidate(t, score)
		}
	}
	for _, g := range p.groups {
		if g.primary == nil {
			g.primary = g.firstChoice
		}
	}
	p.assigned = s.selectGroup(at, svc, p)
	return p
}

// groupOf returns the group of an upstream and adds it if it is new.
func (p *placement) groupOf(t *target) *upstreamGroup {
	index := t.regionIndex
	if p.perZone {
		index = t.zoneIndex
	}
	if index >= len(p.byIndex) {
		p.byIndex = append(p.byIndex, make([]*upstreamGroup, index+1-len(p.byIndex))...)
	}
	g := p.byIndex[index]
	if g == nil {
		g = &upstreamGroup{name: p.groupName(t.registration.Zone, t.region), region: t.region}
		p.byIndex[index] = g
		p.groups = append(p.groups, g)
	}
	return g
}

// canServe reports whether the upstream is in service and permitted for the
// request. Unlike canReceiveNow, it ignores the pacing of cold upstreams.
func (t *target) canServe(at model.Time, q *Query) bool {
	return !t.evacuated && !t.expired && !t.suspected(at) && at >= t.pause.until && !slices.Contains(q.Tried, t.registration.ID) &&
		(len(q.HomeRegions) == 0 || slices.Contains(q.HomeRegions, t.region))
}

// group returns the group with the given name, nil if there is none.
func (p *placement) group(name string) *upstreamGroup {
	for _, g := range p.groups {
		if g.name == name {
			return g
		}
	}
	return nil
}

// groupName returns the name of the group of an upstream in the given zone and
// region.
func (p *placement) groupName(z model.Zone, r model.Region) string {
	if p.perZone {
		return string(z)
	}
	return string(r)
}

// assignedTargets returns the primary and the secondary of the assigned group, as far
// as there are any. The secondary is selected if the queue time at the primary
// outweighs the additional work on an uncached object.
func (p *placement) assignedTargets() []*target {
	var list []*target
	if p.assigned != nil {
		for _, t := range []*target{p.assigned.primary, p.assigned.secondary} {
			if t != nil {
				list = append(list, t)
			}
		}
	}
	return list
}

// hash returns the objectHash of the placement, 0 if there is no placement.
func (p *placement) hash() uint64 {
	if p == nil {
		return 0
	}
	return p.objectHash
}

const (
	// recentObjectTTL is how long an object counts as cached at an upstream after
	// this instance's last request for it. It does not apply to the primary of the
	// assigned group, where an object always counts as cached.
	recentObjectTTL = 20 * time.Second
	// maxRecentObjects is the largest number of objects recorded per upstream.
	maxRecentObjects = 512
)

// recentObjects holds the time of this instance's last request for each object
// at one upstream, by the objectHash of the object.
type recentObjects map[uint64]model.Time

// contains reports whether this instance sent a request for the object within
// the last recentObjectTTL.
func (o recentObjects) contains(at model.Time, objectHash uint64) bool {
	last, ok := o[objectHash]
	return ok && at < last.Add(recentObjectTTL)
}

// add records a request for an object. If there are more than maxRecentObjects,
// the older half of the objects is dropped.
func (o recentObjects) add(at model.Time, objectHash uint64) {
	o[objectHash] = at
	if len(o) <= maxRecentObjects {
		return
	}
	times := make([]model.Time, 0, len(o))
	for _, t := range o {
		times = append(times, t)
	}
	slices.Sort(times)
	median := times[len(times)/2]
	maps.DeleteFunc(o, func(_ uint64, t model.Time) bool { return t < median })
}

// isCached reports whether an upstream is expected to have the object of a
// placement in its cache. This holds for the primary of the assigned group,
// since all instances of this region send it their requests for the object. It
// also holds for any other upstream to which this instance sent a request for
// the object recently. Without an affinity key, isCached returns true.
func (s *State) isCached(at model.Time, p *placement, t *target) bool {
	return p == nil || p.assigned != nil && t == p.assigned.primary || t.recentObjects.contains(at, p.objectHash)
}
