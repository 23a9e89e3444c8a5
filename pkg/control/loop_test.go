package control_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// silentReducer returns no effects.
type silentReducer struct{}

func (silentReducer) Step(event.Event) []event.Effect { return nil }

// Guards against reporting the outcome of a change as unknown although it was never
// submitted.
var _ = It("call after the end of the control goroutine was not submitted", func() {
	loop := control.NewLoop(silentReducer{}, control.NewClock(), nil, control.Handlers{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = loop.Run(ctx)
	_, err := loop.Call(context.Background(), func(event.CallID) event.Body { return event.TimerFired{} })
	Expect(err).To(MatchError(control.ErrNotSubmitted))
	Expect(err).To(MatchError(control.ErrStopped))
})

// Guards against reporting that a change has no effect although it was submitted, and
// against a reducer that goes on with the call of a caller that has left.
var _ = It("call that gets no reply may have an effect", func() {
	reducer := recordingReducer{bodies: make(chan event.Body, 8)}
	loop := control.NewLoop(reducer, control.NewClock(), nil, control.Handlers{})
	running, end := context.WithCancel(context.Background())
	defer end()
	go func() { _ = loop.Run(running) }()
	ctx, cancel := context.WithCancel(context.Background())
	var call event.CallID
	_, err := loop.Call(ctx, func(id event.CallID) event.Body {
		call = id
		cancel()
		return event.ItemsRequested{Call: id}
	})
	Expect(err).To(HaveOccurred())
	Expect(err).NotTo(MatchError(control.ErrNotSubmitted))
	Eventually(reducer.bodies).Should(Receive(Equal(event.ItemsRequested{Call: call})))
	Eventually(reducer.bodies).Should(Receive(Equal(event.CallCanceled{Call: call})))
})

// Guards against an order that takes effect after its caller has left.
var _ = It("call whose caller has left is not submitted", func() {
	loop := control.NewLoop(silentReducer{}, control.NewClock(), nil, control.Handlers{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := loop.Call(ctx, func(event.CallID) event.Body { panic("submitted") })
	Expect(err).To(MatchError(control.ErrNotSubmitted))
	Expect(err).To(MatchError(context.Canceled))
})

// Guards against orders that waited while the machine was suspended and are taken for
// new, because the clock of the events does not count that time.
var _ = It("suspension of the machine is reported before an order", func() {
	reducer := recordingReducer{bodies: make(chan event.Body, 8)}
	clock := control.NewClock()
	loop := control.NewLoop(reducer, clock, nil, control.Handlers{})
	clock.Suspend(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = loop.Run(ctx) }()
	Expect(loop.Submit(event.EvacuationProposed{Call: 1})).To(Succeed())
	Expect(loop.Submit(event.EvacuationProposed{Call: 2})).To(Succeed())
	var body event.Body
	Eventually(reducer.bodies).Should(Receive(&body))
	Expect(body.(event.ClockStepped).By).To(BeNumerically("~", 3*time.Second, 50*time.Millisecond))
	Eventually(reducer.bodies).Should(Receive(Equal(event.EvacuationProposed{Call: 1})))
	Eventually(reducer.bodies).Should(Receive(Equal(event.EvacuationProposed{Call: 2})))
})

// recordingReducer returns no effects and passes on the bodies of the events.
type recordingReducer struct{ bodies chan event.Body }

func (r recordingReducer) Step(ev event.Event) []event.Effect {
	if _, ok := ev.Body.(event.Started); !ok {
		r.bodies <- ev.Body
	}
	return nil
}
