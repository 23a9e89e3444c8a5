package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// LeastReported takes the upstream whose last report has the least load.
// Upstreams that tie take turns.
type LeastReported struct{ turn int }

// Full implements Policy.
func (*LeastReported) Full() bool { return true }

// BindsEarly implements Policy.
func (*LeastReported) BindsEarly() bool { return true }

// Pick implements Policy.
func (l *LeastReported) Pick(_ model.Time, candidates []*Upstream) int {
	l.turn++
	n := len(candidates)
	best := l.turn % n
	for k := 1; k < n; k++ {
		i := (l.turn + k) % n
		if candidates[i].Announcement.Load < candidates[best].Announcement.Load {
			best = i
		}
	}
	return best
}
