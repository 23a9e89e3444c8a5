package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// medianTolerance is the multiple of the median up to which a latency counts as
// the median. Without it, upstreams with a slightly higher latency would remain
// idle and their latency would never be observed again.
const medianTolerance = 1.5

// LeastExpected picks the upstream with the smallest expected time: its
// observed latency multiplied by the fraction of its slots in use. Latencies
// near or below the median of the service count as the median, so that requests
// do not concentrate on the upstream that happened to be fastest. Ties go to
// the upstream with the smaller reported load, then in turn.
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

// expectedTime returns the score that LeastExpected minimizes.
func (u *Upstream) expectedTime() float64 {
	latency := u.health.latency
	if latency < medianTolerance*u.pool.medianLatency {
		latency = u.pool.medianLatency
	}
	return max(latency, 1) * float64(u.Usage.Used()+1) / float64(u.Announcement.Slots)
}
