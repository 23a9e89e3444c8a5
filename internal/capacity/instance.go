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

// instance is the whole reducer of one instance with links to n-1 others. The
// others are played: each sends the hints of an instance at rest.
type instance struct {
	s     *state.State
	n     int
	now   model.Time
	timer model.Time
	view  *view.View
	// offers are what the others own.
	offers [][]message.Offer
	seq    uint64
	// sent counts the bytes sent by subject.
	sent map[subject]int
}

// subject groups messages.
type subject string

func subjectOf(m message.Message) subject {
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

// newInstance returns an instance in steady state: the burst of hints that the
// new links cause is over.
func newInstance(n int) *instance {
	i := &instance{n: n, now: start, sent: map[subject]int{}}
	self := memberAt(0)
	i.s = state.New(state.Identity{ID: self.ID, Incarnation: incarnation, Zone: self.Zone, Address: self.Address,
		PeerAddress: self.PeerAddress, Seed: 1, ControlGroup: []model.InstanceID{instanceName(1)}}, nil)
	i.step(event.Started{})
	i.step(event.ConfigLoaded{Config: *configOf(n)})
	for k := 1; k < n; k++ {
		i.connect(k)
	}
	i.offers = make([][]message.Offer, n)
	for k := range sites {
		owner := 1 + k%(n-1)
		i.offers[owner] = addOffer(i.offers[owner], zoneName(k))
	}
	return i
}

// addOffer adds a site to the sum for its zone.
func addOffer(list []message.Offer, zone model.Zone) []message.Offer {
	for k := range list {
		if list[k].Zone == zone {
			list[k].Slots += 100
			return list
		}
	}
	return append(list, message.Offer{Service: serviceName, Zone: zone, Slots: 100, Free: 40, FreeCrossRegion: 40})
}

func (i *instance) connect(k int) []event.Effect {
	m := memberAt(k)
	return i.step(event.PeerConnected{Peer: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.Address, PeerAddress: m.PeerAddress})
}

// step handles an event and notes the timer and the view.
func (i *instance) step(b event.Body) []event.Effect {
	effects := i.s.Step(event.Event{At: i.now, Body: b})
	for _, e := range effects {
		switch e := e.(type) {
		case event.SetTimer:
			i.timer = e.At
		case event.Publish:
			i.view = e.View
		}
	}
	return effects
}

// send encodes the messages of a step, as the links do.
func (i *instance) send(effects []event.Effect) []event.Send {
	var sent []event.Send
	for _, e := range effects {
		if s, ok := e.(event.Send); ok {
			i.sent[subjectOf(s.Message)] += encoded(s.Message)
			sent = append(sent, s)
		}
	}
	return sent
}

// second runs one second at rest: the timers of the instance, one hint of each
// other instance, and the answers to its probes.
func (i *instance) second(inbound [][]byte) {
	end := i.now.Add(time.Second)
	for i.timer != 0 && i.timer <= end {
		i.now = max(i.now, i.timer)
		i.timer = 0
		for _, s := range i.send(i.step(event.TimerFired{})) {
			if p, ok := s.Message.(*message.MemberPing); ok {
				i.receive(s.To, &message.MemberAck{Seq: p.Seq})
			}
		}
	}
	i.now = end
	for k, data := range inbound {
		m, err := codec.DecodeMessage(data)
		if err != nil {
			panic(err)
		}
		i.receive(instanceName(k+1), m)
	}
}

func (i *instance) receive(from model.InstanceID, m message.Message) {
	i.send(i.step(event.PeerReceived{From: from, Incarnation: incarnation, Message: m}))
}

// inbound returns the encoded hints of one second.
func (i *instance) inbound() [][]byte {
	i.seq++
	list := make([][]byte, 0, i.n-1)
	for k := 1; k < i.n; k++ {
		data, err := codec.EncodeMessage(&message.Availability{Seq: i.seq, Offers: i.offers[k]})
		if err != nil {
			panic(err)
		}
		list = append(list, data)
	}
	return list
}

func instanceSeries() []Series {
	sizes := []int{50, 200, 800, 1600, DesignNodes}
	series := func(name string, bench func(*testing.B, int), metrics ...Metric) Series {
		return Series{Name: name, Variable: "nodes", Sizes: sizes, Design: DesignNodes, Metrics: metrics, Bench: bench}
	}
	return []Series{
		series("view_lookup", benchViewLookup, Metric{"ns/op", Linear}),
		series("preferred_owner", benchPreferredOwner, Metric{"ns/op", Linear}),
		series("instance_second", benchInstanceSecond, Metric{"ns/op", Linear}, Metric{"hint-B/s", Linear}, Metric{"in-B/s", Linear}),
		series("instance_links", benchInstanceLinks, Metric{"ns/op", NLogN}, Metric{"sends/op", Linear}, Metric{"bytes", Linear}),
	}
}

func benchViewLookup(b *testing.B, n int) {
	config := configOf(n)
	var instances []view.Instance
	for k := range n {
		m := memberAt(k)
		instances = append(instances, view.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Region: config.RegionOf(m.Zone)})
	}
	v := view.New(instances[0], config, instances, false)
	k := 0
	for b.Loop() {
		if v.Lookup(serviceName, zoneName(k), "192.0.2.1") == nil {
			b.Fatal("no answer")
		}
		k++
	}
}

func benchPreferredOwner(b *testing.B, n int) {
	i := newInstance(n)
	k := 0
	for b.Loop() {
		i.s.PreferredOwner(&model.Announcement{Upstream: model.UpstreamID(fmt.Sprint("site-", k)), Zone: zoneName(k)})
		k++
	}
}

// benchInstanceSecond measures the processor time and bytes of one second at
// rest.
func benchInstanceSecond(b *testing.B, n int) {
	i := newInstance(n)
	for range 3 {
		i.second(i.inbound())
	}
	clear(i.sent)
	in := 0
	for b.Loop() {
		b.StopTimer()
		list := i.inbound()
		for _, data := range list {
			in += len(data)
		}
		b.StartTimer()
		i.second(list)
	}
	b.ReportMetric(float64(i.sent["hint"])/float64(b.N), "hint-B/s")
	b.ReportMetric(float64(in)/float64(b.N), "in-B/s")
}

// benchInstanceLinks measures one link that breaks and stands again.
func benchInstanceLinks(b *testing.B, n int) {
	before := heapBytes()
	i := newInstance(n)
	used := heapBytes() - before
	sends := 0
	for b.Loop() {
		i.now = i.now.Add(time.Millisecond)
		i.step(event.PeerLost{Peer: instanceName(n - 1)})
		for _, e := range i.connect(n - 1) {
			if _, ok := e.(event.Send); ok {
				sends++
			}
		}
	}
	b.ReportMetric(used, "bytes")
	b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
	runtime.KeepAlive(i)
}
