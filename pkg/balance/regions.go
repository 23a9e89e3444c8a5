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
	windowBuckets = 20
	// maxShift is the share of requests that may run in other regions than in the
	// window before because the upstreams of their objects are busy, and maxPlaced
	// that at which no more objects move. The platform's deployments allow 0.15 over
	// all instances of a region; the rest allows for differences between these.
	maxShiftedShare = 0.05
	maxStableShift  = 0.06
	// priorWeight is the number of requests that the usual shares stand for beside
	// those of the former window, which may hold few.
	priorWeight = 10
	// priorFollow is how much of the former window's shares becomes usual with
	// each slot.
	priorLearningRate = 0.03
	// minWindow is the least number of requests that shares are taken of.
	minWindowRequests = 10
)

// regionShares bounds how fast requests change the region in which they run, so
// that a shift of load meets capacity and caches that can follow.
type regionShiftLimiter struct {
	regions []model.Region
	// slots counts requests by time and region; windows are sums over them.
	buckets           [2 * windowBuckets]bucket
	latestBucket      int64
	current, previous regionCounts
	home              model.Region
	// prior holds the usual shares.
	prior [maxRegions]float64
}

// newRegionShares returns the shares of an instance in the home region.
func newRegionShiftLimiter(home model.Region, regions map[model.Zone]model.Region) *regionShiftLimiter {
	r := &regionShiftLimiter{home: home}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		r.regionIndex(regions[zone])
	}
	r.setPrior(map[model.Region]int{home: 1})
	return r
}

// expect sets the usual shares before any request, by the slots in each region,
// as objects are placed at first.
func (r *regionShiftLimiter) setPrior(slots map[model.Region]int) {
	if r.latestBucket != 0 {
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

type bucket struct {
	number int64
	counts regionCounts
}

// windowCount counts requests by region, in the order of regionShares.regions.
type regionCounts struct {
	total    float64
	byRegion [maxRegions]float64
}

// maxRegions is the most regions that are told apart.
const maxRegions = 16

func (c *regionCounts) add(o *regionCounts, sign float64) {
	c.total += sign * o.total
	for i := range c.byRegion {
		c.byRegion[i] += sign * o.byRegion[i]
	}
}

func (r *regionShiftLimiter) regionIndex(region model.Region) int {
	for i, existing := range r.regions {
		if existing == region {
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
func (r *regionShiftLimiter) advance(at model.Time) {
	number := int64(at) / int64(shiftWindow/windowBuckets)
	if number == r.latestBucket {
		return
	}
	r.latestBucket = number
	r.current, r.previous = regionCounts{}, regionCounts{}
	for i := range r.buckets {
		s := &r.buckets[i]
		switch age := number - s.number; {
		case age < windowBuckets:
			r.current.add(&s.counts, 1)
		case age < 2*windowBuckets:
			r.previous.add(&s.counts, 1)
		}
	}
	if r.previous.total >= minWindowRequests {
		for k := range r.regions {
			r.prior[k] += priorLearningRate * (r.previous.byRegion[k]/r.previous.total - r.prior[k])
		}
	}
}

// former returns the share of a region that the present one is compared with.
func (r *regionShiftLimiter) previousShare(k int) float64 {
	return (r.previous.byRegion[k] + priorWeight*r.prior[k]) / (r.previous.total + priorWeight)
}

// allows reports whether another request may run in the region.
func (r *regionShiftLimiter) allows(region model.Region) bool {
	k := r.regionIndex(region)
	if (r.current.byRegion[k]+1)/max(r.current.total+1, minWindowRequests) <= r.previousShare(k) {
		return true
	}
	return r.shiftedShare(k) <= maxShiftedShare
}

// isSteady reports whether objects may move between regions. Single instances
// see few requests, whose regions vary by chance.
func (r *regionShiftLimiter) isStable() bool {
	return r.shiftedShare(noRegion) <= maxStableShift+0.5/math.Sqrt(max(r.current.total, minWindowRequests))
}

// noRegion stands for no further request.
const noRegion = -1

// moved returns the share of requests in this window that run in other regions
// than in the former one, with one more in a region.
func (r *regionShiftLimiter) shiftedShare(next int) float64 {
	total := r.current.total
	if next != noRegion {
		total++
	}
	total = max(total, minWindowRequests)
	shifted := 0.0
	for i := range r.regions {
		count := r.current.byRegion[i]
		if i == next {
			count++
		}
		shifted += max(0, count/total-r.previousShare(i))
	}
	return shifted
}

// count returns the number of regions.
func (r *regionShiftLimiter) numRegions() int { return len(r.regions) }

// note counts a request that runs in the region.
func (r *regionShiftLimiter) record(region model.Region) {
	k := r.regionIndex(region)
	s := &r.buckets[r.latestBucket%int64(len(r.buckets))]
	if s.number != r.latestBucket {
		*s = bucket{number: r.latestBucket}
	}
	for _, c := range []*regionCounts{&s.counts, &r.current} {
		c.total++
		c.byRegion[k]++
	}
}
