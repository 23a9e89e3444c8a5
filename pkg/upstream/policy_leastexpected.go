package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// medianTolerance multiplies the median latency of the service's upstreams. A
// latency below the product counts as equal to the median. Otherwise an upstream
// with a slightly higher latency would receive no requests, and its latency would
// never be measured again.
const medianTolerance = 1.5

// LeastExpected picks the upstream with the smallest expected time for the new
// request: the upstream's observed latency multiplied by the fraction of its slots
// in use, including the slot for the new request. Latencies near or below the
// median of the service count as the median, so that requests do not concentrate on
// the upstream that happened to be fastest.
//
// Among upstreams with equal expected time, it picks the one with the smallest
// reported load. Upstreams that are still equal are picked in turn; turn counts the
// picks.
type LeastExpected struct{ turn int }

// ComparesAll implements Policy.
func (*LeastExpected) ComparesAll() bool { return false }

// UsesHealth implements Policy.
func (*LeastExpected) UsesHealth() bool { return true }

// Pick implements Policy.
func (l *LeastExpected) Pick(at model.Time, candidates []*Upstream) int {
	l.turn++
	n := len(candidates)
	best := l.turn % n
	bestScore := candidates[best].expectedTime()
	for k := 1; k < n; k++ {
		i := (l.turn + k) % n
		score := candidates[i].expectedTime()
		if score < bestScore || score == bestScore && candidates[i].reportedLoad(at) < candidates[best].reportedLoad(at) {
			best, bestScore = i, score
		}
	}
	return best
}

// expectedTime returns the score that LeastExpected minimizes, in nanoseconds.
func (u *Upstream) expectedTime() float64 {
	latency := u.health.latency
	if latency < medianTolerance*u.pool.medianLatency {
		latency = u.pool.medianLatency
	}
	return max(latency, 1) * float64(u.Usage.Used()+1) / float64(u.Announcement.Slots)
}
