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

// groupSeries lists the series that measure the ledger and the replicated log of
// the control group.
func groupSeries() []Series {
	return []Series{
		{Name: "ledger_key", Variable: "keys", Sizes: []int{10_000, 30_000, 60_000, 120_000}, DesignSize: 120_000, Bench: benchLedgerKeys,
			Metrics: []Metric{{"ns/op", Log}, {"B/key", Linear}, {"bytes", Linear}}},
		{Name: "ledger_groups", Variable: "nodes", Sizes: append(slices.Clone(InstanceCounts), DesignInstances), DesignSize: DesignInstances,
			Bench: benchLedgerGroups, Metrics: []Metric{{"ns/op", NLogN}}},
		{Name: "agreement_entry", Variable: "members", Sizes: []int{1, 3, 5, 7}, DesignSize: 5, Bench: benchAgreementEntry,
			Metrics: []Metric{{"ns/op", Linear}, {"B/entry", Linear}}},
		{Name: "agreement_second", Variable: "members", Sizes: []int{1, 3, 5, 7}, DesignSize: 5, Bench: benchAgreementSecond,
			Metrics: []Metric{{"ns/op", Linear}, {"B/s", Linear}}},
	}
}

// ledgerGroupSim simulates the three replicas of a ledger group. One of them, the
// claimant, is also the instance that receives the requests and claims their keys.
type ledgerGroupSim struct {
	replicas    map[model.InstanceID]*ledger.State
	claimant    model.InstanceID
	now         model.Time
	lastRequest model.RequestID
	sentBytes   int
}

func newLedgerGroupSim() *ledgerGroupSim {
	sim := &ledgerGroupSim{replicas: map[model.InstanceID]*ledger.State{}, now: startTime}
	c := newConfig(3 * numZones)
	members := c.LedgerGroup(zoneName(0))
	sim.claimant = members[0]
	for _, id := range members {
		s := ledger.New(id, incarnation)
		s.Start(sim.now)
		s.Configure(sim.now, c)
		sim.replicas[id] = s
	}
	sim.now = sim.now.Add(10 * time.Second)
	return sim
}

// claimAndRecord claims a new idempotency key and records a response without a
// body as its outcome.
func (sim *ledgerGroupSim) claimAndRecord() result.Code {
	sim.lastRequest++
	key, err := model.ParseKey(model.FormatKey(zoneName(0), sim.now, fmt.Sprintf("key-%012d", sim.lastRequest)))
	if err != nil {
		panic(err)
	}
	var out event.Effects
	s := sim.replicas[sim.claimant]
	s.Claim(sim.now, &event.RequestArrived{ID: sim.lastRequest, Service: serviceName, Key: key, Digest: uint64(sim.lastRequest)}, &out)
	sim.deliver(sim.claimant, &out)
	decisions := s.TakeDecisions()
	if len(decisions) != 1 || decisions[0].Code != result.Success {
		return result.LedgerNoMajority
	}
	out.Reset()
	s.Record(sim.now, sim.lastRequest, &model.Answer{Status: 200}, &out)
	sim.deliver(sim.claimant, &out)
	return result.Success
}

// deliver delivers the messages in out, which the replica from sends, then the
// replies to them, and so on until there are no more replies.
func (sim *ledgerGroupSim) deliver(from model.InstanceID, out *event.Effects) {
	for _, e := range out.List() {
		s, ok := e.(event.Send)
		if !ok {
			continue
		}
		sim.sentBytes += encodedSize(s.Message)
		var replies event.Effects
		sim.replicas[s.To].Receive(sim.now, from, s.Message, &replies)
		sim.deliver(s.To, &replies)
	}
}

// benchLedgerKeys measures the processor time and the sent bytes for one
// idempotency key, from its claim until all three replicas have recorded its
// outcome. The replicas already store the given number of keys. It also measures
// the heap size of one replica.
func benchLedgerKeys(b *testing.B, keys int) {
	heapBefore := heapBytes()
	sim := newLedgerGroupSim()
	for range keys {
		if code := sim.claimAndRecord(); code != result.Success {
			b.Fatalf("code %v", code)
		}
	}
	usedBytes := (heapBytes() - heapBefore) / float64(len(sim.replicas))
	sim.sentBytes = 0
	for b.Loop() {
		// The replicas store each key for model.KeyRetention. With this time
		// between two keys, one key expires for each new key.
		sim.now = sim.now.Add(model.KeyRetention / model.Duration(keys))
		if code := sim.claimAndRecord(); code != result.Success {
			b.Fatalf("code %v", code)
		}
	}
	b.ReportMetric(float64(sim.sentBytes)/float64(b.N), "B/key")
	b.ReportMetric(usedBytes, "bytes")
	runtime.KeepAlive(sim)
}

// benchLedgerGroups measures how long an instance takes to recompute the ledger
// groups when the roster of n instances has changed.
func benchLedgerGroups(b *testing.B, n int) {
	s := ledger.New(instanceName(0), incarnation)
	s.Start(startTime)
	c := newConfig(n)
	s.Configure(startTime, c)
	for b.Loop() {
		next := *c
		next.Version++
		moveInstance(&next)
		s.Configure(startTime, &next)
		c = &next
	}
}

// controlGroupSim simulates a control group whose disks sync immediately and
// whose messages arrive immediately.
type controlGroupSim struct {
	members   map[model.InstanceID]*agreement.State
	memberIDs []model.InstanceID
	now       model.Time
	leader    model.InstanceID
	// leaderBytes counts the bytes that the leader sends and receives.
	leaderBytes int
}

// newControlGroupSim returns a simulated control group of n members that has
// elected a leader. The field leader is empty if the election failed.
func newControlGroupSim(n int) *controlGroupSim {
	sim := &controlGroupSim{members: map[model.InstanceID]*agreement.State{}, now: startTime}
	snapshot := message.Snapshot{Index: 1, Term: 1}
	for k := range n {
		id := instanceName(k)
		sim.memberIDs = append(sim.memberIDs, id)
		snapshot.Members = append(snapshot.Members, message.GroupMember{ID: model.MemberID{Instance: id, Disk: diskID(id)}})
	}
	var out event.Effects
	for _, id := range sim.memberIDs {
		s := agreement.New(agreement.Config{Instance: id, Group: sim.memberIDs, Seed: uint64(len(id))})
		s.Restore(sim.now, event.StorageLoaded{Disk: diskID(id), Snapshot: snapshot,
			Hard: event.HardState{Group: diskID(sim.memberIDs[0]), Term: 1, Commit: 1}}, &out)
		sim.members[id] = s
		// The members start at different times, so that their election timeouts
		// end at different times and votes are not split.
		sim.now = sim.now.Add(agreement.HeartbeatInterval)
	}
	for k := 0; k < 100 && sim.leader == ""; k++ {
		sim.advance(agreement.HeartbeatInterval)
		for _, id := range sim.memberIDs {
			if sim.members[id].Status(sim.now).Current {
				sim.leader = id
			}
		}
	}
	return sim
}

// diskID returns the identifier of the disk of a simulated member.
func diskID(id model.InstanceID) model.DiskID { return model.DiskID("disk-" + id) }

// advance advances the virtual time by the duration and wakes each member whenever
// its timer is due.
func (sim *controlGroupSim) advance(duration model.Duration) {
	end := sim.now.Add(duration)
	for {
		nextTime, nextMember := end, model.InstanceID("")
		for _, id := range sim.memberIDs {
			if at := sim.members[id].NextWake(); at != 0 && at < nextTime {
				nextTime, nextMember = at, id
			}
		}
		sim.now = max(sim.now, nextTime)
		if nextMember == "" {
			return
		}
		var out event.Effects
		sim.members[nextMember].Wake(sim.now, &out)
		sim.deliver(nextMember, &out)
	}
}

// deliver executes the effects of a member, then the effects that they cause at
// other members, and so on until there are no more effects.
func (sim *controlGroupSim) deliver(from model.InstanceID, out *event.Effects) {
	for _, e := range out.List() {
		var next event.Effects
		switch e := e.(type) {
		case event.Persist:
			sim.members[from].Persisted(sim.now, e.Seq, &next)
			sim.deliver(from, &next)
		case event.Send:
			if from == sim.leader || e.To == sim.leader {
				sim.leaderBytes += encodedSize(e.Message)
			}
			sim.members[e.To].Receive(sim.now, from, e.Message, &next)
			sim.deliver(e.To, &next)
		}
	}
	sim.members[from].TakeCommitted()
}

// entryBytes is the size of a log entry in the benchmark: that of an encoded change
// that sets a traffic shift.
const entryBytes = 400

// benchAgreementEntry measures a control group of n members while it adds one entry
// to its log, from the proposal until the entry is committed: the processor time of
// all members, and the bytes that the leader sends and receives.
func benchAgreementEntry(b *testing.B, n int) {
	sim := newControlGroupSim(n)
	if sim.leader == "" {
		b.Fatal("no leader")
	}
	sim.leaderBytes = 0
	data := make([]byte, entryBytes)
	proposals := 0
	for b.Loop() {
		var out event.Effects
		position, code := sim.members[sim.leader].Propose(sim.now, data, &out)
		if code != result.Success {
			b.Fatalf("code %v", code)
		}
		sim.deliver(sim.leader, &out)
		if proposals++; proposals%1000 == 0 {
			sim.compact(position.Index, &out)
		}
	}
	b.ReportMetric(float64(sim.leaderBytes)/float64(b.N), "B/entry")
}

// compact replaces the log of each member, up to the index, by a snapshot without
// data. It keeps the logs short, as running instances do.
func (sim *controlGroupSim) compact(index uint64, out *event.Effects) {
	sim.advance(agreement.HeartbeatInterval)
	for _, id := range sim.memberIDs {
		out.Reset()
		sim.members[id].TakeCommitted()
		sim.members[id].Compact(index, nil, out)
		sim.deliver(id, out)
	}
}

// benchAgreementSecond measures a control group of n members in one second without
// proposals: the processor time of all members, and the bytes that the leader sends
// and receives.
func benchAgreementSecond(b *testing.B, n int) {
	sim := newControlGroupSim(n)
	if sim.leader == "" {
		b.Fatal("no leader")
	}
	sim.leaderBytes = 0
	for b.Loop() {
		sim.advance(time.Second)
	}
	b.ReportMetric(float64(sim.leaderBytes)/float64(b.N), "B/s")
}
