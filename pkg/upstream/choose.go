package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Choose returns the serving upstream of the service that has the smallest
// share of its slots in use, or nil if none has a free slot. Upstreams that
// tie take turns.
func (s *State) Choose(at model.Time, service model.ServiceName, drained func(*Upstream) bool) *Upstream {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	var best *Upstream
	bestUsed, bestSlots := 0, 1
	n := len(p.members)
	for k := range n {
		u := p.members[(p.next+k)%n]
		a := &u.Announcement
		if a.State != model.Serving || at < u.GrantFrom || s.slots.Free(a.Upstream, at) <= 0 || drained(u) {
			continue
		}
		used := s.slots.Used(a.Upstream)
		if best == nil || used*bestSlots < bestUsed*a.Slots {
			best, bestUsed, bestSlots = u, used, a.Slots
		}
		if bestUsed == 0 {
			break
		}
	}
	p.next = (p.next + 1) % n
	return best
}
