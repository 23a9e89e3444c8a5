package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// weight ranks the upstreams for an object. All entry instances get the same
// ranks without talking to each other.
func rendezvousScore(t *target, objectHash uint64) uint64 { return mixHash(t.idHash ^ objectHash) }

// mix spreads the bits of a combined hash.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// group is the upstreams of a region, or of a zone for large responses, that may
// know an object: the first in rank, then the second.
type upstreamGroup struct {
	// name is that of the region or zone.
	name                         string
	region                       model.Region
	primary, secondary           *target
	primaryScore, secondaryScore uint64
	// load and slots are the sums over the group.
	load, slots float64
}

func (g *upstreamGroup) addCandidate(t *target, score uint64) {
	switch {
	case g.primary == nil || score > g.primaryScore:
		g.secondary, g.secondaryScore = g.primary, g.primaryScore
		g.primary, g.primaryScore = t, score
	case g.secondary == nil || score > g.secondaryScore:
		g.secondary, g.secondaryScore = t, score
	}
}

// copies says which upstreams of a service are to know an object. Those of a
// region share its objects, since the memory of one is too small for all. For
// large responses, which are costly to carry between zones, those of a zone do.
type placement struct {
	groups []*upstreamGroup
	// home is the name of the group of the own zone.
	homeName   string
	perZone    bool
	objectHash uint64
	// placed is the group that handles the object.
	assigned *upstreamGroup
}

// locate ranks the upstreams for an object. Upstreams that take no work hand
// their objects to the next ones in rank.
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
		name := p.groupName(t.registration.Zone, t.region)
		g := p.group(name)
		if g == nil {
			g = &upstreamGroup{name: name, region: t.region}
			p.groups = append(p.groups, g)
		}
		g.load += t.load(at)
		g.slots += t.slots()
		g.addCandidate(t, rendezvousScore(t, p.objectHash))
	}
	p.assigned = s.selectGroup(at, svc, p)
	return p
}

// takesWork reports whether an upstream may get requests of this kind.
func (t *target) canServe(at model.Time, q *Query) bool {
	return !t.evacuated && !t.expired && !t.suspected(at) && !slices.Contains(q.Tried, t.registration.ID) &&
		(len(q.HomeRegions) == 0 || slices.Contains(q.HomeRegions, t.region))
}

// group returns the group of a name, nil if there is none.
func (p *placement) group(name string) *upstreamGroup {
	for _, g := range p.groups {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (p *placement) groupName(z model.Zone, r model.Region) string {
	if p.perZone {
		return string(z)
	}
	return string(r)
}

// isLeader reports whether the upstream is the first in rank of its group.
// Requests without an object find every upstream alike.
func (p *placement) isPrimary(t *target) bool {
	if p == nil {
		return true
	}
	g := p.group(p.groupName(t.registration.Zone, t.region))
	return g != nil && g.primary == t
}

// isPlaced reports whether the upstream is one of the two that may handle the
// object where it is placed. The second one does if the wait at the first is
// longer than work on an unknown object.
func (p *placement) isAssigned(t *target) bool {
	return p.assigned != nil && (t == p.assigned.primary || t == p.assigned.secondary)
}

// key returns the hash of the object, 0 if nothing is known of it.
func (p *placement) hash() uint64 {
	if p == nil {
		return 0
	}
	return p.objectHash
}

const (
	// objectMemory is how long an object counts as known at an upstream of another
	// region after this instance's last request for it.
	recentObjectTTL = 20 * time.Second
	// maxObjects bounds the objects remembered for one upstream.
	maxRecentObjects = 512
)

// objects remembers this instance's requests at an upstream.
type recentObjects map[uint64]model.Time

// knows reports whether an object was requested lately.
func (o recentObjects) contains(at model.Time, objectHash uint64) bool {
	last, ok := o[objectHash]
	return ok && at < last.Add(recentObjectTTL)
}

// add remembers a request. When there are too many, the older half is dropped.
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

// isWarm reports whether an upstream is expected to know the object: the first in
// rank where the object is placed does, since all instances of the own region use
// it; any other must have been used by this instance.
func (s *State) isCached(at model.Time, p *placement, t *target) bool {
	return p == nil || p.assigned != nil && t == p.assigned.primary || t.recentObjects.contains(at, p.objectHash)
}
