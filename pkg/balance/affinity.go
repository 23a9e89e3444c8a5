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
func weight(t *target, object uint64) uint64 { return mix(t.hash ^ object) }

// mix spreads the bits of a combined hash.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// group is the upstreams of a region, or of a zone for large responses, that may
// know an object: the first in rank, then the second.
type group struct {
	// name is that of the region or zone.
	name                string
	region              model.Region
	first, second       *target
	firstRank, nextRank uint64
	// load and slots are the sums over the group.
	load, slots float64
}

func (g *group) offer(t *target, w uint64) {
	switch {
	case g.first == nil || w > g.firstRank:
		g.second, g.nextRank = g.first, g.firstRank
		g.first, g.firstRank = t, w
	case g.second == nil || w > g.nextRank:
		g.second, g.nextRank = t, w
	}
}

// copies says which upstreams of a service are to know an object. Those of a
// region share its objects, since the memory of one is too small for all. For
// large responses, which are costly to carry between zones, those of a zone do.
type copies struct {
	groups []*group
	// home is the name of the group of the own zone.
	home   string
	zonal  bool
	object uint64
	// placed is the group that handles the object.
	placed *group
}

// locate ranks the upstreams for an object. Upstreams that take no work hand
// their objects to the next ones in rank.
func (s *State) locate(at model.Time, svc *service, q *Query) *copies {
	if q.Object == "" {
		return nil
	}
	c := &copies{zonal: q.Download, object: xxhash.Sum64String(q.Object)}
	c.home = c.groupName(s.self.Zone, s.self.Regions[s.self.Zone])
	for _, t := range svc.targets {
		if !t.takesWork(at, q) {
			continue
		}
		name := c.groupName(t.registration.Zone, t.region)
		g := c.group(name)
		if g == nil {
			g = &group{name: name, region: t.region}
			c.groups = append(c.groups, g)
		}
		g.load += t.load(at)
		g.slots += t.slots()
		g.offer(t, weight(t, c.object))
	}
	c.placed = s.place(at, svc, c)
	return c
}

// takesWork reports whether an upstream may get requests of this kind.
func (t *target) takesWork(at model.Time, q *Query) bool {
	return !t.evacuated && !t.expired && !t.suspected(at) && !slices.Contains(q.Tried, t.registration.ID) &&
		(len(q.Homes) == 0 || slices.Contains(q.Homes, t.region))
}

// group returns the group of a name, nil if there is none.
func (c *copies) group(name string) *group {
	for _, g := range c.groups {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (c *copies) groupName(z model.Zone, r model.Region) string {
	if c.zonal {
		return string(z)
	}
	return string(r)
}

// isLeader reports whether the upstream is the first in rank of its group.
// Requests without an object find every upstream alike.
func (c *copies) isLeader(t *target) bool {
	if c == nil {
		return true
	}
	g := c.group(c.groupName(t.registration.Zone, t.region))
	return g != nil && g.first == t
}

// isPlaced reports whether the upstream is one of the two that may handle the
// object where it is placed. The second one does if the wait at the first is
// longer than work on an unknown object.
func (c *copies) isPlaced(t *target) bool {
	return c.placed != nil && (t == c.placed.first || t == c.placed.second)
}

// key returns the hash of the object, 0 if nothing is known of it.
func (c *copies) key() uint64 {
	if c == nil {
		return 0
	}
	return c.object
}

const (
	// objectMemory is how long an object counts as known at an upstream of another
	// region after this instance's last request for it.
	objectMemory = 20 * time.Second
	// maxObjects bounds the objects remembered for one upstream.
	maxObjects = 512
)

// objects remembers this instance's requests at an upstream.
type objects map[uint64]model.Time

// knows reports whether an object was requested lately.
func (o objects) knows(at model.Time, object uint64) bool {
	last, ok := o[object]
	return ok && at < last.Add(objectMemory)
}

// add remembers a request. When there are too many, the older half is dropped.
func (o objects) add(at model.Time, object uint64) {
	o[object] = at
	if len(o) <= maxObjects {
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
func (s *State) isWarm(at model.Time, known *copies, t *target) bool {
	return known == nil || known.placed != nil && t == known.placed.first || t.objects.knows(at, known.object)
}
