package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// LeastExpected picks the upstream with the smallest share of its slots in use,
// by this instance's own exact counts. Upstreams that tie take turns.
type LeastExpected struct{ turn int }

// Full implements Policy.
func (*LeastExpected) Full() bool { return false }

// BindsEarly implements Policy.
func (*LeastExpected) BindsEarly() bool { return false }

// Pick implements Policy.
func (l *LeastExpected) Pick(_ model.Time, candidates []*Upstream) int {
	l.turn++
	n := len(candidates)
	best := l.turn % n
	for k := 1; k < n; k++ {
		i := (l.turn + k) % n
		a, b := candidates[i], candidates[best]
		if a.Meter.Used()*b.Announcement.Slots < b.Meter.Used()*a.Announcement.Slots {
			best = i
		}
	}
	return best
}
