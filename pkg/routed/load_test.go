package routed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/balance"
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/registry"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
)

// load describes a deployment of one service and the requests of its callers. All
// entry instances run the real reducer, in virtual time; upstreams, network and
// callers are simulated.
type load struct {
	// zones and upstreamsPerZone describe the upstreams, entriesPerZone the entry
	// instances. All zones get the same number of requests.
	zones            []model.Zone
	regions          map[model.Zone]model.Region
	upstreamsPerZone []int
	entriesPerZone   int
	// slots, queue and cacheSize are those of one upstream, in requests and objects.
	slots, queue, cacheSize int
	objects                 int
	// perSecond returns the rate of new requests at a time since the start.
	perSecond func(time.Duration) float64
	// zoneWeights are the shares of the zones in the requests, nil for equal ones.
	zoneWeights []float64
	// uncached and cached are the mean work times. They vary by 15 in 100.
	uncached, cached time.Duration
	objective        time.Duration
	// timeout is that of the route, deadline that of the callers.
	timeout, deadline time.Duration
	regionDelay       time.Duration
	length            time.Duration
}

// served counts the requests that callers sent in a window of two seconds, by what
// they got.
type served struct{ asked, inObjective, late, failed int }

// played is the result of a play.
type played struct {
	windows []served
	// runs counts the runs that upstreams began, abandoned those that were ended by
	// a deadline, and uncached those on objects that were not cached.
	runs, abandoned, uncached, refusedByUpstream int
}

// between returns the sums over the windows from one time to another.
func (p *played) between(from, to time.Duration) served {
	var sum served
	for i, w := range p.windows {
		if t := time.Duration(i) * loadWindow; t >= from && t < to {
			sum.asked += w.asked
			sum.inObjective += w.inObjective
			sum.late += w.late
			sum.failed += w.failed
		}
	}
	return sum
}

// share returns the share of the requests that met the objective, and of those that
// were served at all.
func (s served) share() (inObjective, total float64) {
	n := float64(max(1, s.asked))
	return float64(s.inObjective) / n, float64(s.inObjective+s.late) / n
}

const loadWindow = 2 * time.Second

// player plays a load.
type player struct {
	load
	at        model.Time
	calls     alarm.Queue[func()]
	random    *rand.Rand
	table     *catalog.Table
	entries   []*entrySim
	upstreams map[model.UpstreamID]*upstreamSim
	lastID    model.RequestID
	result    played
}

// entrySim is an entry instance.
type entrySim struct {
	player   *player
	zone     model.Zone
	state    *routed.State
	wakeAt   model.Time
	requests map[model.RequestID]*callerRequest
	sends    map[model.RequestID]*upstreamSend
}

// callerRequest is a request of a caller, who retries it once.
type callerRequest struct {
	zone        int
	object      string
	firstSentAt model.Time
	retried     bool
}

// upstreamSim is an upstream with slots, a queue and a cache. cached holds its
// objects, the most recently used last.
type upstreamSim struct {
	zone    model.Zone
	running map[*upstreamSend]bool
	queue   []*upstreamSend
	cached  []string
}

// upstreamSend is one send of a request to an upstream.
type upstreamSend struct {
	entry    *entrySim
	upstream *upstreamSim
	forward  event.Forward
	object   string
	sentAt   model.Time
	done     bool
}

// play plays the load with the seed.
func (l load) play(seed uint64) *played {
	p := &player{load: l, at: start, random: rand.New(rand.NewPCG(seed, 7)), upstreams: map[model.UpstreamID]*upstreamSim{}}
	c := catalog.New()
	c.Merge(model.Item{Key: model.ItemKey{Kind: model.ServiceItem, Name: "reads"}, Version: 1, Service: &model.ServiceSpec{}})
	c.Merge(model.Item{Key: model.ItemKey{Kind: model.RouteItem, Name: "r"}, Version: 1, Route: &model.Route{
		Host: "h", Prefix: "/", Timeout: l.timeout, Objective: l.objective, MaxAttempts: 2, UsesAffinity: true,
		Splits: []model.Split{{Service: "reads", Weight: 1}}}})
	p.table = c.Table()
	r := registry.New(time.Second)
	for z, zone := range l.zones {
		for i := range l.upstreamsPerZone[z] {
			id := model.UpstreamID(fmt.Sprintf("%s-%d", zone, i))
			r.Heartbeat(start, model.Registration{ID: id, Service: "reads", Address: fmt.Sprintf("10.%d.%d.%d:80", z, i/250, i%250+1),
				Zone: zone, Slots: l.slots, StartTimeMs: 1, Sequence: 1})
			p.upstreams[id] = &upstreamSim{zone: zone, running: map[*upstreamSend]bool{}}
		}
	}
	for _, zone := range l.zones {
		for range l.entriesPerZone {
			b := balance.New(balance.Identity{ID: model.InstanceID(fmt.Sprint("entry", len(p.entries))), Zone: zone, Regions: l.regions})
			b.EntryInstances = l.entriesPerZone * len(l.zones)
			b.Sync(start, r, c, false)
			limits := routed.RetryBudgetLimits{Window: 10 * time.Second, Ratio: 0.2, Slack: 150}
			p.entries = append(p.entries, &entrySim{player: p, zone: zone,
				state:    routed.New(b, limits, rand.New(rand.NewPCG(seed, uint64(len(p.entries)))), 0),
				requests: map[model.RequestID]*callerRequest{}, sends: map[model.RequestID]*upstreamSend{}})
		}
	}
	p.result.windows = make([]served, int(l.length/loadWindow)+1)
	p.after(0, p.nextRequest)
	for at := p.calls.Next(); at != 0; at = p.calls.Next() {
		p.at = at
		call, _ := p.calls.Pop(at)
		call()
	}
	return &p.result
}

// after calls f after the delay.
func (p *player) after(delay time.Duration, f func()) {
	p.calls.Add(p.at.Add(delay), f)
}

// nextRequest sends a new request and schedules the one after it.
func (p *player) nextRequest() {
	since := p.at.Sub(start)
	if since >= p.length {
		return
	}
	r := &callerRequest{zone: p.randomZone(), object: fmt.Sprint(p.random.IntN(p.objects)), firstSentAt: p.at}
	p.window(r).asked++
	p.send(r)
	p.after(time.Duration(p.random.ExpFloat64()/p.perSecond(since)*float64(time.Second)), p.nextRequest)
}

func (p *player) window(r *callerRequest) *served {
	return &p.result.windows[r.firstSentAt.Sub(start)/loadWindow]
}

// randomZone returns the zone of a new caller.
func (p *player) randomZone() int {
	if p.zoneWeights == nil {
		return p.random.IntN(len(p.zones))
	}
	sum := 0.0
	for _, w := range p.zoneWeights {
		sum += w
	}
	x := p.random.Float64() * sum
	for z, w := range p.zoneWeights {
		if x -= w; x < 0 {
			return z
		}
	}
	return 0
}

// send sends a caller's request to an entry instance of its zone.
func (p *player) send(r *callerRequest) {
	e := p.entries[r.zone*p.entriesPerZone+p.random.IntN(p.entriesPerZone)]
	p.lastID++
	e.requests[p.lastID] = r
	arrived := event.RoutedArrived{ID: p.lastID, Host: "h", Path: "/x", Replayable: true, AffinityKey: r.object,
		Timeout: r.firstSentAt.Add(p.deadline).Sub(p.at)}
	var out event.Effects
	e.state.Arrive(p.at, &arrived, p.table, &out)
	e.execute(out.List())
}

// execute executes the effects of an entry instance.
func (e *entrySim) execute(effects []event.Effect) {
	p := e.player
	for _, effect := range effects {
		switch f := effect.(type) {
		case event.Forward:
			s := &upstreamSend{entry: e, upstream: p.upstreams[f.Upstream], forward: f, object: e.requests[f.Request].object, sentAt: p.at}
			e.sends[f.Request] = s
			p.after(e.delay(s.upstream), func() { s.upstream.arrive(s) })
		case event.CancelSend:
			e.cancel(e.sends[f.Request])
		case event.Deliver:
			e.end(f.Request, result.Success, 0)
		case event.Reject:
			e.end(f.Request, f.Code, f.RetryAfter)
		}
	}
	if at := e.state.NextWake(); at != 0 && at != e.wakeAt {
		e.wakeAt = at
		p.after(max(0, at.Sub(p.at)), e.wake)
	}
}

func (e *entrySim) wake() {
	e.wakeAt = 0
	var out event.Effects
	e.state.Wake(e.player.at, &out)
	e.execute(out.List())
}

// delay is the time from the entry instance to an upstream.
func (e *entrySim) delay(u *upstreamSim) time.Duration {
	if e.player.regions[u.zone] != e.player.regions[e.zone] {
		return e.player.regionDelay
	}
	return time.Millisecond / 2
}

// end ends a request at the entry instance. The caller retries it once if it was
// refused or failed and time is left.
func (e *entrySim) end(id model.RequestID, code result.Code, retryAfter time.Duration) {
	p, r := e.player, e.requests[id]
	delete(e.requests, id)
	left := r.firstSentAt.Add(p.deadline).Sub(p.at)
	w := p.window(r)
	switch {
	case code == result.Success && p.at.Sub(r.firstSentAt) <= p.objective:
		w.inObjective++
	case code == result.Success:
		w.late++
	case !r.retried && left > 0:
		r.retried = true
		p.after(min(retryAfter, left/3), func() { p.send(r) })
	default:
		w.failed++
	}
}

// cancel ends a send by closing its connection.
func (e *entrySim) cancel(s *upstreamSend) {
	e.player.after(e.delay(s.upstream), func() { s.upstream.drop(s) })
	e.player.after(0, func() { e.ended(s, event.SendCanceled, nil) })
}

// ended reports the end of a send.
func (e *entrySim) ended(s *upstreamSend, outcome event.SendOutcome, report *model.LoadReport) {
	if s.done {
		return
	}
	s.done = true
	delete(e.sends, s.forward.Request)
	var out event.Effects
	e.state.Ended(e.player.at, &event.SendEnded{Request: s.forward.Request, Attempt: s.forward.Attempt, Upstream: s.forward.Upstream,
		UpstreamStartMs: 1, Outcome: outcome, ResponseTime: e.player.at.Sub(s.sentAt), Load: report, Responded: report != nil}, &out)
	e.execute(out.List())
}

// arrive starts the work on a request, queues it or refuses it.
func (u *upstreamSim) arrive(s *upstreamSend) {
	p := s.entry.player
	switch {
	case s.done:
	case len(u.running) < p.slots:
		u.begin(s)
	case len(u.queue) < p.queue:
		u.queue = append(u.queue, s)
	default:
		p.result.refusedByUpstream++
		u.respond(s, event.SendNotExecuted)
	}
}

// begin starts the work on a request. Work that its deadline ends leaves the object
// uncached.
func (u *upstreamSim) begin(s *upstreamSend) {
	p := s.entry.player
	p.result.runs++
	u.running[s] = true
	work := p.cached
	if !slices.Contains(u.cached, s.object) {
		work = p.uncached
		p.result.uncached++
	}
	work = time.Duration(float64(work) * math.Exp(0.15*p.random.NormFloat64()))
	p.after(work, func() {
		if !u.running[s] {
			return
		}
		if i := slices.Index(u.cached, s.object); i >= 0 {
			u.cached = slices.Delete(u.cached, i, i+1)
		}
		u.cached = append(u.cached, s.object)
		u.cached = u.cached[max(0, len(u.cached)-p.cacheSize):]
		u.leave(s)
		u.respond(s, event.SendAnswered)
	})
}

// drop ends a request whose connection was closed.
func (u *upstreamSim) drop(s *upstreamSend) {
	if i := slices.Index(u.queue, s); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
	}
	if u.running[s] {
		s.entry.player.result.abandoned++
		u.leave(s)
	}
}

// leave frees the slot of a request.
func (u *upstreamSim) leave(s *upstreamSend) {
	delete(u.running, s)
	for len(u.queue) > 0 && len(u.running) < s.entry.player.slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.begin(next)
	}
}

// respond sends the response to a request with a report of the load.
func (u *upstreamSim) respond(s *upstreamSend, outcome event.SendOutcome) {
	p := s.entry.player
	report := &model.LoadReport{Running: len(u.running), Waiting: len(u.queue), Slots: p.slots, Slowdown: 1}
	p.after(s.entry.delay(u), func() { s.entry.ended(s, outcome, report) })
}
