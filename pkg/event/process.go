package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Started is the first event of a process.
type Started struct{}

// TimerFired answers a SetTimer effect.
type TimerFired struct{}

// StopRequested begins a graceful stop.
type StopRequested struct{}

// ConfigLoaded brings a configuration that is known to be committed: from the
// data folder or a peer.
type ConfigLoaded struct {
	Config model.Config
}

func (Started) isBody()       {}
func (TimerFired) isBody()    {}
func (StopRequested) isBody() {}
func (ConfigLoaded) isBody()  {}

// SetTimer asks for a TimerFired event at the given time. It replaces the
// timer set before.
type SetTimer struct {
	At model.Time
}

// Publish makes a view visible to the traffic goroutines.
type Publish struct {
	View *view.View
}

// Log writes a numbered log event.
type Log struct {
	Code   logevent.Code
	Fields []logevent.Field
}

// Count adds to a counter.
type Count struct {
	Counter Counter
	Add     int
}

// Counter names a counter that the reducer maintains.
type Counter uint8

// Counters.
const (
	// LateAnswers counts attempt events that matched no open attempt.
	LateAnswers Counter = iota
	// Retries counts repeated dispatches.
	Retries
	// Hedges counts hedged dispatches.
	Hedges
	// InvariantFailures counts failed invariants.
	InvariantFailures
	// PermitsGranted counts slots granted to other instances.
	PermitsGranted
	// CountersEnd is the number of counters.
	NumCounters
)

// String returns the metric name of the counter.
func (c Counter) String() string {
	return [...]string{"late_answers", "retries", "hedges", "invariant_failures", "permits_granted"}[c]
}

// InvariantFailed reports a broken invariant. Tests and benches stop; in
// production it is counted and logged, and the event ring is written out.
type InvariantFailed struct {
	Name   string
	Detail string
}

// Stopped ends the process: nothing is left to wait for.
type Stopped struct{}

func (SetTimer) isEffect()        {}
func (Publish) isEffect()         {}
func (Log) isEffect()             {}
func (Count) isEffect()           {}
func (InvariantFailed) isEffect() {}
func (Stopped) isEffect()         {}
