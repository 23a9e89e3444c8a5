package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// RoundRobin picks the upstreams with a free slot in turn, ordered by identifier.
// Benchmarks compare the other policies with it.
type RoundRobin struct {
	// last holds, for each service, the upstream that was picked last.
	last map[model.ServiceName]model.UpstreamID
}

// ComparesAll implements Policy.
func (*RoundRobin) ComparesAll() bool { return true }

// UsesHealth implements Policy.
func (*RoundRobin) UsesHealth() bool { return false }

// Pick implements Policy.
func (r *RoundRobin) Pick(_ model.Time, candidates []*Upstream) int {
	service := candidates[0].Announcement.Service
	last := r.last[service]
	next, first := -1, 0
	for i, u := range candidates {
		id := u.Announcement.Upstream
		if id < candidates[first].Announcement.Upstream {
			first = i
		}
		if id > last && (next < 0 || id < candidates[next].Announcement.Upstream) {
			next = i
		}
	}
	if next < 0 {
		next = first
	}
	r.last[service] = candidates[next].Announcement.Upstream
	return next
}
