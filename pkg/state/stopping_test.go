package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Guards against a stopping instance that gives up its upstreams while callers
// still use it, that leaves before others have its counts, or that cuts off
// requests.
func TestStopServesThenHandsOverThenExits(t *testing.T) {
	g := NewWithT(t)
	s := newSim(4, nil)
	n := s.nodes[0]
	for at := 2 * time.Second; at < 9*time.Second; at += 20 * time.Millisecond {
		s.queue.Add(simStart.Add(at), s.arrive)
	}
	s.play(simStart.Add(2 * time.Second))
	g.Expect(n.state.upstreams.Owned()).To(BeNumerically(">", 0))
	s.step(n, event.StopRequested{})
	stopAt := s.now.Add(view.LookupTTL)
	s.play(stopAt.Add(-10 * time.Millisecond))
	g.Expect(n.state.upstreams.Owned()).To(BeNumerically(">", 0))
	// Without a handover, the counts would be kept for 3 s.
	s.play(stopAt.Add(2500 * time.Millisecond))
	if n.state != nil {
		g.Expect(n.state.upstreams.Owned()).To(Equal(0))
	}
	s.play(stopAt.Add(simLongDeadline + time.Second))
	g.Expect(s.stops).To(Equal(1))
	g.Expect(s.violations).To(BeEmpty())
}
