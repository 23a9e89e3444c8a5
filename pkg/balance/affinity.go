package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// rendezvousScore returns the score of an upstream for an object in rendezvous
// hashing. All entry instances compute the same scores without communication.
func rendezvousScore(t *target, objectHash uint64) uint64 { return mixHash(t.idHash ^ objectHash) }

// mixHash spreads the bits of a combined hash.
func mixHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// upstreamGroup holds the upstreams that cache the same set of objects: those
// of a region, or of a zone for large responses. An object is assigned to the
// upstream with the highest score, the primary, and then to the one with the
// second highest, the secondary.
type upstreamGroup struct {
	// name is the name of the region or zone.
	name                         string
	region                       model.Region
	primary, secondary           *target
	primaryScore, secondaryScore uint64
	// load and slots are the sums over the upstreams of the group.
	load, slots float64
}

// addCandidate makes an upstream the primary or secondary if its score is high
// enough.
func (g *upstreamGroup) addCandidate(t *target, score uint64) {
	switch {
	case g.primary == nil || score > g.primaryScore:
		g.secondary, g.secondaryScore = g.primary, g.primaryScore
		g.primary, g.primaryScore = t, score
	case g.secondary == nil || score > g.secondaryScore:
		g.secondary, g.secondaryScore = t, score
	}
}

// placement is the result of assigning an object to upstreams of a service. The
// upstreams of a region cache disjoint sets of objects, since the cache of a
// single upstream is too small for all of them. For large responses, which are
// costly to transfer between zones, the upstreams of a zone cache disjoint sets
// instead.
type placement struct {
	groups []*upstreamGroup
	// homeName is the name of the group of the own region or zone.
	homeName string
	// perZone is true if groups are zones, false if they are regions.
	perZone bool
	// objectHash is the hash of the affinity key.
	objectHash uint64
	// assigned is the group that handles the object.
	assigned *upstreamGroup
}

// placementOf computes the placement of the object of a request, nil if the
// request has no affinity key. Upstreams that cannot serve the request are
// skipped, so their objects move to the upstreams with the next lower scores.
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

// canServe reports whether the upstream is available for requests of this kind.
func (t *target) canServe(at model.Time, q *Query) bool {
	return !t.evacuated && !t.expired && !t.suspected(at) && !slices.Contains(q.Tried, t.registration.ID) &&
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

// groupName returns the name of the group of upstreams in a zone and its
// region.
func (p *placement) groupName(z model.Zone, r model.Region) string {
	if p.perZone {
		return string(z)
	}
	return string(r)
}

// isPrimary reports whether the upstream is the primary of its group. Without
// an affinity key it is true for every upstream.
func (p *placement) isPrimary(t *target) bool {
	if p == nil {
		return true
	}
	g := p.group(p.groupName(t.registration.Zone, t.region))
	return g != nil && g.primary == t
}

// isAssigned reports whether the upstream is the primary or secondary of the
// group that handles the object. The secondary is chosen if the queue time at
// the primary is longer than work on an uncached object.
func (p *placement) isAssigned(t *target) bool {
	return p.assigned != nil && (t == p.assigned.primary || t == p.assigned.secondary)
}

// hash returns the hash of the affinity key, 0 if there is none.
func (p *placement) hash() uint64 {
	if p == nil {
		return 0
	}
	return p.objectHash
}

const (
	// recentObjectTTL is how long an object counts as cached at an upstream other
	// than its assigned one after this instance's last request for it.
	recentObjectTTL = 20 * time.Second
	// maxRecentObjects bounds the number of objects recorded per upstream.
	maxRecentObjects = 512
)

// recentObjects holds the time of this instance's last request to an upstream,
// by the hash of the affinity key.
type recentObjects map[uint64]model.Time

// contains reports whether the object was requested within recentObjectTTL.
func (o recentObjects) contains(at model.Time, objectHash uint64) bool {
	last, ok := o[objectHash]
	return ok && at < last.Add(recentObjectTTL)
}

// add records a request. Above maxRecentObjects the older half is dropped.
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

// isCached reports whether an upstream is expected to have the object in its
// cache. The primary of the assigned group is, since all instances of the own
// region send it their requests for the object. Any other upstream must have
// received a recent request from this instance.
func (s *State) isCached(at model.Time, p *placement, t *target) bool {
	return p == nil || p.assigned != nil && t == p.assigned.primary || t.recentObjects.contains(at, p.objectHash)
}
