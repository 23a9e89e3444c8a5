package simulation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/state"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Guards against three failures of an instance that stops: it hands over its
// upstreams while callers still use it, it exits before the new owners of the
// upstreams have their slot counts, or it aborts requests.
func TestStopServesThenHandsOverThenExits(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, state.DisabledRules{})
	inst := s.instances[0]
	for at := 2 * time.Second; at < 9*time.Second; at += 20 * time.Millisecond {
		s.scheduled.Add(startTime.Add(at), s.sendRandomRequest)
	}
	s.runUntil(startTime.Add(2 * time.Second))
	g.Expect(inst.state.Owned()).To(BeNumerically(">", 0))
	s.step(inst, event.StopRequested{})
	stopAt := s.now.Add(view.LookupTTL)
	s.runUntil(stopAt.Add(-10 * time.Millisecond))
	g.Expect(inst.state.Owned()).To(BeNumerically(">", 0))
	// Without a handover, the instance would keep the slot counts of its upstreams
	// for 3 s. If it owns none before that, it has handed them over.
	s.runUntil(stopAt.Add(2500 * time.Millisecond))
	if inst.state != nil {
		g.Expect(inst.state.Owned()).To(Equal(0))
	}
	s.runUntil(stopAt.Add(longTimeout + time.Second))
	g.Expect(s.gracefulStops).To(Equal(1))
	g.Expect(s.violations).To(BeEmpty())
}

// Guards against an instance that exits right after it has sent its last
// handover. If that message is lost, the new owner counts all slots as used.
func TestStopWaitsForLostHandovers(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, state.DisabledRules{})
	inst := s.instances[0]
	s.runUntil(startTime.Add(2 * time.Second))
	g.Expect(inst.state.Owned()).To(BeNumerically(">", 0))
	s.step(inst, event.StopRequested{})
	handedOverAt := s.now.Add(view.LookupTTL)
	s.runUntil(handedOverAt)
	for inst.state.Owned() > 0 {
		handedOverAt = handedOverAt.Add(20 * time.Millisecond)
		s.runUntil(handedOverAt)
		g.Expect(inst.state).NotTo(BeNil())
	}
	// The new owner has time to repeat its handover request twice.
	s.runUntil(handedOverAt.Add(400 * time.Millisecond))
	g.Expect(inst.state).NotTo(BeNil())
	s.runUntil(handedOverAt.Add(5 * time.Second))
	g.Expect(s.gracefulStops).To(Equal(1))
}
