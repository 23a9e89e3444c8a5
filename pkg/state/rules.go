package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// DisabledRules selects safety rules to switch off. Only tests set it, to verify
// that their checks detect a violation of each rule.
type DisabledRules struct {
	Permits   permit.Faults
	Requests  request.Faults
	Upstreams upstream.Faults
}

// DisableRules switches off the selected rules.
func (s *State) DisableRules(f DisabledRules) {
	s.permits.Faults = f.Permits
	s.requests.Faults = f.Requests
	s.upstreams.Faults = f.Upstreams
}
