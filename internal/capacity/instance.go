package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/state"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// instanceSim runs the complete reducer of one instance in a deployment of
// numInstances instances. The others are simulated peers to which it is connected.
// Like an idle instance, each peer sends its unchanged offers of free slots once a
// second.
type instanceSim struct {
	state        *state.State
	numInstances int
	now          model.Time
	nextTimer    model.Time
	view         *view.View
	// peerOffers holds the offers of free slots that each peer sends, by the index
	// of the peer.
	peerOffers [][]message.Offer
	seq        uint64
	// sentBytes counts the bytes that the instance has sent, by message class.
	sentBytes map[messageClass]int
}

// messageClass is a group of message kinds whose bytes are counted together.
type messageClass string

// messageClassOf returns the class of a message, which depends on the number of its
// kind. The class "hint" consists of the messages about offers and permits.
func messageClassOf(m message.Message) messageClass {
	switch k := m.Kind(); {
	case k < 20:
		return "hint"
	case k >= 50:
		return "member"
	case k >= 40:
		return "config"
	}
	return "other"
}

// newInstanceSim simulates an instance that is connected to n-1 peers. The offers
// of the peers contain the slots of numSites sites, spread evenly over the peers.
func newInstanceSim(n int) *instanceSim {
	sim := &instanceSim{numInstances: n, now: startTime, sentBytes: map[messageClass]int{}}
	self := newMember(0)
	sim.state = state.New(state.Identity{ID: self.ID, Incarnation: incarnation, Zone: self.Zone, Address: self.Address,
		PeerAddress: self.PeerAddress, Seed: 1, ControlGroup: []model.InstanceID{instanceName(1)}}, nil)
	sim.step(event.Started{})
	sim.step(event.ConfigLoaded{Config: *newConfig(n)})
	for k := 1; k < n; k++ {
		sim.connect(k)
	}
	sim.peerOffers = make([][]message.Offer, n)
	for k := range numSites {
		owner := 1 + k%(n-1)
		sim.peerOffers[owner] = addOffer(sim.peerOffers[owner], zoneName(k))
	}
	return sim
}

// addOffer adds the slots of one site to the offer for its zone, or appends an
// offer if there is none for this zone.
func addOffer(offers []message.Offer, zone model.Zone) []message.Offer {
	for k := range offers {
		if offers[k].Zone == zone {
			offers[k].Slots += 100
			return offers
		}
	}
	return append(offers, message.Offer{Service: serviceName, Zone: zone, Slots: 100, Free: 40, FreeCrossRegion: 40})
}

// connect reports to the instance that the peer with the index has connected, and
// returns the effects.
func (sim *instanceSim) connect(index int) []event.Effect {
	m := newMember(index)
	return sim.step(event.PeerConnected{Peer: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.Address, PeerAddress: m.PeerAddress})
}

// step passes an event to the reducer and returns the effects. It stores the next
// timer and the view of the deployment if the effects contain them.
func (sim *instanceSim) step(body event.Body) []event.Effect {
	effects := sim.state.Step(event.Event{At: sim.now, Body: body})
	for _, e := range effects {
		switch e := e.(type) {
		case event.SetTimer:
			sim.nextTimer = e.At
		case event.Publish:
			sim.view = e.View
		}
	}
	return effects
}

// countSends returns the messages that the effects send. It encodes them, as a
// connection would, and counts their bytes.
func (sim *instanceSim) countSends(effects []event.Effect) []event.Send {
	var sends []event.Send
	for _, e := range effects {
		if s, ok := e.(event.Send); ok {
			sim.sentBytes[messageClassOf(s.Message)] += encodedSize(s.Message)
			sends = append(sends, s)
		}
	}
	return sends
}

// simulateSecond advances the simulation by one second without requests. In this
// second, the timers of the instance fire and its membership probes are
// acknowledged. Then the instance receives the encoded messages in inbound, one
// from each peer.
func (sim *instanceSim) simulateSecond(inbound [][]byte) {
	end := sim.now.Add(time.Second)
	for sim.nextTimer != 0 && sim.nextTimer <= end {
		sim.now = max(sim.now, sim.nextTimer)
		sim.nextTimer = 0
		for _, s := range sim.countSends(sim.step(event.TimerFired{})) {
			if p, ok := s.Message.(*message.MemberPing); ok {
				sim.receive(s.To, &message.MemberAck{Seq: p.Seq})
			}
		}
	}
	sim.now = end
	for k, data := range inbound {
		m, err := codec.DecodeMessage(data)
		if err != nil {
			panic(err)
		}
		sim.receive(instanceName(k+1), m)
	}
}

// receive passes a message of a peer to the instance and counts the bytes of the
// messages that the instance sends in response.
func (sim *instanceSim) receive(from model.InstanceID, m message.Message) {
	sim.countSends(sim.step(event.PeerReceived{From: from, Incarnation: incarnation, Message: m}))
}

// encodeOffers returns the encoded messages with the offers of the peers for one
// second, one message from each peer.
func (sim *instanceSim) encodeOffers() [][]byte {
	sim.seq++
	messages := make([][]byte, 0, sim.numInstances-1)
	for k := 1; k < sim.numInstances; k++ {
		data, err := codec.EncodeMessage(&message.Availability{Seq: sim.seq, Offers: sim.peerOffers[k]})
		if err != nil {
			panic(err)
		}
		messages = append(messages, data)
	}
	return messages
}

// instanceSeries lists the series that measure the costs of one instance in a
// deployment.
func instanceSeries() []Series {
	sizes := []int{50, 200, 800, 1600, DesignInstances}
	series := func(name string, bench func(*testing.B, int), metrics ...Metric) Series {
		return Series{Name: name, Variable: "nodes", Sizes: sizes, DesignSize: DesignInstances, Metrics: metrics, Bench: bench}
	}
	return []Series{
		series("view_lookup", benchViewLookup, Metric{"ns/op", Linear}),
		series("preferred_owner", benchPreferredOwner, Metric{"ns/op", Linear}),
		series("instance_second", benchInstanceSecond, Metric{"ns/op", Linear}, Metric{"hint-B/s", Linear}, Metric{"in-B/s", Linear}),
		series("instance_links", benchInstanceConnections, Metric{"ns/op", NLogN}, Metric{"sends/op", Linear}, Metric{"bytes", Linear}),
	}
}

// benchViewLookup measures the time of a lookup in the view that an instance has of
// a deployment of n instances.
func benchViewLookup(b *testing.B, n int) {
	config := newConfig(n)
	var instances []view.Instance
	for k := range n {
		m := newMember(k)
		instances = append(instances, view.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Region: config.RegionOf(m.Zone)})
	}
	lookupView := view.New(instances[0], config, instances, false)
	k := 0
	for b.Loop() {
		if lookupView.Lookup(serviceName, zoneName(k), "192.0.2.1") == nil {
			b.Fatal("no lookup result")
		}
		k++
	}
}

// benchPreferredOwner measures how long an instance takes to choose the owner of an
// upstream among n instances.
func benchPreferredOwner(b *testing.B, n int) {
	sim := newInstanceSim(n)
	k := 0
	for b.Loop() {
		sim.state.PreferredOwner(&model.Announcement{Upstream: model.UpstreamID(fmt.Sprint("site-", k)), Zone: zoneName(k)})
		k++
	}
}

// benchInstanceSecond measures the processor time of an instance in one second
// without requests, and the bytes that it sends and receives for offers. It first
// runs three seconds without measurement, since new connections cause additional
// messages.
func benchInstanceSecond(b *testing.B, n int) {
	sim := newInstanceSim(n)
	for range 3 {
		sim.simulateSecond(sim.encodeOffers())
	}
	clear(sim.sentBytes)
	inboundBytes := 0
	for b.Loop() {
		b.StopTimer()
		inbound := sim.encodeOffers()
		for _, data := range inbound {
			inboundBytes += len(data)
		}
		b.StartTimer()
		sim.simulateSecond(inbound)
	}
	b.ReportMetric(float64(sim.sentBytes["hint"])/float64(b.N), "hint-B/s")
	b.ReportMetric(float64(inboundBytes)/float64(b.N), "in-B/s")
}

// benchInstanceConnections measures the processor time and the number of sent
// messages when an instance loses one peer connection and gets it back. It also
// measures the heap size of an instance with n-1 peer connections.
func benchInstanceConnections(b *testing.B, n int) {
	heapBefore := heapBytes()
	sim := newInstanceSim(n)
	usedBytes := heapBytes() - heapBefore
	sends := 0
	for b.Loop() {
		sim.now = sim.now.Add(time.Millisecond)
		sim.step(event.PeerLost{Peer: instanceName(n - 1)})
		for _, e := range sim.connect(n - 1) {
			if _, ok := e.(event.Send); ok {
				sends++
			}
		}
	}
	b.ReportMetric(usedBytes, "bytes")
	b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
	runtime.KeepAlive(sim)
}
