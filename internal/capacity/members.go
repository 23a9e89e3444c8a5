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

// memberNode is the membership of one instance that knows n-1 others. All
// instances behave alike, so what one of them sends and receives is the share of
// each.
type memberNode struct {
	s   *membership.State
	n   int
	now model.Time
	rng *rand.Rand
	// bytes counts what is sent and received.
	bytes int
	out   event.Effects
}

func newMemberNode(n int) *memberNode {
	m := &memberNode{s: membership.New(memberAt(0), 1), n: n, now: start, rng: rand.New(rand.NewPCG(5, 6))}
	m.s.Start(m.now)
	for k := 1; k < n; k++ {
		m.s.Receive(m.now, instanceName(k), &message.MemberSyncReply{Members: []message.Member{memberAt(k)}, More: k < n-1}, &m.out)
	}
	m.out.Reset()
	return m
}

// settle passes on the news of the joined instances, until none is left, and
// returns the number of messages that this took.
func (m *memberNode) settle() int {
	for count := 1; ; count++ {
		m.s.Receive(m.now, instanceName(1), &message.MemberPing{Seq: 1, From: memberAt(1)}, &m.out)
		ack := m.out.List()[0].(event.Send).Message.(*message.MemberAck)
		m.out.Reset()
		if len(ack.Updates) == 1 {
			return count
		}
	}
}

// second runs one second: the own probe, a probe by another instance, and their
// share of the pages.
func (m *memberNode) second() {
	m.now = m.now.Add(time.Second)
	m.s.Wake(m.now, &m.out)
	from := 1 + m.rng.IntN(m.n-1)
	m.receive(instanceName(from), &message.MemberPing{Seq: 1, From: memberAt(from)})
	if m.rng.IntN(5) == 0 {
		m.receive(instanceName(from), &message.MemberSyncRequest{After: instanceName(m.rng.IntN(m.n)), Wrap: true})
	}
	for k := 0; k < len(m.out.List()); k++ {
		if s, ok := m.out.List()[k].(event.Send); ok {
			m.bytes += encoded(s.Message)
			m.answer(s)
		}
	}
	m.out.Reset()
}

// answer plays the receiver of a message.
func (m *memberNode) answer(s event.Send) {
	switch q := s.Message.(type) {
	case *message.MemberPing:
		m.receive(s.To, &message.MemberAck{Seq: q.Seq, Updates: []message.Member{memberAt(1)}})
	case *message.MemberSyncRequest:
		page := &message.MemberSyncReply{More: true}
		first := m.rng.IntN(m.n)
		for k := range min(32, m.n-1) {
			page.Members = append(page.Members, memberAt(1+(first+k)%(m.n-1)))
		}
		m.receive(s.To, page)
	}
}

func (m *memberNode) receive(from model.InstanceID, msg message.Message) {
	data, err := codec.EncodeMessage(msg)
	if err != nil {
		panic(err)
	}
	m.bytes += len(data)
	decoded, err := codec.DecodeMessage(data)
	if err != nil {
		panic(err)
	}
	m.s.Receive(m.now, from, decoded, &m.out)
}

func memberSeries() []Series {
	sizes := []int{10, 50, 200, 800, 1600, DesignNodes}
	return []Series{
		{Name: "member_second", Variable: "nodes", Sizes: sizes, Design: DesignNodes, Bench: benchMemberSecond,
			Metrics: []Metric{{"ns/op", Linear}, {"B/s", Log}, {"bytes", Linear}}},
		{Name: "member_join", Variable: "nodes", Sizes: sizes, Design: DesignNodes, Bench: benchMemberJoin,
			Metrics: []Metric{{"ns/op", Linear}, {"messages", NLogN}}},
	}
}

// benchMemberSecond measures one second in which nothing changes.
func benchMemberSecond(b *testing.B, n int) {
	before := heapBytes()
	m := newMemberNode(n)
	m.settle()
	used := heapBytes() - before
	// Pages come more often until a pass over the list has brought no news.
	for range n / 8 {
		m.second()
	}
	m.bytes = 0
	for b.Loop() {
		m.second()
	}
	b.ReportMetric(float64(m.bytes)/float64(b.N), "B/s")
	b.ReportMetric(used, "bytes")
	runtime.KeepAlive(m)
}

// benchMemberJoin measures a second after n-1 instances became known at once,
// when their news fill every message, and the messages until none is left.
func benchMemberJoin(b *testing.B, n int) {
	m := newMemberNode(n)
	for b.Loop() {
		m.second()
	}
	b.ReportMetric(float64(newMemberNode(n).settle()), "messages")
}
