package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// DisabledRules selects safety rules to switch off. Only tests set it, to verify
// that their checks detect a violation of each rule.
type DisabledRules struct {
	Permits   permit.DisabledRules
	Requests  request.DisabledRules
	Upstreams upstream.DisabledRules
}

// DisableRules switches off the selected safety rules. All others apply.
func (s *State) DisableRules(f DisabledRules) {
	s.permits.DisabledRules = f.Permits
	s.requests.DisabledRules = f.Requests
	s.upstreams.DisabledRules = f.Upstreams
}
