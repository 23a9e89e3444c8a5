package fleet

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// minPause is the least delay of a timer event from which it follows that the process
	// did not run for some time. Timer events are due every replica.HeartbeatInterval or
	// more often, so that each pause is noticed that is longer than the sum of both. That is
	// less than the 1 s for which callers wait.
	minPause = 300 * time.Millisecond
	// pauseRecoveryTime is how long after a pause orders are rejected. The orders that
	// waited in the sockets are read within this time.
	pauseRecoveryTime = time.Second
	// maxOrderWait is how long an order may wait between its receipt and the reducer.
	maxOrderWait = 500 * time.Millisecond
)

// pauseDetector recognizes that the process did not run for some time, for example
// because it was stopped or its machine was suspended or overloaded. Orders that arrived
// meanwhile are of unknown age: their callers may have left and been answered by
// another instance.
type pauseDetector struct {
	// timerDue is when the next timer event is due, 0 if none was requested.
	timerDue model.Time
	// ordersFrom is the time from which orders are accepted.
	ordersFrom model.Time
}

// detectPause recognizes a pause by the first event after it, which need not be the
// timer event that is late.
func (s *State) detectPause(at model.Time) {
	d := &s.pauses
	if d.timerDue == 0 || at < d.timerDue.Add(minPause) {
		return
	}
	s.resumed(at, at.Sub(d.timerDue))
	d.timerDue = 0
}

// clockStepped handles a step of the time of day against the clock of the events, which
// does not count the time for which a machine is suspended.
func (s *State) clockStepped(at model.Time, by model.Duration) {
	if by >= minPause {
		s.resumed(at, by)
	}
}

// resumed rejects orders for some time after a pause, and stops proposing those that
// arrived before it.
func (s *State) resumed(at model.Time, pause model.Duration) {
	if !s.identity.Control {
		return
	}
	s.pauses.ordersFrom = at.Add(pauseRecoveryTime)
	s.out.Add(event.Log{Code: logevent.ProcessPaused, Fields: []logevent.Field{
		logevent.F("ms", pause.Milliseconds()), logevent.F("open_orders", len(s.calls.proposals))}})
	s.out.Add(event.Count{Counter: event.ProcessPauses, Add: 1})
	for _, call := range sortedCallIDs(s.calls.proposals) {
		delete(s.calls.proposals, call)
		s.reply(event.CallID(call), result.ChangeUnknown, "the process did not run for some time")
	}
}

// rejectsOrder answers an order that may be older than the time for which its caller
// waits, and reports whether it has. receivedAt is 0 if it is not known. The code is
// never that of a refusal, since the order may have been accepted elsewhere.
func (s *State) rejectsOrder(at model.Time, call event.CallID, receivedAt model.Time) bool {
	if at >= s.pauses.ordersFrom && (receivedAt == 0 || at <= receivedAt.Add(maxOrderWait)) {
		return false
	}
	s.reply(call, result.ChangeAgeUnknown, "")
	return true
}
