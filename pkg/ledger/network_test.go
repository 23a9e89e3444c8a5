package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// epoch is the virtual time at which every test network starts.
const epoch = model.Time(1_700_000_000 * 1e9)

// node is one process of an instance. A restart replaces the node by a new one.
type node struct {
	id    model.InstanceID
	state *State
	// skew is how far the clock of the process is ahead of network.now.
	skew model.Duration
	// requests holds the requests that this process received.
	requests map[model.RequestID]*request
}

// request is a caller's request with a key, and the ledger's decision on the
// request once done is true.
type request struct {
	id        model.RequestID
	key       model.IdempotencyKey
	digest    uint64
	arrivedAt model.Time
	node      *node
	done      bool
	code      result.Code
	answer    *model.Answer
}

// grant records that the request with a key was permitted to execute. The grant is
// deleted when the request ends as provably not executed.
type grant struct {
	digest    uint64
	grantedAt model.Time
	answer    *model.Answer
}

// network runs the ledgers of several instances in virtual time.
type network struct {
	rng           *rand.Rand
	now           model.Time
	queue         scheduledStepHeap
	seq           int
	config        *model.Config
	nodes         []*node
	disabledRules disabledRules
	// maxBytes limits the memory of each replica, 0 for maxReplicaBytes.
	maxBytes        int
	lossRate        float64
	duplicationRate float64
	maxDelay        model.Duration
	// blocked holds the pairs of sender and receiver whose messages are lost.
	blocked map[[2]model.InstanceID]bool
	// onGranted is called for each request that was permitted to execute. If
	// onGranted is nil, finishRandomly is called instead.
	onGranted func(r *request)
	// onOutcomeReply is called with the result of each query.
	onOutcomeReply func(event.OutcomeReply)
	nextID         model.RequestID
	grants         map[string]*grant
	violations     []string
	// decisionCounts counts the decisions by result code.
	decisionCounts map[result.Code]int
}

func newNetwork(seed uint64) *network {
	n := &network{
		rng:            rand.New(rand.NewPCG(seed, 7)),
		now:            epoch,
		maxDelay:       time.Millisecond,
		blocked:        map[[2]model.InstanceID]bool{},
		grants:         map[string]*grant{},
		decisionCounts: map[result.Code]int{},
		config: &model.Config{
			Version: 1,
			Zones:   []model.ZoneInfo{{Zone: "a", Region: "r"}, {Zone: "b", Region: "r"}, {Zone: "c", Region: "s"}},
			Roster:  []model.RosterEntry{{ID: "a1", Zone: "a"}, {ID: "a2", Zone: "a"}, {ID: "b1", Zone: "b"}, {ID: "c1", Zone: "c"}, {ID: "c2", Zone: "c"}},
		},
	}
	for _, r := range n.config.Roster {
		n.nodes = append(n.nodes, &node{id: r.ID})
	}
	for k := range n.nodes {
		n.restart(k)
	}
	n.run(5 * time.Second)
	return n
}

// restart replaces the process of an instance with a new process, whose ledger has
// no entries.
func (n *network) restart(k int) {
	old := n.nodes[k]
	p := &node{id: old.id, skew: old.skew, requests: map[model.RequestID]*request{}}
	p.state = New(p.id, model.Incarnation(n.now))
	p.state.disabledRules = n.disabledRules
	if n.maxBytes > 0 {
		p.state.replica.maxBytes = n.maxBytes
	}
	p.state.Start(n.clock(p))
	p.state.Configure(n.clock(p), n.config)
	n.nodes[k] = p
}

func (n *network) clock(p *node) model.Time { return n.now.Add(p.skew) }

func (n *network) key(issued model.Time, name string) model.IdempotencyKey {
	k, err := model.ParseKey(model.FormatKey("a", issued, name+"-random-part"))
	if err != nil {
		panic(err)
	}
	return k
}

// send sends a caller's request with the key to an instance.
func (n *network) send(k int, key model.IdempotencyKey, digest uint64, timeout model.Duration) *request {
	p := n.nodes[k]
	n.nextID++
	r := &request{id: n.nextID, key: key, digest: digest, arrivedAt: n.now, node: p}
	p.requests[n.nextID] = r
	ev := event.RequestArrived{ID: n.nextID, Key: key, Digest: digest, Timeout: timeout}
	n.step(p, func(out *event.Effects) { p.state.Claim(n.clock(p), &ev, out) })
	return r
}

// step runs one reducer step of a process, executes the effects of the step and
// checks the decisions that the ledger made in it.
func (n *network) step(p *node, f func(*event.Effects)) {
	var out event.Effects
	f(&out)
	for _, e := range out.List() {
		switch e := e.(type) {
		case event.Send:
			n.transmit(p.id, e.To, e.Message)
		case event.OutcomeReply:
			n.onOutcomeReply(e)
		case event.InvariantFailed:
			n.addViolation("invariant %s: %s", e.Name, e.Detail)
		}
	}
	for _, d := range p.state.TakeDecisions() {
		n.checkDecision(p, d)
	}
	if at := p.state.NextWake(); at != 0 {
		n.schedule(max(0, at.Sub(n.clock(p))), func() {
			if n.isRunning(p) && p.state.NextWake() == at {
				n.step(p, func(out *event.Effects) { p.state.Wake(n.clock(p), out) })
			}
		})
	}
}

func (n *network) isRunning(p *node) bool {
	for _, q := range n.nodes {
		if p == q {
			return true
		}
	}
	return false
}

// transmit delivers a message after a random delay. At random, it loses the message
// or delivers it twice.
func (n *network) transmit(from, to model.InstanceID, m message.Message) {
	copies := 1
	if n.rng.Float64() < n.duplicationRate {
		copies = 2
	}
	for range copies {
		if n.blocked[[2]model.InstanceID{from, to}] || n.rng.Float64() < n.lossRate {
			continue
		}
		n.schedule(model.Duration(n.rng.Int64N(int64(n.maxDelay)+1)), func() {
			for _, p := range n.nodes {
				if p.id == to {
					n.step(p, func(out *event.Effects) { p.state.Receive(n.clock(p), from, m, out) })
				}
			}
		})
	}
}

// checkDecision adds a violation if a decision contradicts earlier decisions or
// answers for the same key. It starts the execution of a request that was granted
// its key.
func (n *network) checkDecision(p *node, d Decision) {
	r := p.requests[d.Request]
	r.done, r.code, r.answer = true, d.Code, d.Answer
	n.decisionCounts[d.Code]++
	g := n.grants[r.key.Text]
	switch {
	case d.Answer != nil:
		if g == nil || g.digest != r.digest || g.answer != d.Answer {
			n.addViolation("key %s: replayed answer differs from the recorded one", r.key.Text)
		}
	case d.Code == result.Success:
		if g != nil {
			n.addViolation("key %s was granted twice", r.key.Text)
		}
		n.grants[r.key.Text] = &grant{digest: r.digest, grantedAt: n.now}
		if n.onGranted != nil {
			n.onGranted(r)
			return
		}
		n.finishRandomly(r)
	case d.Code.Class() == result.NotRun:
		// A grant made after this request arrived is no violation: the caller then
		// sent this request while its other request was still in progress.
		if g != nil && g.digest == r.digest && g.grantedAt < r.arrivedAt {
			n.addViolation("key %s: %v although the request may have been executed", r.key.Text, d.Code)
		}
	}
}

// finishRandomly ends a granted request after a random delay: with an answer in
// 60 % of the cases, as provably not executed in 30 %, and with an unknown
// outcome in 10 %.
func (n *network) finishRandomly(r *request) {
	choice := n.rng.IntN(10)
	n.schedule(model.Duration(n.rng.Int64N(int64(300*time.Millisecond))), func() {
		p := r.node
		if !n.isRunning(p) {
			return
		}
		switch {
		case choice < 6:
			n.record(r, &model.Answer{Status: 200, Body: []byte(r.key.Text)})
		case choice < 9:
			delete(n.grants, r.key.Text)
			n.step(p, func(out *event.Effects) { p.state.Abandon(n.clock(p), r.id, out) })
		}
	})
}

func (n *network) record(r *request, a *model.Answer) {
	// If a rule is switched off, a second request with the key may have been
	// granted and ended as not executed, which deletes the grant.
	if g := n.grants[r.key.Text]; g != nil {
		g.answer = a
	}
	n.step(r.node, func(out *event.Effects) { r.node.state.Record(n.clock(r.node), r.id, a, out) })
}

func (n *network) addViolation(format string, args ...any) {
	n.violations = append(n.violations, fmt.Sprintf(format, args...))
}

func (n *network) schedule(d model.Duration, f func()) {
	n.seq++
	heap.Push(&n.queue, scheduledStep{n.now.Add(d), n.seq, f})
}

// run advances the virtual time and executes the steps that become due.
func (n *network) run(d model.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && n.queue[0].at <= end {
		step := heap.Pop(&n.queue).(scheduledStep)
		n.now = max(n.now, step.at)
		step.run()
	}
	n.now = end
}

type scheduledStep struct {
	at  model.Time
	seq int
	run func()
}

type scheduledStepHeap []scheduledStep

func (h scheduledStepHeap) Len() int { return len(h) }
func (h scheduledStepHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h scheduledStepHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *scheduledStepHeap) Push(x any)   { *h = append(*h, x.(scheduledStep)) }
func (h *scheduledStepHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}
