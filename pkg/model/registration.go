package model

// RegistrationState is what an upstream said of itself last.
type RegistrationState uint8

const (
	// RegistrationServing upstreams take requests.
	RegistrationServing RegistrationState = iota
	// RegistrationDraining upstreams finish what they have and take nothing new.
	RegistrationDraining
	// RegistrationDeparted upstreams have deregistered. It is final for one start.
	RegistrationDeparted
)

// String returns the name used in logs.
func (s RegistrationState) String() string {
	return [...]string{"serving", "draining", "departed"}[s]
}

// Registration is what an upstream announced of itself through the control role.
type Registration struct {
	ID      UpstreamID        `cbor:"1,keyasint,omitempty"`
	Service ServiceName       `cbor:"2,keyasint,omitempty"`
	Address string            `cbor:"3,keyasint,omitempty"`
	Zone    Zone              `cbor:"4,keyasint,omitempty"`
	Slots   int               `cbor:"5,keyasint,omitempty"`
	State   RegistrationState `cbor:"6,keyasint,omitempty"`
	// ColdRemaining is how much longer the upstream is cold, as of the message that
	// carries the registration.
	ColdRemaining Duration `cbor:"7,keyasint,omitempty"`
	// StartTimeMs is the start of the upstream's process in Unix milliseconds by its own
	// clock. It is compared between starts of one upstream only.
	StartTimeMs int64 `cbor:"8,keyasint,omitempty"`
	// Sequence is the number of the heartbeat that last changed the registration.
	Sequence uint64 `cbor:"9,keyasint,omitempty"`
}

// Supersedes reports whether r replaces an older registration of the same
// upstream. A departure is final for its start, whatever arrives later.
func (r *Registration) Supersedes(old *Registration) bool {
	switch {
	case r.StartTimeMs != old.StartTimeMs:
		return r.StartTimeMs > old.StartTimeMs
	case (r.State == RegistrationDeparted) != (old.State == RegistrationDeparted):
		return r.State == RegistrationDeparted
	}
	return r.Sequence > old.Sequence
}

// LoadReport is an upstream's load as its latest response stated it.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times longer than usual work takes at this moment.
	Slowdown float64
}
