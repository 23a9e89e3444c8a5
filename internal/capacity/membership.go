package capacity

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/membership"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// membershipSim simulates the membership protocol of one instance, which knows all
// numInstances instances. All instances behave alike, so the bytes that this one
// sends and receives are typical of every instance.
type membershipSim struct {
	state        *membership.State
	numInstances int
	now          model.Time
	rng          *rand.Rand
	// transferredBytes counts the bytes that the instance has sent and received.
	transferredBytes int
	// effects holds the effects of the instance that the simulation has not
	// executed yet.
	effects event.Effects
}

func newMembershipSim(n int) *membershipSim {
	sim := &membershipSim{state: membership.New(newMember(0), 1), numInstances: n, now: startTime, rng: rand.New(rand.NewPCG(5, 6))}
	sim.state.Start(sim.now)
	for k := 1; k < n; k++ {
		sim.state.Receive(sim.now, instanceName(k), &message.MemberSyncReply{Members: []message.Member{newMember(k)}, More: k < n-1}, &sim.effects)
	}
	sim.effects.Reset()
	return sim
}

// drainUpdates sends pings to the instance until it has sent all its membership
// updates: until an acknowledgement contains no update except the instance's own
// entry. It returns the number of acknowledgements.
func (sim *membershipSim) drainUpdates() int {
	for messages := 1; ; messages++ {
		sim.state.Receive(sim.now, instanceName(1), &message.MemberPing{Seq: 1, From: newMember(1)}, &sim.effects)
		ack := sim.effects.List()[0].(event.Send).Message.(*message.MemberAck)
		sim.effects.Reset()
		if len(ack.Updates) == 1 {
			return messages
		}
	}
}

// simulateSecond advances the simulation by one second. In this second, the instance
// sends a probe (MemberPing) and receives a probe from a random other instance. On
// average once in five seconds, this other instance also requests a page of the
// member list.
func (sim *membershipSim) simulateSecond() {
	sim.now = sim.now.Add(time.Second)
	sim.state.Wake(sim.now, &sim.effects)
	from := 1 + sim.rng.IntN(sim.numInstances-1)
	sim.receive(instanceName(from), &message.MemberPing{Seq: 1, From: newMember(from)})
	if sim.rng.IntN(5) == 0 {
		sim.receive(instanceName(from), &message.MemberSyncRequest{After: instanceName(sim.rng.IntN(sim.numInstances)), Wrap: true})
	}
	for k := 0; k < len(sim.effects.List()); k++ {
		if s, ok := sim.effects.List()[k].(event.Send); ok {
			sim.transferredBytes += encodedSize(s.Message)
			sim.reply(s)
		}
	}
	sim.effects.Reset()
}

// reply simulates the reply to a message that the instance has sent to another
// instance.
func (sim *membershipSim) reply(sent event.Send) {
	switch q := sent.Message.(type) {
	case *message.MemberPing:
		sim.receive(sent.To, &message.MemberAck{Seq: q.Seq, Updates: []message.Member{newMember(1)}})
	case *message.MemberSyncRequest:
		page := &message.MemberSyncReply{More: true}
		first := sim.rng.IntN(sim.numInstances)
		for k := range min(32, sim.numInstances-1) {
			page.Members = append(page.Members, newMember(1+(first+k)%(sim.numInstances-1)))
		}
		sim.receive(sent.To, page)
	}
}

// receive encodes and decodes a message of another instance, counts its encoded
// size, and passes it to the membership state.
func (sim *membershipSim) receive(from model.InstanceID, msg message.Message) {
	data, err := codec.EncodeMessage(msg)
	if err != nil {
		panic(err)
	}
	sim.transferredBytes += len(data)
	decoded, err := codec.DecodeMessage(data)
	if err != nil {
		panic(err)
	}
	sim.state.Receive(sim.now, from, decoded, &sim.effects)
}

// memberSeries lists the series that measure the membership protocol.
func memberSeries() []Series {
	sizes := []int{10, 50, 200, 800, 1600, DesignInstances}
	return []Series{
		{Name: "member_second", Variable: "nodes", Sizes: sizes, DesignSize: DesignInstances, Bench: benchMemberSecond,
			Metrics: []Metric{{"ns/op", Linear}, {"B/s", Log}, {"bytes", Linear}}},
		{Name: "member_join", Variable: "nodes", Sizes: sizes, DesignSize: DesignInstances, Bench: benchMemberJoin,
			Metrics: []Metric{{"ns/op", Linear}, {"messages", NLogN}}},
	}
}

// benchMemberSecond measures the processor time of an instance in one second
// without a membership change, the bytes that it sends and receives for the
// membership protocol, and the heap size of its membership state.
func benchMemberSecond(b *testing.B, n int) {
	heapBefore := heapBytes()
	sim := newMembershipSim(n)
	sim.drainUpdates()
	usedBytes := heapBytes() - heapBefore
	// An instance requests pages of the member list more often until it has read
	// the whole list once without finding an unknown member. The measurement
	// begins after that.
	for range n / 8 {
		sim.simulateSecond()
	}
	sim.transferredBytes = 0
	for b.Loop() {
		sim.simulateSecond()
	}
	b.ReportMetric(float64(sim.transferredBytes)/float64(b.N), "B/s")
	b.ReportMetric(usedBytes, "bytes")
	runtime.KeepAlive(sim)
}

// benchMemberJoin measures the processor time of an instance in one second after
// n-1 other instances have joined at the same time, when every message is full of
// updates. It also measures the number of messages until all updates have been
// sent.
func benchMemberJoin(b *testing.B, n int) {
	sim := newMembershipSim(n)
	for b.Loop() {
		sim.simulateSecond()
	}
	b.ReportMetric(float64(newMembershipSim(n).drainUpdates()), "messages")
}
