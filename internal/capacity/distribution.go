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

// oneWayLatency is the simulated network latency of a message between any two
// instances.
const oneWayLatency = 55 * time.Millisecond

// stubGroup is a stub of the control group in one simulated instance. Instance 0
// is the leader and the only member of the group. isLeader is true in the stub of
// instance 0.
type stubGroup struct{ isLeader bool }

// Status implements distribution.ControlGroup.
func (c stubGroup) Status(model.Time) distribution.ControlStatus {
	return distribution.ControlStatus{Member: c.isLeader, Leading: c.isLeader, Current: c.isLeader,
		Leader: instanceName(0), Term: 1, Members: []model.InstanceID{instanceName(0)}}
}

// Propose implements distribution.ControlGroup.
func (stubGroup) Propose(model.Time, *change.Change, *event.Effects) result.Code {
	return result.NotLeader
}

// DryRun implements distribution.StateMachine.
func (stubGroup) DryRun(*change.Change) (change.Result, *model.Config) { return change.Result{}, nil }

// History implements distribution.StateMachine.
func (stubGroup) History(int) []change.Entry { return nil }

// Version implements distribution.StateMachine.
func (stubGroup) Version() model.Version { return 0 }

// Install implements distribution.Installer.
func (stubGroup) Install(model.Time, *model.Config, *event.Effects) {}

// delivery is a message in flight between two simulated instances, which are
// identified by their indexes.
type delivery struct {
	arrivesAt model.Time
	from, to  int
	message   message.Message
}

// distributionSim simulates how a new configuration is distributed among instances
// that are all connected to each other.
type distributionSim struct {
	instances []*distribution.State
	indexOf   map[model.InstanceID]int
	config    *model.Config
	now       model.Time
	// queue holds the messages in flight. All have the same latency, so they
	// arrive in the order in which they were queued.
	queue []delivery
	// transferredBytes holds, for each instance, the sum of the bytes that it has
	// sent and received.
	transferredBytes []int
	// sentBytes counts the bytes that all instances together have sent.
	sentBytes int
}

func newDistributionSim(n int) *distributionSim {
	sim := &distributionSim{indexOf: map[model.InstanceID]int{}, config: newConfig(n), now: startTime, transferredBytes: make([]int, n)}
	for k := range n {
		sim.indexOf[instanceName(k)] = k
		group := stubGroup{isLeader: k == 0}
		sim.instances = append(sim.instances, distribution.New(distribution.Identity{ID: instanceName(k),
			Incarnation: incarnation, Zone: zoneName(k), Seed: uint64(k)}, group, group, group))
	}
	var out event.Effects
	for k, s := range sim.instances {
		for peer := range n {
			if peer != k {
				s.PeerConnected(sim.now, instanceName(peer), incarnation, zoneName(peer), &out)
			}
			out.Reset()
		}
		s.Load(sim.now, sim.config, &out)
	}
	return sim
}

// enqueueSends queues the messages that the instance with the index from sends,
// and counts their bytes.
func (sim *distributionSim) enqueueSends(from int, out *event.Effects) {
	for _, e := range out.List() {
		if s, ok := e.(event.Send); ok {
			size := encodedSize(s.Message)
			to := sim.indexOf[s.To]
			sim.transferredBytes[from] += size
			sim.transferredBytes[to] += size
			sim.sentBytes += size
			sim.queue = append(sim.queue, delivery{sim.now.Add(oneWayLatency), from, to, s.Message})
		}
	}
}

// distribute reports a committed change to instance 0, with next as the resulting
// configuration. It runs the simulation until no message is in flight and no
// acknowledgement is pending. It returns the time from the commit until next is in
// force at all instances.
func (sim *distributionSim) distribute(next *model.Config) model.Duration {
	var out event.Effects
	committedAt, lastInForce := sim.now, sim.now
	replaced := sim.config.Version
	sim.config = next
	sim.instances[0].ChangeCommitted(sim.now, &change.Change{Expected: replaced}, change.Result{Code: result.Success, Version: next.Version}, next, &out)
	sim.enqueueSends(0, &out)
	// received holds the indexes of the instances that have received a message
	// since they were last woken.
	received := map[int]bool{}
	for len(sim.queue) > 0 || len(received) > 0 {
		if len(sim.queue) == 0 {
			// Only delayed acknowledgements remain. All instances delay them by the
			// same time. It is shorter than oneWayLatency, so after oneWayLatency
			// every instance sends its acknowledgements when it is woken.
			sim.now = sim.now.Add(oneWayLatency)
			sim.wakeInstances(received)
			continue
		}
		due := sim.queue[0]
		sim.queue = sim.queue[1:]
		if due.arrivesAt > sim.now {
			sim.now = due.arrivesAt
			sim.wakeInstances(received)
		}
		receiver := sim.instances[due.to]
		versionBefore := receiver.Version()
		out.Reset()
		receiver.Receive(sim.now, instanceName(due.from), due.message, &out)
		sim.enqueueSends(due.to, &out)
		if receiver.Version() > versionBefore {
			lastInForce = sim.now
		}
		received[due.to] = true
	}
	return lastInForce.Sub(committedAt)
}

// wakeInstances wakes the instances whose indexes are in received, in ascending
// order, and clears received.
func (sim *distributionSim) wakeInstances(received map[int]bool) {
	order := make([]int, 0, len(received))
	for k := range received {
		order = append(order, k)
	}
	slices.Sort(order)
	clear(received)
	var out event.Effects
	for _, k := range order {
		out.Reset()
		sim.instances[k].Wake(sim.now, &out)
		sim.enqueueSends(k, &out)
	}
}

// distributionSeries lists the series that measure the distribution of
// configurations and the status of the deployment.
func distributionSeries() []Series {
	distributionMetrics := func(growth Growth) []Metric {
		return []Metric{{"ns/op", growth}, {"ms", Log}, {"root-B", Linear}, {"mean-B", Linear}}
	}
	series := func(name string, bench func(*testing.B, int), metrics ...Metric) Series {
		return Series{Name: name, Variable: "nodes", Sizes: InstanceCounts, DesignSize: DesignInstances, Metrics: metrics, Bench: bench}
	}
	return []Series{
		series("change_shift", func(b *testing.B, n int) { benchDistribution(b, n, replaceShift) }, distributionMetrics(NLogN)...),
		series("change_roster", func(b *testing.B, n int) { benchDistribution(b, n, moveInstance) }, distributionMetrics(Quadratic)...),
		series("status", benchStatus, Metric{"ns/op", NLogN}, Metric{"reply-B", Linear}),
	}
}

// replaceShift edits a configuration by the most frequent kind of change: it
// replaces a traffic shift.
func replaceShift(c *model.Config) {
	c.Shifts = []model.Shift{{ID: "shift-1", Service: serviceName, From: "region-00", To: "region-01",
		Percent: int(c.Version % 100), Cap: 100}}
}

// moveInstance edits a configuration: it moves one instance of the roster to
// another zone. The version of the configuration selects the instance, so that
// consecutive versions move different instances. Each pass over the roster uses
// the next zone, so that an instance never moves to the zone in which it is.
func moveInstance(c *model.Config) {
	c.Roster = slices.Clone(c.Roster)
	n := len(c.Roster)
	index, pass := int(c.Version)%n, int(c.Version)/n
	c.Roster[index].Zone = zoneName(index + 1 + pass)
}

// benchDistribution measures the distribution of one change to n instances. It
// reports the processor time, the longest time until a change was in force at all
// instances ("ms"), the bytes that the root of the distribution tree sends and
// receives ("root-B"), and the mean number of bytes that an instance sends
// ("mean-B").
func benchDistribution(b *testing.B, n int, edit func(*model.Config)) {
	sim := newDistributionSim(n)
	var longestDelay model.Duration
	rootBefore, sentBefore := sim.transferredBytes[0], sim.sentBytes
	for b.Loop() {
		next := *sim.config
		next.Version++
		edit(&next)
		longestDelay = max(longestDelay, sim.distribute(&next))
	}
	for k, s := range sim.instances {
		if s.Version() != sim.config.Version {
			b.Fatalf("instance %d has version %d of %d", k, s.Version(), sim.config.Version)
		}
	}
	b.ReportMetric(float64(longestDelay.Milliseconds()), "ms")
	b.ReportMetric(float64(sim.transferredBytes[0]-rootBefore)/float64(b.N), "root-B")
	b.ReportMetric(float64(sim.sentBytes-sentBefore)/float64(b.N)/float64(n), "mean-B")
}

// benchStatus measures how long the leader takes to answer a status request while
// it is connected to n-1 instances, and the size of its reply ("reply-B").
func benchStatus(b *testing.B, n int) {
	group := stubGroup{isLeader: true}
	leader := distribution.New(distribution.Identity{ID: instanceName(0), Incarnation: incarnation, Zone: zoneName(0), Seed: 1}, group, group, group)
	var out event.Effects
	for k := 1; k < n; k++ {
		leader.PeerConnected(startTime, instanceName(k), incarnation, zoneName(k), &out)
	}
	leader.Load(startTime, newConfig(n), &out)
	replyBytes := 0
	for b.Loop() {
		out.Reset()
		leader.QueryStatus(startTime, event.StatusRequested{Call: 1}, &out)
		for _, e := range out.List() {
			if r, ok := e.(event.StatusReply); ok {
				replyBytes = encodedSize(&message.ControlReply{Status: r.Status})
			}
		}
	}
	if replyBytes == 0 {
		b.Fatal("no status reply")
	}
	b.ReportMetric(float64(replyBytes), "reply-B")
}
