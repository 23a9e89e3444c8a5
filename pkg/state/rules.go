package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// Faults switch off rules. Only tests set them, to show that their checks notice
// a broken rule.
type DisabledRules struct {
	Permits   permit.Faults
	Requests  request.Faults
	Upstreams upstream.Faults
}

// Break switches off rules.
func (s *State) DisableRules(f DisabledRules) {
	s.permits.Faults = f.Permits
	s.requests.Faults = f.Requests
	s.upstreams.Faults = f.Upstreams
}
