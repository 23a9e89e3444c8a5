package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// maxSampleSize limits the number of upstreams that are compared for one
// choice, so that the cost of a choice does not grow with the number of upstreams.
const maxSampleSize = 8

// Query describes the upstreams that Choose may return.
type Query struct {
	Service model.ServiceName
	// Distance is the Placement.Distance of the upstream.
	Distance int
	// Zone and Region limit the choice to upstreams of that zone and region, ""
	// for no limit.
	Zone   model.Zone
	Region model.Region
	// Avoid is an upstream to be used only if there is no other, "" for none.
	Avoid model.UpstreamID
	// AllowFallback accepts a suspect or avoided upstream if there is no other.
	AllowFallback bool
}

// Choose returns an owned upstream that matches the query and has a free slot, nil
// if there is none.
func (s *State) Choose(at model.Time, q Query) *Upstream {
	p := s.pools[q.Service]
	if p == nil || len(p.ready[q.Distance]) == 0 {
		return nil
	}
	candidates := s.sample(at, p, q)
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.Policy.Pick(at, candidates)]
}

// sample returns the candidates for a choice: upstreams that match the query and
// have a free slot. If a suspect upstream is due for a probe, it is the only
// candidate.
//
// Upstreams without a free slot are removed from the ready list. Such an upstream
// is examined again only after one of its slots may have become free.
func (s *State) sample(at model.Time, p *pool, q Query) []*Upstream {
	candidates := s.candidates[:0]
	limit := maxSampleSize
	if s.Policy.ComparesAll() {
		limit = len(p.ready[q.Distance])
	}
	start := 0
	if n := len(p.ready[q.Distance]); n > limit {
		start = s.rng.IntN(n)
	}
	usesHealth := s.Policy.UsesHealth()
	var fallback *Upstream
	for k := 0; k < len(p.ready[q.Distance]) && len(candidates) < limit; {
		list := p.ready[q.Distance]
		u := list[(start+k)%len(list)]
		if u.free(at) <= 0 {
			p.removeReady(u)
			continue
		}
		k++
		switch {
		case q.Region != "" && u.Placement.Region != q.Region, q.Zone != "" && u.Announcement.Zone != q.Zone:
		case u.Announcement.Upstream == q.Avoid:
			fallback = u
		case usesHealth && u.mayProbe(at):
			u.health.probeAt = at.Add(probeInterval)
			return append(candidates[:0], u)
		case usesHealth && u.health.suspect:
			fallback = u
		default:
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 && fallback != nil && q.AllowFallback {
		candidates = append(candidates, fallback)
	}
	s.candidates = candidates
	return candidates
}
