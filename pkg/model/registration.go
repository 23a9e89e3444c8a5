package model

// RegistrationState is the state that an upstream last reported.
type RegistrationState uint8

const (
	// RegistrationServing means that the upstream accepts requests.
	RegistrationServing RegistrationState = iota
	// RegistrationDraining means that the upstream finishes its requests and
	// accepts no new ones.
	RegistrationDraining
	// RegistrationDeregistered means that the upstream has deregistered. The state
	// is final until the upstream is restarted.
	RegistrationDeregistered
)

// String returns the name of the state used in logs. The name of
// RegistrationDeregistered is "departed".
func (s RegistrationState) String() string {
	switch s {
	case RegistrationServing:
		return "serving"
	case RegistrationDraining:
		return "draining"
	case RegistrationDeregistered:
		return "departed"
	}
	return "unknown"
}

// Registration is the description of an upstream, as reported by the upstream to
// the control role.
type Registration struct {
	ID      UpstreamID        `cbor:"1,keyasint,omitempty"`
	Service ServiceName       `cbor:"2,keyasint,omitempty"`
	Address string            `cbor:"3,keyasint,omitempty"`
	Zone    Zone              `cbor:"4,keyasint,omitempty"`
	Slots   int               `cbor:"5,keyasint,omitempty"`
	State   RegistrationState `cbor:"6,keyasint,omitempty"`
	// ColdRemaining is how much longer the upstream remains cold, counted from the
	// time of the message that contains the registration.
	ColdRemaining Duration `cbor:"7,keyasint,omitempty"`
	// StartTimeMs is the start time of the upstream's process in Unix milliseconds,
	// by the clock of the upstream. It is compared only with start times of other
	// processes of the same upstream.
	StartTimeMs int64 `cbor:"8,keyasint,omitempty"`
	// Sequence is the number of the heartbeat that last changed the registration.
	Sequence uint64 `cbor:"9,keyasint,omitempty"`
	// Leaving is true if the upstream has stated in a response that this process is
	// about to end. It remains true until the upstream is restarted.
	Leaving bool `cbor:"10,keyasint,omitempty"`
}

// Supersedes reports whether r replaces the registration old of the same
// upstream. Once a process has deregistered, no later message of that process
// replaces its registration.
func (r *Registration) Supersedes(old *Registration) bool {
	switch {
	case r.StartTimeMs != old.StartTimeMs:
		return r.StartTimeMs > old.StartTimeMs
	case (r.State == RegistrationDeregistered) != (old.State == RegistrationDeregistered):
		return r.State == RegistrationDeregistered
	}
	return r.Sequence > old.Sequence
}

// LoadReport is the load that an upstream reports in a response.
type LoadReport struct {
	// Running is the number of requests in execution.
	Running int
	// Waiting is the number of requests in the upstream's queue.
	Waiting int
	// Slots is the number of requests that the upstream can execute concurrently.
	Slots int
	// Slowdown is the current duration of a request at the upstream, divided by the
	// usual duration.
	Slowdown float64
}
