package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// HeartbeatReceived carries an upstream's heartbeat to the control role.
type HeartbeatReceived struct {
	Call         CallID
	Registration model.Registration
}

// DepartureReceived reports that an upstream deregistered.
type DepartureReceived struct {
	Call     CallID
	Upstream model.UpstreamID
	// StartTimeMs is the start time, in Unix milliseconds, of the upstream's process
	// that deregisters. 0 means the process that registered last. The key in
	// recordings is "Born".
	StartTimeMs int64 `cbor:"Born"`
}

// Receipt is what is known about the receipt of an operator's call. A network can deliver a
// call long after its caller has left.
type Receipt struct {
	// At is when the call was received, 0 if that is not known.
	At model.Time
	// ConfirmedAt is the log position that was applied when the caller was asked to send
	// the call again, 0 if this is not such a call. The caller has not left before.
	ConfirmedAt uint64
}

// ItemsProposed carries an operator's change of configuration items.
type ItemsProposed struct {
	Call    CallID
	Items   []model.Item
	Receipt Receipt
}

// EvacuationProposed carries an operator's order to start or end the evacuation of
// a zone.
type EvacuationProposed struct {
	Call CallID
	Zone model.Zone
	// Active is true to start the evacuation and false to end it.
	Active  bool
	Receipt Receipt
}

// CallCanceled reports that the caller of a call no longer waits for the reply.
type CallCanceled struct {
	Call CallID
}

// ItemsRequested asks for all configuration items in force.
type ItemsRequested struct {
	Call CallID
}

// RegistrationsLoaded reports the registrations that a control instance saved before
// its process started.
type RegistrationsLoaded struct {
	Registrations []model.Registration
}

// RegistrationsPersisted reports the result of the PersistRegistrations effects up to
// the sequence number Seq that had no result yet. If Failure is not empty, they may not
// be in the data folder.
type RegistrationsPersisted struct {
	Seq     uint64
	Failure string
}

func (HeartbeatReceived) isBody()      {}
func (DepartureReceived) isBody()      {}
func (ItemsProposed) isBody()          {}
func (EvacuationProposed) isBody()     {}
func (CallCanceled) isBody()           {}
func (ItemsRequested) isBody()         {}
func (RegistrationsLoaded) isBody()    {}
func (RegistrationsPersisted) isBody() {}

// CallReply answers a call with a result code. If the input of the call is invalid,
// Detail describes the error.
type CallReply struct {
	Call   CallID
	Code   result.Code
	Detail string
	// ConfirmedAt is set with result.ConfirmationNeeded: the value for the Receipt of the
	// call if the caller sends it again.
	ConfirmedAt uint64
}

// ItemsReply answers an ItemsRequested event.
type ItemsReply struct {
	Call  CallID
	Items []model.Item
}

// PublishDirectory makes a view of the directory, from which lookups are answered,
// available to the traffic goroutines.
type PublishDirectory struct {
	View *directory.View
}

// SaveRegistrations saves all registrations of upstreams in the data folder. No
// acknowledgement depends on whether that succeeds.
type SaveRegistrations struct {
	Registrations []model.Registration
}

// PersistRegistrations adds registrations to those in the data folder. The event
// RegistrationsPersisted reports when they are synced. Until then nothing may be sent
// that says that this instance stores them.
type PersistRegistrations struct {
	// Seq increases with each of these effects.
	Seq           uint64
	Registrations []model.Registration
}

func (CallReply) isEffect()            {}
func (ItemsReply) isEffect()           {}
func (PublishDirectory) isEffect()     {}
func (SaveRegistrations) isEffect()    {}
func (PersistRegistrations) isEffect() {}

// CallID returns the call that the effect answers.
func (r CallReply) CallID() CallID { return r.Call }

// CallID returns the call that the effect answers.
func (r ItemsReply) CallID() CallID { return r.Call }
