package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

type leastReported struct{}

// BindsEarly implements Policy.
func (leastReported) BindsEarly() bool { return true }

// Pick returns the candidate whose last report has the least load. Equal ones
// take turns.
func (leastReported) Pick(_ model.Time, candidates []*Upstream, _ Slots) *Upstream {
	var best *Upstream
	for _, u := range candidates {
		if best == nil || u.Announcement.Load < best.Announcement.Load {
			best = u
		}
	}
	return best
}
