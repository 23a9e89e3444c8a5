package simulation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/state"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Guards against a stopping instance that gives up its upstreams while callers
// still use it, that leaves before others have its counts, or that cuts off
// requests.
func TestStopServesThenHandsOverThenExits(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, state.DisabledRules{})
	n := s.nodes[0]
	for at := 2 * time.Second; at < 9*time.Second; at += 20 * time.Millisecond {
		s.queue.Add(start.Add(at), s.arrive)
	}
	s.play(start.Add(2 * time.Second))
	g.Expect(n.state.Owned()).To(BeNumerically(">", 0))
	s.step(n, event.StopRequested{})
	stopAt := s.now.Add(view.LookupTTL)
	s.play(stopAt.Add(-10 * time.Millisecond))
	g.Expect(n.state.Owned()).To(BeNumerically(">", 0))
	// Without a handover, the counts would be kept for 3 s.
	s.play(stopAt.Add(2500 * time.Millisecond))
	if n.state != nil {
		g.Expect(n.state.Owned()).To(Equal(0))
	}
	s.play(stopAt.Add(longDeadline + time.Second))
	g.Expect(s.stops).To(Equal(1))
	g.Expect(s.violations).To(BeEmpty())
}

// Guards against an instance that exits right after it has sent its last count:
// if that message is lost, the new owner counts all slots as used.
func TestStopWaitsForLostHandovers(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, state.DisabledRules{})
	n := s.nodes[0]
	s.play(start.Add(2 * time.Second))
	g.Expect(n.state.Owned()).To(BeNumerically(">", 0))
	s.step(n, event.StopRequested{})
	handedAt := s.now.Add(view.LookupTTL)
	s.play(handedAt)
	for n.state.Owned() > 0 {
		handedAt = handedAt.Add(20 * time.Millisecond)
		s.play(handedAt)
		g.Expect(n.state).NotTo(BeNil())
	}
	// Time for two more requests.
	s.play(handedAt.Add(400 * time.Millisecond))
	g.Expect(n.state).NotTo(BeNil())
	s.play(handedAt.Add(5 * time.Second))
	g.Expect(s.stops).To(Equal(1))
}
