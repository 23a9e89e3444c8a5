package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/request"
)

// applyClaimDecisions passes the ledger's decisions of this step to the requests. A
// request that then cannot be executed abandons its claim, which may lead to
// further decisions.
func (s *State) applyClaimDecisions(at model.Time) {
	for decisions := s.ledger.TakeDecisions(); len(decisions) > 0; decisions = s.ledger.TakeDecisions() {
		for _, d := range decisions {
			s.requests.ClaimDecided(at, request.ClaimDecision{Request: d.Request, Code: d.Code, Answer: d.Answer}, &s.out)
		}
	}
}
