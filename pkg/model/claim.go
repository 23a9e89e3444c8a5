package model

// Claimant identifies the request that claims an idempotency key. No two requests
// have the same Claimant, also not at different instances or after a restart.
type Claimant struct {
	Instance    InstanceID
	Incarnation Incarnation
	Request     RequestID
}

// KeyState is the state of an idempotency key, either at one ledger replica or
// combined from the replicas of its group.
type KeyState uint8

const (
	// KeyUnclaimed means that no request holds the key and that no request with the
	// key was executed.
	KeyUnclaimed KeyState = iota
	// KeyRunning means that a request holds the key and that the outcome of the
	// request is not recorded yet.
	KeyRunning
	// KeyExecuted means that a request with the key was executed.
	KeyExecuted
	// KeyOutcomeUnknown means that a request with the key may have been executed.
	KeyOutcomeUnknown
)

// String returns the name of the state in HTTP responses. KeyUnclaimed is
// "not_known" there, KeyExecuted is "ran" and KeyOutcomeUnknown is "unknown".
func (s KeyState) String() string {
	switch s {
	case KeyUnclaimed:
		return "not_known"
	case KeyRunning:
		return "running"
	case KeyExecuted:
		return "ran"
	}
	return "unknown"
}
