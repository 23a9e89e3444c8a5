package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// localLedger refuses every keyed request until pkg/ledger takes its place:
// without replicas nothing can prove that a key has not run elsewhere.
type localLedger struct {
	decisions []request.ClaimDecision
}

// Claim implements request.Ledger.
func (l *localLedger) Claim(_ model.Time, r *event.RequestArrived, _ *event.Effects) {
	l.decisions = append(l.decisions, request.ClaimDecision{Request: r.ID, Code: result.LedgerNoMajority})
}

// Abandon implements request.Ledger.
func (l *localLedger) Abandon(model.Time, model.RequestID, *event.Effects) {}

// Record implements request.Ledger.
func (l *localLedger) Record(model.Time, model.RequestID, *model.Answer, *event.Effects) {}

// take returns and clears the decisions made since the last call.
func (l *localLedger) take() []request.ClaimDecision {
	d := l.decisions
	l.decisions = nil
	return d
}
