package model

// Claimant names the request that claims an idempotency key. It is unique over
// all instances and restarts.
type Claimant struct {
	Instance    InstanceID
	Incarnation Incarnation
	Request     RequestID
}

// KeyState is what a ledger replica, or a majority of them, knows of a key.
type KeyState uint8

const (
	// KeyUnclaimed means that no request holds the key and none ran with it.
	KeyUnclaimed KeyState = iota
	// KeyRunning means that a request holds the key and has no outcome yet.
	KeyRunning
	// KeyRan means that a request with the key ran.
	KeyRan
	// KeyOutcomeUnknown means that a request with the key may have run.
	KeyOutcomeUnknown
)

// String returns the name used in answers.
func (s KeyState) String() string {
	switch s {
	case KeyUnclaimed:
		return "not_known"
	case KeyRunning:
		return "running"
	case KeyRan:
		return "ran"
	}
	return "unknown"
}
