package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// maxSampleSize limits how many upstreams are compared for one choice, so that the
// cost of a choice does not grow with the number of upstreams of the service.
const maxSampleSize = 8

// Query describes which upstreams Choose may return.
type Query struct {
	Service model.ServiceName
	// Distance is the required Placement.Distance of the upstream.
	Distance int
	// Zone and Region limit the choice to upstreams in that zone and region. The
	// value "" sets no limit.
	Zone   model.Zone
	Region model.Region
	// Avoid is an upstream that is chosen only if no other matches and
	// AllowFallback is true. The value "" stands for none.
	Avoid model.UpstreamID
	// AllowFallback allows the choice of the upstream Avoid, or of one suspected to
	// be faulty, if no other matches.
	AllowFallback bool
}

// Choose returns an owned upstream that matches the query and has a free slot. It
// returns nil if there is none. A request must be sent to the upstream, since it
// counts against the upstream's request limit.
func (s *State) Choose(at model.Time, q Query) *Upstream {
	p := s.pools[q.Service]
	if p == nil || len(p.ready[q.Distance]) == 0 {
		return nil
	}
	candidates := s.sample(at, p, q)
	if len(candidates) == 0 {
		return nil
	}
	u := candidates[s.Policy.Pick(at, candidates)]
	u.health.requestSent()
	return u
}

// sample returns the candidates for a choice: upstreams that match the query and
// have a free slot. If a suspect upstream is due for a probe, it is the only
// candidate.
//
// Upstreams without a free slot are removed from the pool's ready list. They are
// added to it again once one of their slots may have become free.
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
