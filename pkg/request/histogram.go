package request

import (
	"math/bits"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// timeUnit is the resolution of observed times.
	resolution = 16 * time.Microsecond
	// bucketsPerOctave makes buckets 19% wide.
	bucketsPerOctave = 4
	numBuckets       = 32 * bucketsPerOctave
	// halveAfter is the number of samples after which old ones lose half of their
	// weight, so that the quantiles follow changes.
	halvingSamples = 1024
	// minSamples is how many samples a quantile needs.
	minSamples = 20
	// refreshEvery is how many samples pass between computations of quantiles.
	refreshInterval = 16
)

// times is a histogram of observed times that forgets.
type histogram struct {
	buckets      [numBuckets]uint32
	count        uint32
	sinceRefresh uint32
	// Cached quantiles; 0 while there are too few samples.
	median, p95, p99 model.Duration
}

// add counts an observed time.
func (t *histogram) add(d model.Duration) {
	t.buckets[bucketOf(d)]++
	t.count++
	t.sinceRefresh++
	if t.count >= 2*halvingSamples {
		t.halve()
	}
	if t.sinceRefresh >= refreshInterval {
		t.refresh()
	}
}

func bucketOf(d model.Duration) int {
	n := uint64(max(0, d) / resolution)
	if n < bucketsPerOctave {
		return int(n)
	}
	octave := bits.Len64(n) - 3
	return min(numBuckets-1, (octave+1)*bucketsPerOctave+int(n>>octave)-bucketsPerOctave)
}

// upperEdge returns the end of a bucket.
func upperEdge(bucket int) model.Duration {
	if bucket < bucketsPerOctave {
		return model.Duration(bucket+1) * resolution
	}
	octave := bucket/bucketsPerOctave - 1
	mantissa := bucket%bucketsPerOctave + bucketsPerOctave
	return model.Duration((mantissa+1)<<octave) * resolution
}

func (t *histogram) halve() {
	t.count = 0
	for i := range t.buckets {
		t.buckets[i] /= 2
		t.count += t.buckets[i]
	}
}

func (t *histogram) refresh() {
	t.sinceRefresh = 0
	if t.count < minSamples {
		return
	}
	seen := uint32(0)
	t.median, t.p95, t.p99 = 0, 0, 0
	for i, n := range t.buckets {
		seen += n
		if t.median == 0 && seen*2 >= t.count {
			t.median = upperEdge(i)
		}
		if t.p95 == 0 && seen*20 >= t.count*19 {
			t.p95 = upperEdge(i)
		}
		if seen*100 >= t.count*99 {
			t.p99 = upperEdge(i)
			return
		}
	}
}
