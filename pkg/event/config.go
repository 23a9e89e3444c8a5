package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// BootstrapOffered carries the configuration from the bootstrap settings. It takes
// effect only after the control group has committed it, because the deployment may
// already have a later configuration.
type BootstrapOffered struct {
	Config model.Config
	// SingleInstance is true if the settings list no other instance. Its key in
	// recordings is "Alone".
	SingleInstance bool `cbor:"Alone"`
}

// ChangeProposed carries an operator's change of the configuration.
type ChangeProposed struct {
	Call   CallID
	Change change.Change
	// DryRun is true if only the result is requested and the change is not applied.
	DryRun bool
}

// StatusRequested asks for the configuration version in force at each instance.
type StatusRequested struct {
	Call CallID
	// Version, if not 0, delays the reply until this configuration version is in
	// force at every instance or Wait has elapsed.
	Version model.Version
	Wait    model.Duration
}

// HistoryRequested asks for the latest configuration changes.
type HistoryRequested struct {
	Call CallID
	// Limit is the maximum number of changes in the reply.
	Limit int
}

// ConfigSaved reports the result of a SaveConfig effect.
type ConfigSaved struct {
	Version model.Version
	// Error is the write or sync error, empty if there is none.
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
// reports the result after the file is synced or the write has failed.
type SaveConfig struct {
	Config model.Config
}

func (ChangeReply) isEffect()  {}
func (StatusReply) isEffect()  {}
func (HistoryReply) isEffect() {}
func (SaveConfig) isEffect()   {}

// CallID returns the call that the effect answers.
func (r ChangeReply) CallID() CallID { return r.Call }

// CallID returns the call that the effect answers.
func (r StatusReply) CallID() CallID { return r.Call }

// CallID returns the call that the effect answers.
func (r HistoryReply) CallID() CallID { return r.Call }
