package control_test

import (
	"context"

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

var _ = It("call that gets no reply may have an effect", func() {
	loop := control.NewLoop(silentReducer{}, control.NewClock(), nil, control.Handlers{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := loop.Call(ctx, func(event.CallID) event.Body { return event.TimerFired{} })
	Expect(err).To(HaveOccurred())
	Expect(err).NotTo(MatchError(control.ErrNotSubmitted))
})
