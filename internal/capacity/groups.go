package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/agreement"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/ledger"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

func groupSeries() []Series {
	return []Series{
		{Name: "ledger_key", Variable: "keys", Sizes: []int{10_000, 30_000, 60_000, 120_000}, Design: 120_000, Bench: benchLedgerKeys,
			Metrics: []Metric{{"ns/op", Log}, {"B/key", Linear}, {"bytes", Linear}}},
		{Name: "ledger_groups", Variable: "nodes", Sizes: append(slices.Clone(NodeSizes), DesignNodes), Design: DesignNodes,
			Bench: benchLedgerGroups, Metrics: []Metric{{"ns/op", NLogN}}},
		{Name: "agreement_entry", Variable: "members", Sizes: []int{1, 3, 5, 7}, Design: 5, Bench: benchAgreement,
			Metrics: []Metric{{"ns/op", Linear}, {"B/entry", Linear}}},
		{Name: "agreement_second", Variable: "members", Sizes: []int{1, 3, 5, 7}, Design: 5, Bench: benchAgreementSecond,
			Metrics: []Metric{{"ns/op", Linear}, {"B/s", Linear}}},
	}
}

// ledgerGroup is a ledger group of three; the first instance also claims.
type ledgerGroup struct {
	nodes map[model.InstanceID]*ledger.State
	first model.InstanceID
	now   model.Time
	next  model.RequestID
	bytes int
}

func newLedgerGroup() *ledgerGroup {
	g := &ledgerGroup{nodes: map[model.InstanceID]*ledger.State{}, now: start}
	c := configOf(3 * zones)
	ids := c.LedgerGroup(zoneName(0))
	g.first = ids[0]
	for _, id := range ids {
		s := ledger.New(id, incarnation)
		s.Start(g.now)
		s.Configure(g.now, c)
		g.nodes[id] = s
	}
	g.now = g.now.Add(10 * time.Second)
	return g
}

// run claims a new key and records an outcome without a body.
func (g *ledgerGroup) run() result.Code {
	g.next++
	key, err := model.ParseKey(model.FormatKey(zoneName(0), g.now, fmt.Sprintf("key-%012d", g.next)))
	if err != nil {
		panic(err)
	}
	var out event.Effects
	s := g.nodes[g.first]
	s.Claim(g.now, &event.RequestArrived{ID: g.next, Service: serviceName, Key: key, Digest: uint64(g.next)}, &out)
	g.deliver(g.first, &out)
	decisions := s.TakeDecisions()
	if len(decisions) != 1 || decisions[0].Code != result.Answered {
		return result.LedgerNoMajority
	}
	out.Reset()
	s.Record(g.now, g.next, &model.Answer{Status: 200}, &out)
	g.deliver(g.first, &out)
	return result.Answered
}

// deliver carries messages until none is left.
func (g *ledgerGroup) deliver(from model.InstanceID, out *event.Effects) {
	for _, e := range out.List() {
		s, ok := e.(event.Send)
		if !ok {
			continue
		}
		g.bytes += encoded(s.Message)
		var replies event.Effects
		g.nodes[s.To].Receive(g.now, from, s.Message, &replies)
		g.deliver(s.To, &replies)
	}
}

// benchLedgerKeys measures one key, from claim to recorded outcome at all three
// replicas, while the given number of keys is held.
func benchLedgerKeys(b *testing.B, n int) {
	before := heapBytes()
	g := newLedgerGroup()
	for range n {
		if code := g.run(); code != result.Answered {
			b.Fatalf("code %v", code)
		}
	}
	used := (heapBytes() - before) / float64(len(g.nodes))
	g.bytes = 0
	for b.Loop() {
		// Keys of one retention are held, so an old one leaves for each new one.
		g.now = g.now.Add(model.KeyRetention / model.Duration(n))
		if code := g.run(); code != result.Answered {
			b.Fatalf("code %v", code)
		}
	}
	b.ReportMetric(float64(g.bytes)/float64(b.N), "B/key")
	b.ReportMetric(used, "bytes")
	runtime.KeepAlive(g)
}

// benchLedgerGroups measures what a changed roster costs each instance.
func benchLedgerGroups(b *testing.B, n int) {
	s := ledger.New(instanceName(0), incarnation)
	s.Start(start)
	c := configOf(n)
	s.Configure(start, c)
	for b.Loop() {
		next := *c
		next.Version++
		rosterChange(&next)
		s.Configure(start, &next)
		c = &next
	}
}

// controlGroup is a control group whose disks sync at once and whose links
// deliver at once.
type controlGroup struct {
	nodes  map[model.InstanceID]*agreement.State
	order  []model.InstanceID
	now    model.Time
	leader model.InstanceID
	// leaderBytes counts what the leader sends and receives.
	leaderBytes int
}

func newControlGroup(n int) *controlGroup {
	g := &controlGroup{nodes: map[model.InstanceID]*agreement.State{}, now: start}
	snapshot := message.Snapshot{Index: 1, Term: 1}
	for k := range n {
		id := instanceName(k)
		g.order = append(g.order, id)
		snapshot.Members = append(snapshot.Members, message.GroupMember{ID: model.MemberID{Instance: id, Disk: disk(id)}})
	}
	var out event.Effects
	for _, id := range g.order {
		s := agreement.New(agreement.Config{Instance: id, Group: g.order, Seed: uint64(len(id))})
		s.Restore(g.now, event.StorageLoaded{Disk: disk(id), Snapshot: snapshot,
			Hard: event.HardState{Group: disk(g.order[0]), Term: 1, Commit: 1}}, &out)
		g.nodes[id] = s
		// Members that time out one after the other need no second election.
		g.now = g.now.Add(agreement.HeartbeatInterval)
	}
	for k := 0; k < 100 && g.leader == ""; k++ {
		g.run(agreement.HeartbeatInterval)
		for _, id := range g.order {
			if g.nodes[id].Status(g.now).Current {
				g.leader = id
			}
		}
	}
	return g
}

func disk(id model.InstanceID) model.DiskID { return model.DiskID("disk-" + id) }

// run lets the time pass.
func (g *controlGroup) run(d model.Duration) {
	end := g.now.Add(d)
	for {
		due, who := end, model.InstanceID("")
		for _, id := range g.order {
			if at := g.nodes[id].NextWake(); at != 0 && at < due {
				due, who = at, id
			}
		}
		g.now = max(g.now, due)
		if who == "" {
			return
		}
		var out event.Effects
		g.nodes[who].Wake(g.now, &out)
		g.deliver(who, &out)
	}
}

// deliver carries out effects until none is left.
func (g *controlGroup) deliver(from model.InstanceID, out *event.Effects) {
	for _, e := range out.List() {
		var next event.Effects
		switch e := e.(type) {
		case event.Persist:
			g.nodes[from].Persisted(g.now, e.Seq, &next)
			g.deliver(from, &next)
		case event.Send:
			if from == g.leader || e.To == g.leader {
				g.leaderBytes += encoded(e.Message)
			}
			g.nodes[e.To].Receive(g.now, from, e.Message, &next)
			g.deliver(e.To, &next)
		}
	}
	g.nodes[from].TakeCommitted()
}

// entrySize is the size of an encoded change of a shift.
const entrySize = 400

func benchAgreement(b *testing.B, n int) {
	g := newControlGroup(n)
	if g.leader == "" {
		b.Fatal("no leader")
	}
	g.leaderBytes = 0
	data := make([]byte, entrySize)
	k := 0
	for b.Loop() {
		var out event.Effects
		position, code := g.nodes[g.leader].Propose(g.now, data, &out)
		if code != result.Answered {
			b.Fatalf("code %v", code)
		}
		g.deliver(g.leader, &out)
		if k++; k%1000 == 0 {
			g.compact(position.Index, &out)
		}
	}
	b.ReportMetric(float64(g.leaderBytes)/float64(b.N), "B/entry")
}

// compact keeps the log as short as the product does.
func (g *controlGroup) compact(index uint64, out *event.Effects) {
	g.run(agreement.HeartbeatInterval)
	for _, id := range g.order {
		out.Reset()
		g.nodes[id].TakeCommitted()
		g.nodes[id].Compact(index, nil, out)
		g.deliver(id, out)
	}
}

// benchAgreementSecond measures a second without proposals.
func benchAgreementSecond(b *testing.B, n int) {
	g := newControlGroup(n)
	if g.leader == "" {
		b.Fatal("no leader")
	}
	g.leaderBytes = 0
	for b.Loop() {
		g.run(time.Second)
	}
	b.ReportMetric(float64(g.leaderBytes)/float64(b.N), "B/s")
}
