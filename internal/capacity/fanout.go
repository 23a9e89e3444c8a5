package capacity

import (
	"slices"
	"testing"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/distribution"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// linkDelay is the one-way latency of every link.
const linkDelay = 55 * time.Millisecond

// control plays the replicated log: instance 0 leads it.
type control struct{ leads bool }

// Status implements distribution.ControlGroup.
func (c control) Status(model.Time) distribution.ControlStatus {
	return distribution.ControlStatus{Member: c.leads, Leading: c.leads, Current: c.leads,
		Leader: instanceName(0), Term: 1, Members: []model.InstanceID{instanceName(0)}}
}

// Propose implements distribution.ControlGroup.
func (control) Propose(model.Time, *change.Change, *event.Effects) result.Code {
	return result.NotLeader
}

// DryRun implements distribution.StateMachine.
func (control) DryRun(*change.Change) (change.Result, *model.Config) { return change.Result{}, nil }

// History implements distribution.StateMachine.
func (control) History(int) []change.Entry { return nil }

// Version implements distribution.StateMachine.
func (control) Version() model.Version { return 0 }

// Install implements distribution.Installer.
func (control) Install(model.Time, *model.Config, *event.Effects) {}

// delivery is a message on its way.
type delivery struct {
	at       model.Time
	from, to int
	m        message.Message
}

// fanout is the distribution of n linked instances.
type fanout struct {
	nodes  []*distribution.State
	index  map[model.InstanceID]int
	config *model.Config
	now    model.Time
	queue  []delivery // in order of time, since all links have one latency
	// bytes counts what each instance sends and receives, total what all send.
	bytes []int
	total int
}

func newFanout(n int) *fanout {
	f := &fanout{index: map[model.InstanceID]int{}, config: configOf(n), now: start, bytes: make([]int, n)}
	for k := range n {
		f.index[instanceName(k)] = k
		c := control{leads: k == 0}
		f.nodes = append(f.nodes, distribution.New(distribution.Identity{ID: instanceName(k),
			Incarnation: incarnation, Zone: zoneName(k), Seed: uint64(k)}, c, c, c))
	}
	var out event.Effects
	for k, s := range f.nodes {
		for other := range n {
			if other != k {
				s.PeerConnected(f.now, instanceName(other), incarnation, zoneName(other), &out)
			}
			out.Reset()
		}
		s.Load(f.now, f.config, &out)
	}
	return f
}

// collect puts the messages of a step on their way.
func (f *fanout) collect(from int, out *event.Effects) {
	for _, e := range out.List() {
		if s, ok := e.(event.Send); ok {
			size := encoded(s.Message)
			to := f.index[s.To]
			f.bytes[from] += size
			f.bytes[to] += size
			f.total += size
			f.queue = append(f.queue, delivery{f.now.Add(linkDelay), from, to, s.Message})
		}
	}
}

// spread commits a change at instance 0 and runs until all messages have
// arrived. It returns the time until the change is in force everywhere.
func (f *fanout) spread(next *model.Config) model.Duration {
	var out event.Effects
	begin, last := f.now, f.now
	previous := f.config.Version
	f.config = next
	f.nodes[0].ChangeCommitted(f.now, &change.Change{Expected: previous}, change.Result{Code: result.Answered, Version: next.Version}, next, &out)
	f.collect(0, &out)
	acks := map[int]bool{}
	for len(f.queue) > 0 || len(acks) > 0 {
		if len(f.queue) == 0 {
			// Only acknowledgements wait, all of them with one short delay.
			f.now = f.now.Add(linkDelay)
			f.flush(acks)
			continue
		}
		d := f.queue[0]
		f.queue = f.queue[1:]
		if d.at > f.now {
			f.now = d.at
			f.flush(acks)
		}
		s := f.nodes[d.to]
		before := s.Version()
		out.Reset()
		s.Receive(f.now, instanceName(d.from), d.m, &out)
		f.collect(d.to, &out)
		if s.Version() > before {
			last = f.now
		}
		acks[d.to] = true
	}
	return last.Sub(begin)
}

// flush wakes the instances that received something.
func (f *fanout) flush(nodes map[int]bool) {
	order := make([]int, 0, len(nodes))
	for k := range nodes {
		order = append(order, k)
	}
	slices.Sort(order)
	clear(nodes)
	var out event.Effects
	for _, k := range order {
		out.Reset()
		f.nodes[k].Wake(f.now, &out)
		f.collect(k, &out)
	}
}

func distributionSeries() []Series {
	spread := func(g Growth) []Metric {
		return []Metric{{"ns/op", g}, {"ms", Log}, {"root-B", Linear}, {"mean-B", Linear}}
	}
	series := func(name string, bench func(*testing.B, int), metrics ...Metric) Series {
		return Series{Name: name, Variable: "nodes", Sizes: NodeSizes, Design: DesignNodes, Metrics: metrics, Bench: bench}
	}
	return []Series{
		series("change_shift", func(b *testing.B, n int) { benchSpread(b, n, shiftChange) }, spread(NLogN)...),
		series("change_roster", func(b *testing.B, n int) { benchSpread(b, n, rosterChange) }, spread(Quadratic)...),
		series("status", benchStatus, Metric{"ns/op", NLogN}, Metric{"reply-B", Linear}),
	}
}

// shiftChange replaces a traffic shift, the most frequent kind of change.
func shiftChange(c *model.Config) {
	c.Shifts = []model.Shift{{ID: "shift-1", Service: serviceName, From: "region-00", To: "region-01",
		Percent: int(c.Version % 100), Cap: 100}}
}

// rosterChange moves an instance, another one with each version, to a zone that
// it has not just been in.
func rosterChange(c *model.Config) {
	c.Roster = slices.Clone(c.Roster)
	n := len(c.Roster)
	k, pass := int(c.Version)%n, int(c.Version)/n
	c.Roster[k].Zone = zoneName(k + 1 + pass)
}

func benchSpread(b *testing.B, n int, alter func(*model.Config)) {
	f := newFanout(n)
	var longest model.Duration
	root, total := f.bytes[0], f.total
	for b.Loop() {
		next := *f.config
		next.Version++
		alter(&next)
		longest = max(longest, f.spread(&next))
	}
	for k, s := range f.nodes {
		if s.Version() != f.config.Version {
			b.Fatalf("instance %d has version %d of %d", k, s.Version(), f.config.Version)
		}
	}
	b.ReportMetric(float64(longest.Milliseconds()), "ms")
	b.ReportMetric(float64(f.bytes[0]-root)/float64(b.N), "root-B")
	b.ReportMetric(float64(f.total-total)/float64(b.N)/float64(n), "mean-B")
}

// benchStatus measures the answer of the leader to a status request.
func benchStatus(b *testing.B, n int) {
	c := control{leads: true}
	s := distribution.New(distribution.Identity{ID: instanceName(0), Incarnation: incarnation, Zone: zoneName(0), Seed: 1}, c, c, c)
	var out event.Effects
	for k := 1; k < n; k++ {
		s.PeerConnected(start, instanceName(k), incarnation, zoneName(k), &out)
	}
	s.Load(start, configOf(n), &out)
	size := 0
	for b.Loop() {
		out.Reset()
		s.QueryStatus(start, event.StatusRequested{Call: 1}, &out)
		for _, e := range out.List() {
			if r, ok := e.(event.StatusReply); ok {
				size = encoded(&message.ControlReply{Status: r.Status})
			}
		}
	}
	if size == 0 {
		b.Fatal("no answer")
	}
	b.ReportMetric(float64(size), "reply-B")
}
