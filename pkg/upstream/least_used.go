package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

type leastUsed struct{}

// BindsEarly implements Policy.
func (leastUsed) BindsEarly() bool { return false }

// Pick returns the upstream that has the smallest share of its slots in use
// among those with a free slot. Upstreams that tie take turns.
func (leastUsed) Pick(at model.Time, candidates []*Upstream, slots Slots) *Upstream {
	var best *Upstream
	bestUsed, bestSlots := 0, 1
	for _, u := range candidates {
		a := &u.Announcement
		if slots.Free(a.Upstream, at) <= 0 {
			continue
		}
		used := slots.Used(a.Upstream)
		if best == nil || used*bestSlots < bestUsed*a.Slots {
			best, bestUsed, bestSlots = u, used, a.Slots
		}
		if bestUsed == 0 {
			break
		}
	}
	return best
}
