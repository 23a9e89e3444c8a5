package balance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// shiftWindow is the length of each of two successive windows. To find out how
	// fast requests move between regions, their distributions over regions in the
	// two windows are compared.
	shiftWindow = 2 * time.Second
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 20
	// The shifted share is the share of an instance's requests that are sent to
	// another region than in the previous window. maxShiftedShare is its largest
	// value at which a busy upstream may be avoided by sending a request to
	// another region. maxStableShift is its largest value at which objects may be
	// reassigned between regions. The platform permits 0.15 over all instances of
	// a region; these limits are lower to allow for variation between instances.
	maxShiftedShare = 0.05
	maxStableShift  = 0.06
	// longTermWeight is the weight of the long-term shares, in requests, when they
	// are averaged with the requests of the previous window, which may be few.
	longTermWeight = 10
	// longTermUpdateWeight is the weight of the previous window in an update of
	// the long-term shares. They are updated once per bucket.
	longTermUpdateWeight = 0.03
	// minWindowRequests is the number of requests below which a window is too
	// short for its shares to be meaningful. Shares of a current window with fewer
	// requests are computed as if it contained this number. A previous window with
	// fewer requests does not update the long-term shares.
	minWindowRequests = 10
)

// regionShiftLimiter limits how fast the requests of this instance move between
// regions, so that the capacity and the caches of the receiving region can
// follow.
type regionShiftLimiter struct {
	regions []model.Region
	// buckets count the requests of short intervals by region; latestBucket is the
	// number of the newest. current and previous are the sums over the buckets of
	// the two windows.
	buckets           [2 * windowBuckets]bucket
	latestBucket      int64
	current, previous regionCounts
	// home is the region of this instance.
	home model.Region
	// longTermShares is the moving average of each region's share of the requests,
	// by index in regions.
	longTermShares [maxRegions]float64
}

// newRegionShiftLimiter returns the limiter of an instance in the home region.
// regions holds the region of each zone.
func newRegionShiftLimiter(home model.Region, regions map[model.Zone]model.Region) *regionShiftLimiter {
	r := &regionShiftLimiter{home: home}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		r.regionIndex(regions[zone])
	}
	r.setInitialShares(map[model.Region]int{home: 1})
	return r
}

// setInitialShares derives the long-term shares from the number of slots in
// each region, in the same way as objects are assigned at the start. It has no
// effect after the first request.
func (r *regionShiftLimiter) setInitialShares(slots map[model.Region]int) {
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
			r.longTermShares[k] = share
		case slots[region] == 0:
			r.longTermShares[k] = 0
		default:
			r.longTermShares[k] = (1 - share) * float64(slots[region]) / float64(total-slots[r.home])
		}
	}
}

// bucket counts the requests of one interval. number is the number of the
// interval since time 0.
type bucket struct {
	number int64
	counts regionCounts
}

// regionCounts counts requests by region, in the order of
// regionShiftLimiter.regions.
type regionCounts struct {
	total    float64
	byRegion [maxRegions]float64
}

// maxRegions is the largest number of regions counted separately.
const maxRegions = 16

// add adds the counts of o multiplied by sign.
func (c *regionCounts) add(o *regionCounts, sign float64) {
	c.total += sign * o.total
	for i := range c.byRegion {
		c.byRegion[i] += sign * o.byRegion[i]
	}
}

// regionIndex returns the index of a region and adds the region if it is new.
// Regions beyond maxRegions share the last index.
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

// advance moves the current and the previous window forward to the given time
// and updates the long-term shares.
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
			r.longTermShares[k] += longTermUpdateWeight * (r.previous.byRegion[k]/r.previous.total - r.longTermShares[k])
		}
	}
}

// previousShare returns the share of the k-th region in the previous window,
// smoothed by its long-term share.
func (r *regionShiftLimiter) previousShare(k int) float64 {
	return (r.previous.byRegion[k] + longTermWeight*r.longTermShares[k]) / (r.previous.total + longTermWeight)
}

// allows reports whether one more request may be sent to the region. It may if
// the region's share of the requests stays within its share in the previous
// window, or if the shifted share stays within maxShiftedShare.
func (r *regionShiftLimiter) allows(region model.Region) bool {
	k := r.regionIndex(region)
	if (r.current.byRegion[k]+1)/max(r.current.total+1, minWindowRequests) <= r.previousShare(k) {
		return true
	}
	return r.shiftedShare(k) <= maxShiftedShare
}

// isStable reports whether the shifted share is low enough for objects to be
// reassigned between regions. The limit is higher for few requests, since their
// distribution varies by chance.
func (r *regionShiftLimiter) isStable() bool {
	return r.shiftedShare(noRegion) <= maxStableShift+0.5/math.Sqrt(max(r.current.total, minWindowRequests))
}

// noRegion is passed to shiftedShare to include no further request.
const noRegion = -1

// shiftedShare returns the share of requests in the current window that are
// sent to other regions than in the previous window. It includes one more
// request to the region with the index next, unless next is noRegion.
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

// numRegions returns the number of regions.
func (r *regionShiftLimiter) numRegions() int { return len(r.regions) }

// record counts a request that is sent to the region.
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
