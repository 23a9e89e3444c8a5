package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// BootstrapOffered brings the configuration of the bootstrap settings. It comes
// into force only once the control group has committed it, since the deployment
// may have a later one.
type BootstrapOffered struct {
	Config model.Config
	// Alone is true if the settings name no other instance.
	SingleInstance bool `cbor:"Alone"`
}

// ChangeProposed brings an operator's change.
type ChangeProposed struct {
	Call   CallID
	Change change.Change
	// DryRun asks for the result without the change.
	DryRun bool
}

// StatusRequested asks which version is in force where.
type StatusRequested struct {
	Call CallID
	// Version, if not 0, delays the answer until it is in force everywhere, or
	// for Wait.
	Version model.Version
	Wait    model.Duration
}

// HistoryRequested asks for the latest changes.
type HistoryRequested struct {
	Call  CallID
	Limit int
}

// ConfigSaved answers a SaveConfig effect.
type ConfigSaved struct {
	Version model.Version
	// Error is what went wrong, empty if the file is synced.
	Error string
}

func (BootstrapOffered) isBody() {}
func (ChangeProposed) isBody()   {}
func (StatusRequested) isBody()  {}
func (HistoryRequested) isBody() {}
func (ConfigSaved) isBody()      {}

// ChangeReply answers a ChangeProposed event.
type ChangeReply struct {
	Call   CallID
	Result change.Result
}

// StatusReply answers a StatusRequested event.
type StatusReply struct {
	Call   CallID
	Result change.Result
	Status message.Status
}

// HistoryReply answers a HistoryRequested event.
type HistoryReply struct {
	Call    CallID
	Result  change.Result
	Entries []change.Entry
}

// SaveConfig writes a configuration to the data folder. A ConfigSaved event
// answers it once the file is synced.
type SaveConfig struct {
	Config model.Config
}

func (ChangeReply) isEffect()  {}
func (StatusReply) isEffect()  {}
func (HistoryReply) isEffect() {}
func (SaveConfig) isEffect()   {}

// Answers returns the call that the effect answers.
func (r ChangeReply) CallID() CallID { return r.Call }

// Answers returns the call that the effect answers.
func (r StatusReply) CallID() CallID { return r.Call }

// Answers returns the call that the effect answers.
func (r HistoryReply) CallID() CallID { return r.Call }
