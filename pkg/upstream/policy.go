package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Policy selects one of several upstreams with a free slot.
type Policy interface {
	// Pick returns the index of the chosen upstream. There is at least one.
	Pick(at model.Time, candidates []*Upstream) int
	// Full reports whether the policy compares all upstreams instead of a sample.
	ComparesAll() bool
	// Observes reports whether suspicion and slow start apply.
	UsesHealth() bool
}

// Names of policies.
const (
	PolicyLeastExpected = "least-expected"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastLoad     = "least-load"
)

// NewPolicy returns the policy with the name. Any other name stands for
// PolicyLeastExpected.
func NewPolicy(name string) Policy {
	switch name {
	case PolicyRoundRobin:
		return &RoundRobin{last: map[model.ServiceName]model.UpstreamID{}}
	case PolicyLeastLoad:
		return &LeastLoad{}
	}
	return &LeastExpected{}
}
