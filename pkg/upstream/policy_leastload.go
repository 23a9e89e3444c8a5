package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// LeastLoad picks the upstream that reported the least load. Upstreams with equal
// load are picked in turn; turn counts the picks. Benchmarks compare the other
// policies with it.
type LeastLoad struct{ turn int }

// ComparesAll implements Policy.
func (*LeastLoad) ComparesAll() bool { return true }

// UsesHealth implements Policy.
func (*LeastLoad) UsesHealth() bool { return false }

// Pick implements Policy.
func (l *LeastLoad) Pick(at model.Time, candidates []*Upstream) int {
	l.turn++
	n := len(candidates)
	best := l.turn % n
	for k := 1; k < n; k++ {
		i := (l.turn + k) % n
		if candidates[i].reportedLoad(at) < candidates[best].reportedLoad(at) {
			best = i
		}
	}
	return best
}
