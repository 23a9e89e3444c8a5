package event

import "github.com/anvilcrank/anvilcrank/pkg/model"

// Event is one input of the reducer.
type Event struct {
	// At is the time of the event. It never decreases from one event to the next.
	At   model.Time
	Body Body
}

// Body is the content of an event. Only types of this package implement it.
type Body interface{ isBody() }

// Effect is one output of the reducer. Only types of this package implement it.
type Effect interface{ isEffect() }

// Effects collects the effects of one step in the order in which they must be
// executed.
type Effects struct {
	list []Effect
}

// Add appends an effect.
func (e *Effects) Add(effect Effect) { e.list = append(e.list, effect) }

// List returns the collected effects. The returned slice is valid until the next
// call of Reset.
func (e *Effects) List() []Effect { return e.list }

// Reset removes the collected effects and keeps the allocated memory.
func (e *Effects) Reset() {
	clear(e.list)
	e.list = e.list[:0]
}

// Bodies holds a zero value of each event type. Decoders of recorded events look up
// the type of an event by name in this list.
var Bodies = []Body{
	Started{}, TimerFired{}, StopRequested{},
	RequestArrived{}, RequestCanceled{}, AttemptAnswered{}, AttemptEnded{}, CancelConfirmed{},
	UpstreamAnnounced{},
	PeerReceived{}, PeerConnected{}, PeerLost{},
	ConfigLoaded{}, BootstrapOffered{}, ConfigSaved{},
	ChangeProposed{}, StatusRequested{}, HistoryRequested{},
	StorageLoaded{}, Persisted{},
	OutcomeRequested{},
	RoutedArrived{}, SendEnded{}, UpstreamStated{},
	HeartbeatReceived{}, DepartureReceived{}, ItemsProposed{}, EvacuationProposed{}, ItemsRequested{}, RegistrationsLoaded{},
	RegistrationsPersisted{}, CallCanceled{}, ClockStepped{},
}
