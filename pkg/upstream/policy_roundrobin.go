package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// RoundRobin takes the upstreams of a service in turn, whatever their load.
type RoundRobin struct{ turns map[model.ServiceName]int }

// Full implements Policy.
func (*RoundRobin) Full() bool { return true }

// BindsEarly implements Policy.
func (*RoundRobin) BindsEarly() bool { return true }

// Pick implements Policy.
func (r *RoundRobin) Pick(_ model.Time, candidates []*Upstream) int {
	if r.turns == nil {
		r.turns = map[model.ServiceName]int{}
	}
	service := candidates[0].Announcement.Service
	r.turns[service]++
	return r.turns[service] % len(candidates)
}
