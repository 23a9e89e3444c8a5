package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/request"
)

// applyClaimDecisions passes the ledger's decisions on claims of idempotency keys to
// the requests with these keys. A request whose claim is granted may still be
// refused, for example because its queue is full. It then abandons the claim, and
// the ledger may decide further claims, which the loop handles too.
func (s *State) applyClaimDecisions(at model.Time) {
	for decisions := s.ledger.TakeDecisions(); len(decisions) > 0; decisions = s.ledger.TakeDecisions() {
		for _, d := range decisions {
			s.requests.ClaimDecided(at, request.ClaimDecision{Request: d.Request, Code: d.Code, Answer: d.Answer}, &s.out)
		}
	}
}
