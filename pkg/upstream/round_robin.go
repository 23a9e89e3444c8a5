package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

type roundRobin struct{}

// BindsEarly implements Policy.
func (roundRobin) BindsEarly() bool { return true }

// Pick returns the candidate whose turn it is.
func (roundRobin) Pick(_ model.Time, candidates []*Upstream, _ Slots) *Upstream {
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}
