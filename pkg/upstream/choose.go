package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// maxSample bounds the upstreams that are compared for one choice, so that the
// cost of a choice does not grow with their number.
const maxSample = 8

// Query says which upstream is wanted.
type Query struct {
	Service model.ServiceName
	// Distance of the upstream.
	Distance int
	// Region of the upstream, "" for any.
	Region model.Region
	// Avoid is an upstream to be used only if there is no other, "" for none.
	Avoid model.UpstreamID
}

// Policy selects one of several upstreams with a free slot.
type Policy interface {
	// Pick returns the index of the chosen upstream. There is at least one.
	Pick(at model.Time, candidates []*Upstream) int
	// Full reports whether the policy compares all upstreams instead of a sample.
	Full() bool
	// BindsEarly reports whether work is sent at once, suspect upstreams included,
	// and queues at the upstream. No slots are counted then.
	BindsEarly() bool
}

// Choose returns an upstream with a free slot, nil if there is none.
func (s *State) Choose(at model.Time, q Query) *Upstream {
	p := s.pools[q.Service]
	if p == nil {
		return nil
	}
	var sample [maxSample]*Upstream
	candidates := s.sample(at, p, q, sample[:0])
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.Policy.Pick(at, candidates)]
}

// sample collects upstreams with a free slot. An upstream found full leaves the
// ready list, so each is looked at once for every slot it gains.
func (s *State) sample(at model.Time, p *pool, q Query, into []*Upstream) []*Upstream {
	limit := maxSample
	if s.Policy.Full() {
		limit = len(p.ready[q.Distance])
	}
	var spare *Upstream
	start := 0
	if n := len(p.ready[q.Distance]); n > limit {
		start = s.rng.IntN(n)
	}
	for k := 0; k < len(p.ready[q.Distance]) && len(into) < limit; {
		list := p.ready[q.Distance]
		u := list[(start+k)%len(list)]
		switch {
		case u.free(at) <= 0:
			p.unready(u)
			continue
		case q.Region != "" && u.Site.Region != q.Region:
		case u.Announcement.Upstream == q.Avoid || u.health.suspect && !s.Policy.BindsEarly():
			spare = u
		default:
			into = append(into, u)
		}
		k++
	}
	if len(into) == 0 && spare != nil {
		into = append(into, spare)
	}
	return into
}
