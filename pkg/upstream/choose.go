package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// PolicyName names a selection policy.
type PolicyName string

// Names of the policies.
const (
	// LeastUsed takes the upstream with the smallest share of its slots in use
	// and lets work wait until a slot is free. It is the default.
	LeastUsed PolicyName = "anvilcrank"
	// RoundRobin takes upstreams in turn, whatever their load. It is a baseline.
	RoundRobin PolicyName = "round-robin"
	// LeastReported takes the upstream that reported the least load. It is a
	// baseline.
	LeastReported PolicyName = "least-reported"
)

// Policy selects among upstreams that may take new work.
type Policy interface {
	// Pick returns one of the candidates, which are in identifier order beginning
	// after the last turn's, or nil if none should take work now.
	Pick(at model.Time, candidates []*Upstream, slots Slots) *Upstream
	// BindsEarly reports whether work is sent at once and queues at the upstream.
	// Slots are not counted then.
	BindsEarly() bool
}

// NewPolicy returns the policy with the name; unknown names give the default.
func NewPolicy(name PolicyName) Policy {
	switch name {
	case RoundRobin:
		return roundRobin{}
	case LeastReported:
		return leastReported{}
	}
	return leastUsed{}
}

// BindsEarly reports whether the policy in use sends work at once.
func (s *State) BindsEarly() bool { return s.policy.BindsEarly() }

// Choose returns the serving upstream of the service that the policy picks, or
// nil if none should take work now.
func (s *State) Choose(at model.Time, service model.ServiceName, drained func(*Upstream) bool) *Upstream {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	n := len(p.members)
	p.candidates = p.candidates[:0]
	for k := range n {
		u := p.members[(p.next+k)%n]
		if u.Announcement.State != model.Serving || at < u.GrantFrom || drained(u) {
			continue
		}
		p.candidates = append(p.candidates, u)
	}
	p.next = (p.next + 1) % n
	return s.policy.Pick(at, p.candidates, s.slots)
}
