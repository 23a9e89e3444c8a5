package state

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/agreement"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// newAgreement returns the state of the agreement protocol, which replicates the log
// of the control group. It returns nil for an instance outside the group.
func newAgreement(identity Identity) *agreement.State {
	if !slices.Contains(identity.ControlGroup, identity.ID) {
		return nil
	}
	return agreement.New(agreement.Config{
		Instance: identity.ID, Group: identity.ControlGroup, Seed: identity.Seed})
}

// storageLoaded starts the agreement protocol with what was read from disk: the
// hard state, the latest snapshot and the log entries after it.
func (s *State) storageLoaded(at model.Time, b event.StorageLoaded) {
	if s.agreement != nil {
		s.agreement.Restore(at, b, &s.out)
	}
}

// persisted reports to the agreement protocol whether a write to the log on disk
// succeeded.
func (s *State) persisted(at model.Time, b event.Persisted) {
	switch {
	case s.agreement == nil:
	case b.Failure != "":
		s.agreement.StorageFailed(at, b.Failure, &s.out)
	default:
		s.agreement.Persisted(at, b.Seq, &s.out)
	}
}

// receiveAgreement passes a message of another instance to the agreement state,
// which ignores messages of other protocols.
func (s *State) receiveAgreement(at model.Time, b event.PeerReceived) {
	if s.agreement != nil {
		s.agreement.Receive(at, b.From, b.Message, &s.out)
	}
}

func (s *State) wakeAgreement(at model.Time) {
	if s.agreement != nil {
		s.agreement.Wake(at, &s.out)
	}
}

func (s *State) nextAgreementWake() model.Time {
	if s.agreement == nil {
		return 0
	}
	return s.agreement.NextWake()
}
