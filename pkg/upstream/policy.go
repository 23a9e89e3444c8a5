package upstream

// PolicyName names a selection policy.
type PolicyName string

// Names of the policies.
const (
	// PolicyLeastExpected is the default.
	PolicyLeastExpected PolicyName = "anvilcrank"
	// PolicyRoundRobin is a baseline for benchmarks.
	PolicyRoundRobin PolicyName = "round-robin"
	// PolicyLeastReported is a baseline for benchmarks.
	PolicyLeastReported PolicyName = "least-reported"
)

// Policies lists the names of all policies.
var Policies = []PolicyName{PolicyLeastExpected, PolicyRoundRobin, PolicyLeastReported}

// NewPolicy returns the policy with the name; other names give the default.
func NewPolicy(name PolicyName) Policy {
	switch name {
	case PolicyRoundRobin:
		return &RoundRobin{}
	case PolicyLeastReported:
		return &LeastReported{}
	}
	return &LeastExpected{}
}
