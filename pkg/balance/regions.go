package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// shiftWindow is the length of the windows between which the regions of
	// requests are compared.
	shiftWindow = 2 * time.Second
	// shiftSlots divide a window.
	shiftSlots = 20
	// maxShift is the share of requests that may run in other regions than in the
	// window before because the upstreams of their objects are busy, and maxPlaced
	// that at which no more objects move. The platform's deployments allow 0.15 over
	// all instances of a region; the rest allows for differences between these.
	maxShift  = 0.05
	maxPlaced = 0.06
	// priorWeight is the number of requests that the usual shares stand for beside
	// those of the former window, which may hold few.
	priorWeight = 10
	// priorFollow is how much of the former window's shares becomes usual with
	// each slot.
	priorFollow = 0.03
	// minWindow is the least number of requests that shares are taken of.
	minWindow = 10
)

// regionShares bounds how fast requests change the region in which they run, so
// that a shift of load meets capacity and caches that can follow.
type regionShares struct {
	regions []model.Region
	// slots counts requests by time and region; windows are sums over them.
	slots    [2 * shiftSlots]shiftSlot
	latest   int64
	now, old windowCount
	home     model.Region
	// prior holds the usual shares.
	prior [maxRegions]float64
}

// newRegionShares returns the shares of an instance in the home region.
func newRegionShares(home model.Region, regions map[model.Zone]model.Region) *regionShares {
	r := &regionShares{home: home}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		r.index(regions[zone])
	}
	r.expect(map[model.Region]int{home: 1})
	return r
}

// expect sets the usual shares before any request, by the slots in each region,
// as objects are placed at first.
func (r *regionShares) expect(slots map[model.Region]int) {
	if r.latest != 0 {
		return
	}
	total := 0
	for _, n := range slots {
		total += n
	}
	if total == 0 {
		return
	}
	share := min(1, float64(slots[r.home])*float64(len(r.regions))/float64(total))
	for k, region := range r.regions {
		switch {
		case region == r.home:
			r.prior[k] = share
		case slots[region] == 0:
			r.prior[k] = 0
		default:
			r.prior[k] = (1 - share) * float64(slots[region]) / float64(total-slots[r.home])
		}
	}
}

type shiftSlot struct {
	number int64
	counts windowCount
}

// windowCount counts requests by region, in the order of regionShares.regions.
type windowCount struct {
	total   float64
	regions [maxRegions]float64
}

// maxRegions is the most regions that are told apart.
const maxRegions = 16

func (c *windowCount) add(o *windowCount, sign float64) {
	c.total += sign * o.total
	for i := range c.regions {
		c.regions[i] += sign * o.regions[i]
	}
}

func (r *regionShares) index(region model.Region) int {
	for i, known := range r.regions {
		if known == region {
			return i
		}
	}
	if len(r.regions) == maxRegions {
		return maxRegions - 1
	}
	r.regions = append(r.regions, region)
	return len(r.regions) - 1
}

// advance moves the windows to a time.
func (r *regionShares) advance(at model.Time) {
	n := int64(at) / int64(shiftWindow/shiftSlots)
	if n == r.latest {
		return
	}
	r.latest = n
	r.now, r.old = windowCount{}, windowCount{}
	for i := range r.slots {
		s := &r.slots[i]
		switch age := n - s.number; {
		case age < shiftSlots:
			r.now.add(&s.counts, 1)
		case age < 2*shiftSlots:
			r.old.add(&s.counts, 1)
		}
	}
	if r.old.total >= minWindow {
		for k := range r.regions {
			r.prior[k] += priorFollow * (r.old.regions[k]/r.old.total - r.prior[k])
		}
	}
}

// former returns the share of a region that the present one is compared with.
func (r *regionShares) former(k int) float64 {
	return (r.old.regions[k] + priorWeight*r.prior[k]) / (r.old.total + priorWeight)
}

// allows reports whether another request may run in the region.
func (r *regionShares) allows(region model.Region) bool {
	k := r.index(region)
	if (r.now.regions[k]+1)/max(r.now.total+1, minWindow) <= r.former(k) {
		return true
	}
	return r.moved(k) <= maxShift
}

// isSteady reports whether objects may move between regions. Single instances
// see few requests, whose regions vary by chance.
func (r *regionShares) isSteady() bool {
	return r.moved(noRegion) <= maxPlaced+0.5/math.Sqrt(max(r.now.total, minWindow))
}

// noRegion stands for no further request.
const noRegion = -1

// moved returns the share of requests in this window that run in other regions
// than in the former one, with one more in a region.
func (r *regionShares) moved(next int) float64 {
	total := r.now.total
	if next != noRegion {
		total++
	}
	total = max(total, minWindow)
	moved := 0.0
	for i := range r.regions {
		count := r.now.regions[i]
		if i == next {
			count++
		}
		moved += max(0, count/total-r.former(i))
	}
	return moved
}

// count returns the number of regions.
func (r *regionShares) count() int { return len(r.regions) }

// note counts a request that runs in the region.
func (r *regionShares) note(region model.Region) {
	k := r.index(region)
	s := &r.slots[r.latest%int64(len(r.slots))]
	if s.number != r.latest {
		*s = shiftSlot{number: r.latest}
	}
	for _, c := range []*windowCount{&s.counts, &r.now} {
		c.total++
		c.regions[k]++
	}
}
