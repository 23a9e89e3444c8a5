package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// similar is how many times the median a latency may be and still count as the
// median. Without it, small differences would keep upstreams idle whose latency
// is then never observed again.
const medianTolerance = 1.5

// LeastExpected picks the upstream with the smallest expected time: its observed
// latency, times the share of its slots in use by exact count. Latencies near or
// below the service's median count as the median, so that work doesn't crowd on
// the upstream that happened to be fastest. Ties go to the smaller reported load,
// then in turn.
type LeastExpected struct{ turn int }

// Full implements Policy.
func (*LeastExpected) ComparesAll() bool { return false }

// Observes implements Policy.
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

func (u *Upstream) expectedTime() float64 {
	latency := u.health.latency
	if latency < medianTolerance*u.pool.medianLatency {
		latency = u.pool.medianLatency
	}
	return max(latency, 1) * float64(u.Usage.Used()+1) / float64(u.Announcement.Slots)
}
