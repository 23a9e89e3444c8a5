package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// HeartbeatReceived brings an upstream's announcement to the control role.
type HeartbeatReceived struct {
	Call         CallID
	Registration model.Registration
}

// DepartureReceived says that an upstream deregistered.
type DepartureReceived struct {
	Call     CallID
	Upstream model.UpstreamID
	// Born is the start that departs, 0 for the present one.
	Born int64
}

// ItemsProposed brings an operator's change of configuration items.
type ItemsProposed struct {
	Call  CallID
	Items []model.Item
}

// EvacuationProposed brings an operator's order to evacuate a zone or to take it
// back.
type EvacuationProposed struct {
	Call   CallID
	Zone   model.Zone
	Active bool
}

// ItemsRequested asks for all items that stand.
type ItemsRequested struct {
	Call CallID
}

func (HeartbeatReceived) isBody()  {}
func (DepartureReceived) isBody()  {}
func (ItemsProposed) isBody()      {}
func (EvacuationProposed) isBody() {}
func (ItemsRequested) isBody()     {}

// CallReply answers a call with a code. Detail says what is wrong with the
// input, if anything is.
type CallReply struct {
	Call   CallID
	Code   result.Code
	Detail string
}

// ItemsReply answers an ItemsRequested event.
type ItemsReply struct {
	Call  CallID
	Items []model.Item
}

// PublishDirectory makes a directory view visible to the traffic goroutines.
type PublishDirectory struct {
	View *directory.View
}

func (CallReply) isEffect()        {}
func (ItemsReply) isEffect()       {}
func (PublishDirectory) isEffect() {}

// Answers returns the call that the effect answers.
func (r CallReply) CallID() CallID { return r.Call }

// Answers returns the call that the effect answers.
func (r ItemsReply) CallID() CallID { return r.Call }
