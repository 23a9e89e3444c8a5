package state

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Guards against shares that add up to more or less than the cap.
func TestSharesAddUpToTheCap(t *testing.T) {
	g := NewWithT(t)
	for limit := range 12 {
		total := 0
		s := newSim(1, nil)
		s.config.Shifts[0].Cap = limit
		for _, n := range s.nodes {
			state := New(Identity{ID: n.id, Zone: n.zone}, nil)
			state.Step(event.Event{At: simStart, Body: event.ConfigLoaded{Config: s.config}})
			for _, share := range state.ownShares(nil) {
				total += share.Limit
			}
		}
		g.Expect(total).To(Equal(limit))
	}
}

// Guards against an instance that owns far more of a zone's upstreams than its
// neighbors.
func TestUpstreamsSpreadOverTheZone(t *testing.T) {
	g := NewWithT(t)
	s := New(Identity{ID: "i0", Zone: "z"}, nil)
	for _, id := range []model.InstanceID{"i1", "i2"} {
		s.Step(event.Event{At: 1, Body: event.PeerConnected{Peer: id, Zone: "z", Address: string(id)}})
	}
	s.Step(event.Event{At: 1, Body: event.PeerConnected{Peer: "far", Zone: "y", Address: "far"}})
	counts := map[model.InstanceID]int{}
	for i := range 300 {
		id, _ := s.PreferredOwner(&model.Announcement{Upstream: model.UpstreamID(rune('a'+i%26)) + model.UpstreamID(rune(200+i)), Zone: "z"})
		counts[id]++
	}
	g.Expect(counts).To(HaveLen(3))
	for _, n := range counts {
		g.Expect(n).To(BeNumerically("~", 100, 30))
	}
}
