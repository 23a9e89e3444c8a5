package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

const (
	// arrivalQueueSize is how many events of new requests and calls can wait
	// for the control goroutine. Submit returns ErrQueueFull if the queue is
	// full.
	arrivalQueueSize = 4096
	// resultQueueSize is how many results of effects and messages of other
	// instances can wait for the control goroutine. Report blocks while the
	// queue is full, because a dropped result would leave a slot of an upstream
	// occupied for good.
	resultQueueSize = 4096
)

// ErrQueueFull reports that too many new requests and calls are waiting for the
// control goroutine.
var ErrQueueFull = errors.New("control queue is full")

// ErrStopped reports that Loop.Run has ended.
var ErrStopped = errors.New("control loop stopped")

// ErrNotSubmitted reports that the event of a call did not reach the reducer, so that
// the call has no effect. The error also wraps ErrQueueFull, ErrStopped or the error of the
// context.
var ErrNotSubmitted = errors.New("not submitted")

// Dispatcher executes the effects for requests to upstreams whose slots are
// owned by instances. Its methods must not block.
type Dispatcher interface {
	Dispatch(event.Dispatch)
	Relay(event.Relay)
	CancelAttempt(event.CancelAttempt)
	Finish(event.Finish)
	ReplayAnswer(event.ReplayAnswer)
}

// Peers sends messages to other instances. Its methods must not block.
type Peers interface {
	Send(to model.InstanceID, m message.Message)
	Connect(address string)
	Reconnect(peer model.InstanceID)
}

// Storage writes to the data folder. Its methods must not block.
type Storage interface {
	Persist(event.Persist)
	Reopen()
}

// Telemetry records log events, counters and gauges. Its methods must not block.
type Telemetry interface {
	Log(event.Log)
	Count(event.Count)
	SetGauge(event.SetGauge)
}

// ConfigStore saves configurations. Save must not block.
type ConfigStore interface {
	Save(event.SaveConfig)
}

// RegistrationStore writes the registrations of upstreams to the data folder, in the
// order of the calls. Its methods must not block.
type RegistrationStore interface {
	Save(event.SaveRegistrations)
	Persist(event.PersistRegistrations)
}

// Handlers are the components that execute effects.
type Handlers struct {
	// Dispatcher is nil on instances with the entry or control role.
	Dispatcher Dispatcher
	// Forwarder is set only on instances with the entry role.
	Forwarder Forwarder
	Peers     Peers
	Telemetry Telemetry
	// ConfigStore is nil on instances without a data folder.
	ConfigStore ConfigStore
	// Storage is nil on instances outside the control group.
	Storage Storage
	// RegistrationStore is set only on instances with the control role.
	RegistrationStore RegistrationStore
	// OnPublish, if not nil, is called after a view was published. It must not
	// block.
	OnPublish func(*view.View)
	// OnInvariantFailed is called when an invariant of the reducer fails.
	OnInvariantFailed func(event.InvariantFailed)
}

// Reducer holds the control state. Step applies an event to it and returns the
// effects to execute. Instances that own upstreams use pkg/state, and instances
// with the entry or control role use pkg/fleet.
type Reducer interface {
	Step(event.Event) []event.Effect
}

// Forwarder executes the effects for routed requests. Its methods must not
// block.
type Forwarder interface {
	Forward(event.Forward)
	Deliver(event.Deliver)
	Reject(event.Reject)
	CancelSend(event.CancelSend)
}

// Loop passes events to the reducer one at a time and executes its effects. Only
// the goroutine that executes Run accesses the reducer.
type Loop struct {
	reducer  Reducer
	clock    *Clock
	handlers Handlers
	recorder *Recorder

	// arrivals holds the events queued by Submit, and results the events queued
	// by Report.
	arrivals chan event.Body
	results  chan event.Body
	// stopped is closed when Run has ended.
	stopped chan struct{}
	// view is the latest published view. Only instances that own upstreams
	// publish it.
	view atomic.Pointer[view.View]
	// directory is the latest published directory view. Only instances with the
	// entry or control role publish it.
	directory atomic.Pointer[directory.View]

	nextCall atomic.Uint64
	// callsMu guards pendingCalls, which holds the channels on which Call waits
	// for replies.
	callsMu      sync.Mutex
	pendingCalls map[event.CallID]chan event.Effect

	// timer fires at the time of the latest SetTimer effect. Run then passes
	// the event TimerFired to the reducer.
	timer *time.Timer
	// lastEventTime is the time of the latest event.
	lastEventTime model.Time
	// clockOffset is the offset of the clock when it was last checked.
	clockOffset time.Duration
}

// NewLoop returns a loop for the reducer. Run must be called once.
func NewLoop(reducer Reducer, clock *Clock, recorder *Recorder, handlers Handlers) *Loop {
	l := &Loop{
		reducer:      reducer,
		clock:        clock,
		handlers:     handlers,
		recorder:     recorder,
		arrivals:     make(chan event.Body, arrivalQueueSize),
		results:      make(chan event.Body, resultQueueSize),
		stopped:      make(chan struct{}),
		pendingCalls: map[event.CallID]chan event.Effect{},
		timer:        time.NewTimer(time.Hour),
		clockOffset:  clock.Offset(),
	}
	l.view.Store(&view.View{})
	l.directory.Store(&directory.View{})
	return l
}

// View returns the most recently published view.
func (l *Loop) View() *view.View { return l.view.Load() }

// Directory returns the most recently published directory view.
func (l *Loop) Directory() *directory.View { return l.directory.Load() }

// Clock returns the clock that sets the times of events.
func (l *Loop) Clock() *Clock { return l.clock }

// Done is closed when Run has ended.
func (l *Loop) Done() <-chan struct{} { return l.stopped }

// Submit queues the event of a new request or call. It does not block: it returns
// ErrQueueFull when the queue is full, and ErrStopped after Run has ended.
func (l *Loop) Submit(b event.Body) error {
	select {
	case <-l.stopped:
		return ErrStopped
	default:
	}
	select {
	case l.arrivals <- b:
		return nil
	default:
		return ErrQueueFull
	}
}

// Report queues the result of an effect, or a message from another instance. It
// blocks while the queue is full, until Run has ended.
func (l *Loop) Report(b event.Body) {
	select {
	case l.results <- b:
	case <-l.stopped:
	}
}

// Call assigns a new call ID, submits the event that body returns for it, and
// waits for the effect that answers the call. A call whose context has ended is not
// submitted; if the context ends later, the reducer is told with CallCanceled.
func (l *Loop) Call(ctx context.Context, body func(event.CallID) event.Body) (event.Effect, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSubmitted, err)
	}
	id := event.CallID(l.nextCall.Add(1))
	reply := make(chan event.Effect, 1)
	l.callsMu.Lock()
	l.pendingCalls[id] = reply
	l.callsMu.Unlock()
	defer func() {
		l.callsMu.Lock()
		delete(l.pendingCalls, id)
		l.callsMu.Unlock()
	}()
	if err := l.Submit(body(id)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSubmitted, err)
	}
	select {
	case e := <-reply:
		return e, nil
	case <-ctx.Done():
		// Without this event the call ends at the deadline of the reducer.
		_ = l.Submit(event.CallCanceled{Call: id})
		return nil, ctx.Err()
	case <-l.stopped:
		return nil, ErrStopped
	}
}

// Run processes events until the reducer returns the effect Stopped, or the
// context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.timer.Stop()
	if l.step(event.Started{}) {
		return nil
	}
	for {
		var body event.Body
		select {
		case body = <-l.results:
		case body = <-l.arrivals:
		case <-l.timer.C:
			body = event.TimerFired{}
		case <-ctx.Done():
			return ctx.Err()
		}
		if l.process(body) {
			return nil
		}
	}
}

// minClockStep is the least change of the clock's offset that is reported. Smaller ones
// come from the adjustment of the system clock.
const minClockStep = 100 * time.Millisecond

// process passes an event to the reducer and reports whether the process must end. Before
// a timer event or an order it checks whether the clock was stepped. The check before an
// order is needed because the order may be the first event after the machine was
// suspended.
func (l *Loop) process(body event.Body) bool {
	switch body.(type) {
	case event.TimerFired, event.ItemsProposed, event.EvacuationProposed:
		offset := l.clock.Offset()
		if by := offset - l.clockOffset; by.Abs() >= minClockStep {
			l.clockOffset = offset
			if l.step(event.ClockStepped{By: by}) {
				return true
			}
		}
	}
	return l.step(body)
}

// step passes one event to the reducer and reports whether the process must end. The time
// of an event is never earlier than that of the previous event.
func (l *Loop) step(body event.Body) bool {
	l.lastEventTime = max(l.lastEventTime, l.clock.Now())
	ev := event.Event{At: l.lastEventTime, Body: body}
	effects := l.reducer.Step(ev)
	l.recorder.Record(ev, effects)
	stop := false
	for _, e := range effects {
		if l.execute(e) {
			stop = true
		}
	}
	return stop
}

// callReply is an effect that answers a call made with Loop.Call.
type callReply interface {
	CallID() event.CallID
}

// execute passes an effect to its handler, and reports whether the process must
// end.
func (l *Loop) execute(e event.Effect) bool {
	switch e := e.(type) {
	case event.Dispatch:
		l.handlers.Dispatcher.Dispatch(e)
	case event.Relay:
		l.handlers.Dispatcher.Relay(e)
	case event.CancelAttempt:
		l.handlers.Dispatcher.CancelAttempt(e)
	case event.Finish:
		l.handlers.Dispatcher.Finish(e)
	case event.ReplayAnswer:
		l.handlers.Dispatcher.ReplayAnswer(e)
	case event.Forward:
		l.handlers.Forwarder.Forward(e)
	case event.Deliver:
		l.handlers.Forwarder.Deliver(e)
	case event.Reject:
		l.handlers.Forwarder.Reject(e)
	case event.CancelSend:
		l.handlers.Forwarder.CancelSend(e)
	case event.PublishDirectory:
		l.directory.Store(e.View)
	case event.Send:
		l.handlers.Peers.Send(e.To, e.Message)
	case event.Persist:
		l.handlers.Storage.Persist(e)
	case event.ReopenStorage:
		l.handlers.Storage.Reopen()
	case event.Connect:
		l.handlers.Peers.Connect(e.Address)
	case event.Reconnect:
		l.handlers.Peers.Reconnect(e.Peer)
	case event.SetTimer:
		l.timer.Reset(l.clock.Until(e.At))
	case event.Publish:
		l.view.Store(e.View)
		if l.handlers.OnPublish != nil {
			l.handlers.OnPublish(e.View)
		}
	case event.Log:
		l.handlers.Telemetry.Log(e)
	case event.Count:
		l.handlers.Telemetry.Count(e)
	case event.SetGauge:
		l.handlers.Telemetry.SetGauge(e)
	case event.SaveConfig:
		l.handlers.ConfigStore.Save(e)
	case event.SaveRegistrations:
		l.handlers.RegistrationStore.Save(e)
	case event.PersistRegistrations:
		l.handlers.RegistrationStore.Persist(e)
	case event.InvariantFailed:
		l.handlers.OnInvariantFailed(e)
	case event.Stopped:
		return true
	case callReply:
		l.completeCall(e.(event.Effect), e.CallID())
	}
	return false
}

// completeCall passes the effect to the goroutine that waits in Call for the
// reply. It drops the effect if that goroutine no longer waits.
func (l *Loop) completeCall(e event.Effect, id event.CallID) {
	l.callsMu.Lock()
	defer l.callsMu.Unlock()
	if reply, ok := l.pendingCalls[id]; ok {
		delete(l.pendingCalls, id)
		reply <- e
	}
}
