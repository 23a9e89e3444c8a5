package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Policy chooses one of several upstreams with a free slot. An implementation may
// keep state between calls.
type Policy interface {
	// Pick returns the index of the chosen upstream in candidates, which is not
	// empty.
	Pick(at model.Time, candidates []*Upstream) int
	// ComparesAll reports whether Pick must be given all suitable upstreams. If
	// not, Pick is given a sample of at most maxSampleSize upstreams.
	ComparesAll() bool
	// UsesHealth reports whether outlier detection and slow start apply to the
	// upstreams.
	UsesHealth() bool
}

// Names of the policies, as accepted by NewPolicy.
const (
	PolicyLeastExpected = "least-expected"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastLoad     = "least-load"
)

// NewPolicy returns the policy with the name. For an unknown name it returns
// LeastExpected.
func NewPolicy(name string) Policy {
	switch name {
	case PolicyRoundRobin:
		return &RoundRobin{last: map[model.ServiceName]model.UpstreamID{}}
	case PolicyLeastLoad:
		return &LeastLoad{}
	}
	return &LeastExpected{}
}
