package event

import "github.com/anvilcrank/anvilcrank/pkg/model"

// OutcomeRequested asks for the outcome that the ledger has recorded for the
// request with an idempotency key.
type OutcomeRequested struct {
	Call CallID
	Key  model.IdempotencyKey
}

func (OutcomeRequested) isBody() {}

// OutcomeReply answers an OutcomeRequested event.
type OutcomeReply struct {
	Call  CallID
	State model.KeyState
	// Status is the HTTP status of the recorded response, 0 if none is stored.
	Status int
}

func (OutcomeReply) isEffect() {}

// CallID returns the call that the effect answers.
func (r OutcomeReply) CallID() CallID { return r.Call }
