package request

import (
	"math/bits"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// firstBucketWidth is the width of each of the first bucketsPerOctave
	// buckets. Buckets of longer durations are wider.
	firstBucketWidth = 16 * time.Microsecond
	// bucketsPerOctave is the number of buckets between a duration and twice that
	// duration. With 4, the upper bound of a bucket is on average about 19% above
	// its lower bound.
	bucketsPerOctave = 4
	numBuckets       = 32 * bucketsPerOctave
	// samplesAfterHalving is the approximate number of samples counted after a
	// halving. The counts of all buckets are halved when they sum up to twice this
	// number. Halving reduces the weight of old samples, so that the quantiles
	// follow changes.
	samplesAfterHalving = 1024
	// minSamples is the number of samples below which no quantiles are computed,
	// since they would be unreliable.
	minSamples = 20
	// refreshInterval is the number of samples added between two computations of
	// the quantiles. Each computation reads all buckets.
	refreshInterval = 16
)

// histogram is a histogram of durations in which old samples lose weight.
type histogram struct {
	buckets [numBuckets]uint32
	// count is the sum of the counts of all buckets.
	count uint32
	// sinceRefresh is the number of samples added since the quantiles were last
	// computed.
	sinceRefresh uint32
	// median, p95 and p99 are cached quantiles, 0 while there are too few
	// samples.
	median, p95, p99 model.Duration
}

// add records a duration.
func (h *histogram) add(d model.Duration) {
	h.buckets[bucketOf(d)]++
	h.count++
	h.sinceRefresh++
	if h.count >= 2*samplesAfterHalving {
		h.halve()
	}
	if h.sinceRefresh >= refreshInterval {
		h.refresh()
	}
}

// bucketOf returns the index of the bucket that counts a duration.
func bucketOf(d model.Duration) int {
	n := uint64(max(0, d) / firstBucketWidth)
	if n < bucketsPerOctave {
		return int(n)
	}
	octave := bits.Len64(n) - 3
	return min(numBuckets-1, (octave+1)*bucketsPerOctave+int(n>>octave)-bucketsPerOctave)
}

// upperEdge returns the upper bound of the durations in a bucket.
func upperEdge(bucket int) model.Duration {
	if bucket < bucketsPerOctave {
		return model.Duration(bucket+1) * firstBucketWidth
	}
	octave := bucket/bucketsPerOctave - 1
	mantissa := bucket%bucketsPerOctave + bucketsPerOctave
	return model.Duration((mantissa+1)<<octave) * firstBucketWidth
}

// halve halves the count of every bucket.
func (h *histogram) halve() {
	h.count = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.count += h.buckets[i]
	}
}

// refresh recomputes the cached quantiles.
func (h *histogram) refresh() {
	h.sinceRefresh = 0
	if h.count < minSamples {
		return
	}
	seen := uint32(0)
	h.median, h.p95, h.p99 = 0, 0, 0
	for i, n := range h.buckets {
		seen += n
		if h.median == 0 && seen*2 >= h.count {
			h.median = upperEdge(i)
		}
		if h.p95 == 0 && seen*20 >= h.count*19 {
			h.p95 = upperEdge(i)
		}
		if seen*100 >= h.count*99 {
			h.p99 = upperEdge(i)
			return
		}
	}
}
