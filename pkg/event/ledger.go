package event

import "github.com/anvilcrank/anvilcrank/pkg/model"

// OutcomeRequested asks what is known of an idempotency key.
type OutcomeRequested struct {
	Call CallID
	Key  model.Key
}

func (OutcomeRequested) isBody() {}

// OutcomeReply answers an OutcomeRequested event.
type OutcomeReply struct {
	Call  CallID
	State model.KeyState
	// Status is the HTTP status of the recorded answer, 0 if none is kept.
	Status int
}

func (OutcomeReply) isEffect() {}

// Answers returns the call that the effect answers.
func (r OutcomeReply) CallID() CallID { return r.Call }
