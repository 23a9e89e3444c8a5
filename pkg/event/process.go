package event

import (
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Started is the first event of a process.
type Started struct{}

// TimerFired reports that the time requested by the latest SetTimer effect was
// reached.
type TimerFired struct{}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

// ConfigLoaded carries a configuration that is known to be committed, for example
// the one saved in the data folder.
type ConfigLoaded struct {
	Config model.Config
}

// ClockStepped reports that the time of day has changed by By against the clock of the
// events: the machine was suspended, or its clock was set.
type ClockStepped struct {
	By model.Duration
}

func (Started) isBody()       {}
func (TimerFired) isBody()    {}
func (StopRequested) isBody() {}
func (ConfigLoaded) isBody()  {}
func (ClockStepped) isBody()  {}

// SetTimer requests a TimerFired event at the given time. It replaces the request
// of the previous SetTimer.
type SetTimer struct {
	At model.Time
}

// Publish makes a view of the control state available to the traffic goroutines.
type Publish struct {
	View *view.View
}

// Log writes a log event, identified by its code.
type Log struct {
	Code   logevent.Code
	Fields []logevent.Field
}

// Count increases a metric counter by Add.
type Count struct {
	Counter Counter
	Add     int
}

// Counter identifies a metric counter that the reducer increments.
type Counter uint8

// Counters.
const (
	// UnmatchedAttemptEvents counts events about an attempt that is not open,
	// for example because its request has ended. Its metric name is late_answers.
	UnmatchedAttemptEvents Counter = iota
	// Retries counts requests sent again after a failed attempt.
	Retries
	// Hedges counts hedged attempts: requests sent to a second upstream while the
	// first attempt is in progress.
	Hedges
	// InvariantFailures counts violated invariants.
	InvariantFailures
	// PermitsGranted counts upstream slots granted to other instances.
	PermitsGranted
	// ProcessPauses counts the times at which a control instance noticed that its
	// process had not run for some time.
	ProcessPauses
	// ConfirmationsAsked counts calls of operators that may be old, whose callers were asked
	// to confirm them.
	ConfirmationsAsked
	// NumCounters is the number of counters.
	NumCounters
)

// String returns the metric name of the counter.
func (c Counter) String() string {
	return [...]string{"late_answers", "retries", "hedges", "invariant_failures", "permits_granted", "process_pauses", "confirmations_asked"}[c]
}

// Gauge identifies a metric that holds a number of upstreams of a service.
type Gauge uint8

// Gauges.
const (
	// UpstreamsLeaving is the number of upstreams that have stated that they leave.
	UpstreamsLeaving Gauge = iota
	// UpstreamsPaused is the number of upstreams that want no requests from this
	// instance at present.
	UpstreamsPaused
	// UpstreamsLimited is the number of upstreams with a request limit.
	UpstreamsLimited
)

// String returns the metric name of the gauge.
func (g Gauge) String() string {
	return [...]string{"upstreams_leaving", "upstreams_paused", "upstreams_limited"}[g]
}

// SetGauge sets a gauge of a service.
type SetGauge struct {
	Gauge   Gauge
	Service model.ServiceName
	Value   int
}

// InvariantFailed reports a violated invariant of the reducer. Tests and
// benchmarks then abort. In production, the violation is counted and logged, and
// the latest recorded events are written to a file.
type InvariantFailed struct {
	Name   string
	Detail string
}

// Stopped ends the process after a graceful shutdown has completed.
type Stopped struct{}

func (SetTimer) isEffect()        {}
func (Publish) isEffect()         {}
func (Log) isEffect()             {}
func (Count) isEffect()           {}
func (SetGauge) isEffect()        {}
func (InvariantFailed) isEffect() {}
func (Stopped) isEffect()         {}
