package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/latency"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// Headers of requests and answers of the fakes.
const (
	// HeaderToken identifies a request to the journal.
	HeaderToken = "Fake-Token"
	// HeaderOrigin is the region where a request arrived.
	HeaderOriginRegion = "Fake-Origin"
	// HeaderUpstream names the upstream that answered.
	HeaderUpstream = "Fake-Upstream"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
	// failedAnnouncements is how many announcements in a row must fail before an
	// upstream turns to another instance.
	failedAnnouncements = 3
	bodyChunks          = 16
	// minChunkedBody is the size from which an answer is written in chunks.
	minChunkedBody = 32 << 10
)

// UpstreamOptions describe a fake upstream.
type UpstreamOptions struct {
	ID             model.UpstreamID
	Service        model.ServiceName
	Zone           model.Zone
	Slots          int
	MaxConnections int
	// Region is the region of the zone.
	Region model.Region
	// Work is the distribution of the time a request holds a slot.
	ServiceTime ServiceTime
	// QueueLimit is how many requests may wait here for a slot. It is for
	// policies without late binding; 0 refuses a request that finds no slot.
	QueueLimit int
	// BodySize is the size of an answer in bytes.
	ResponseBytes int
	// Instances are the addresses to announce to, the preferred one first.
	Instances []string
	// AnnounceToAll announces to all of them, as upstreams behind several load
	// balancers do. It is for policies that bind work at once.
	AnnounceToAll bool
	Journal       *Journal
	Seed          uint64
}

// Upstream is a fake upstream on a loopback socket.
type Upstream struct {
	options  UpstreamOptions
	listener net.Listener
	server   *http.Server
	client   *http.Client
	cancel   context.CancelFunc
	done     chan struct{}
	// incarnation is the start time.
	incarnation model.Incarnation

	// slowdown multiplies the service time, in percent.
	slowdown atomic.Int64

	mu       sync.Mutex
	cold     ColdCache
	served   int
	reports  AnnouncementFaults
	history  loadHistory
	waiting  []chan struct{}
	rng      *rand.Rand
	state    model.UpstreamState
	inUse    int
	maxInUse int
	shed     int
	runs     int
	lastWork time.Time
	attempts map[string]*fakeAttempt
	owner    string
	first    bool
	// registered is closed when the first announcement was accepted.
	registered chan struct{}
}

type fakeAttempt struct {
	cancel   context.CancelFunc
	done     chan struct{}
	finished bool
}

// StartUpstream starts an upstream and its announcements.
func StartUpstream(o UpstreamOptions) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake upstream: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &Upstream{
		options:     o,
		listener:    l,
		client:      &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		cancel:      cancel,
		done:        make(chan struct{}),
		incarnation: model.Incarnation(time.Now().UnixNano()),
		rng:         rand.New(rand.NewPCG(o.Seed, uint64(len(o.ID)))),
		state:       model.Serving,
		attempts:    map[string]*fakeAttempt{},
		owner:       o.Instances[0],
		first:       true,
		registered:  make(chan struct{}),
	}
	u.slowdown.Store(100)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	go u.announceLoop(ctx)
	return u, nil
}

// ID returns the identifier of the upstream.
func (u *Upstream) ID() model.UpstreamID { return u.options.ID }

// Address returns the address for requests.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Zone returns the availability zone of the upstream.
func (u *Upstream) Zone() model.Zone { return u.options.Zone }

// Region returns the region of the upstream.
func (u *Upstream) Region() model.Region { return u.options.Region }

// Service returns the service of the upstream.
func (u *Upstream) Service() model.ServiceName { return u.options.Service }

// Cool empties the cache: the next requests are slower until it is warm.
func (u *Upstream) EmptyCache(c ColdCache) {
	u.mu.Lock()
	u.cold, u.served = c, 0
	u.mu.Unlock()
}

// SetReports changes how announcements misbehave.
func (u *Upstream) SetAnnouncementFaults(r AnnouncementFaults) {
	u.mu.Lock()
	u.reports = r
	u.mu.Unlock()
}

// Registered is closed when an instance has accepted the upstream.
func (u *Upstream) Registered() <-chan struct{} { return u.registered }

// SetSlowdown multiplies the service time by the factor.
func (u *Upstream) SetSlowdown(factor float64) { u.slowdown.Store(int64(factor * 100)) }

// Stats are the counts of an upstream.
type Stats struct {
	Slots int
	// MaxInUse is the most requests that were there at once, refused ones
	// included and waiting ones not.
	MaxConcurrent int
	Shed          int
	Executions    int
	// LastWork is when the last request began to run.
	LastExecutionStart time.Time
}

// Stats returns the counts so far.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Stats{Slots: u.options.Slots, MaxConcurrent: u.maxInUse, Shed: u.shed, Executions: u.runs, LastExecutionStart: u.lastWork}
}

// Drain announces that the upstream takes no new work.
func (u *Upstream) Drain() { u.setState(model.Draining) }

func (u *Upstream) setState(s model.UpstreamState) {
	u.mu.Lock()
	u.state = s
	u.mu.Unlock()
	u.announce(context.Background())
}

// Kill ends the upstream as a crash would: connections break, nothing is
// announced.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	<-u.done
}

// Stop announces that the upstream leaves and ends it.
func (u *Upstream) Stop() {
	u.setState(model.Leaving)
	u.Kill()
}

// ServeHTTP handles requests and cancellations.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == proxy.CancelPath {
		u.serveCancel(w, r)
		return
	}
	id := r.Header.Get(proxy.HeaderAttempt)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if ms, err := strconv.Atoi(r.Header.Get(proxy.HeaderDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	meant := r.Header.Get(proxy.HeaderUpstreamIncarnation)
	if meant != "" && meant != strconv.FormatInt(int64(u.incarnation), 10) {
		refuse(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a, ok := u.begin(ctx, id, cancel)
	if !ok {
		refuse(w)
		return
	}
	token := r.Header.Get(HeaderToken)
	flow := Flow{Service: u.options.Service, From: model.Region(r.Header.Get(HeaderOriginRegion)), To: u.options.Region}
	work, total := u.serviceTime()
	u.options.Journal.RecordStart(Execution{Token: token, IdempotencyKey: r.Header.Get(proxy.HeaderIdempotencyKey), AttemptID: id, Flow: flow, ServiceTime: work})
	ended := sync.OnceFunc(func() {
		u.options.Journal.RecordEnd(flow)
		u.finish(a)
	})
	defer ended()
	w.Header().Set(HeaderUpstream, string(u.options.ID))
	u.work(ctx, w, answer{token: token, first: firstByte(r), total: total, ended: ended})
}

// refuse answers a request that did not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set(proxy.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// begin takes a slot, or refuses before anything runs.
func (u *Upstream) begin(ctx context.Context, id string, cancel context.CancelFunc) (*fakeAttempt, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.attempts[id] != nil {
		// Canceled before it arrived, or sent twice.
		return nil, false
	}
	if u.inUse < u.options.Slots {
		u.inUse++
	} else if !u.waitForSlot(ctx) {
		return nil, false
	}
	if u.attempts[id] != nil {
		// Canceled while it waited.
		u.releaseSlot()
		return nil, false
	}
	u.maxInUse = max(u.maxInUse, u.inUse)
	u.runs++
	u.lastWork = time.Now()
	a := &fakeAttempt{cancel: cancel, done: make(chan struct{})}
	u.attempts[id] = a
	return a, true
}

// waitForSlot queues for a slot, where the upstream has a queue, and reports
// whether one was passed on to it. It is called with the lock held.
func (u *Upstream) waitForSlot(ctx context.Context) bool {
	if len(u.waiting) >= u.options.QueueLimit {
		if u.options.QueueLimit == 0 {
			u.maxInUse = max(u.maxInUse, u.inUse+1)
		}
		u.shed++
		return false
	}
	turn := make(chan struct{})
	u.waiting = append(u.waiting, turn)
	u.mu.Unlock()
	select {
	case <-turn:
	case <-ctx.Done():
	}
	u.mu.Lock()
	for i, w := range u.waiting {
		if w == turn {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// releaseSlot passes the slot on to the request that waits longest, or frees
// it. It is called with the lock held.
func (u *Upstream) releaseSlot() {
	if len(u.waiting) == 0 {
		u.inUse--
		return
	}
	close(u.waiting[0])
	u.waiting = u.waiting[1:]
}

func (u *Upstream) finish(a *fakeAttempt) {
	u.mu.Lock()
	u.releaseSlot()
	a.finished = true
	u.mu.Unlock()
	close(a.done)
}

// firstByte returns where the body begins that the request asks for.
func firstByte(r *http.Request) int {
	var first int
	_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &first)
	return first
}

// serviceTime draws an undisturbed service time and returns it with the time
// that the present slowdowns make of it.
func (u *Upstream) serviceTime() (work, total time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	work = u.options.ServiceTime.draw(u.rng)
	factor := u.cold.slowdown(u.served) * float64(u.slowdown.Load()) / 100
	u.served++
	return work, time.Duration(float64(work) * factor)
}

// answer is an answer to be written.
type answer struct {
	token string
	// first is where the body begins that the request asks for.
	first int
	total time.Duration
	// ended frees the slot.
	ended func()
}

// work waits for the service time and writes the answer. A large one is written
// in chunks over the second half of the time. The slot is free once the last
// chunk is handed to the socket, so ended is called just before that.
func (u *Upstream) work(ctx context.Context, w http.ResponseWriter, a answer) {
	size := u.options.ResponseBytes
	chunks, before, between := 1, a.total, time.Duration(0)
	if size >= minChunkedBody {
		chunks, before, between = bodyChunks, a.total/2, a.total/2/bodyChunks
	}
	if !latency.Sleep(ctx, before) {
		panic(http.ErrAbortHandler)
	}
	a.writeHeader(w, size)
	chunk := bytes.Repeat([]byte{bodyPattern(a.token)}, (size+chunks-1)/chunks)
	for sent := a.first; sent < size; sent += len(chunk) {
		if !latency.Sleep(ctx, between) {
			panic(http.ErrAbortHandler)
		}
		if sent+len(chunk) >= size {
			a.ended()
		}
		if _, err := w.Write(chunk[:min(len(chunk), size-sent)]); err != nil {
			return
		}
	}
}

func (a *answer) writeHeader(w http.ResponseWriter, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size-a.first))
	w.Header().Set("Etag", entityTag(a.token))
	w.Header().Set("Accept-Ranges", "bytes")
	if a.first > 0 {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", a.first, size-1, size))
		w.WriteHeader(http.StatusPartialContent)
	}
}

func (u *Upstream) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(proxy.HeaderAttempt)
	u.mu.Lock()
	a := u.attempts[id]
	state := "stopped"
	switch {
	case a == nil:
		u.attempts[id] = &fakeAttempt{finished: true}
		state = "not_run"
	case a.finished:
		state = "finished"
	}
	u.mu.Unlock()
	if state == "stopped" {
		a.cancel()
		<-a.done
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"state":%q}`, state)
}

func (u *Upstream) announceLoop(ctx context.Context) {
	defer close(u.done)
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	failed, next := 0, 0
	for {
		if u.announce(ctx) {
			failed = 0
		} else if failed++; failed >= failedAnnouncements {
			next = (next + 1) % len(u.options.Instances)
			u.mu.Lock()
			u.owner = u.options.Instances[next]
			u.mu.Unlock()
			failed = 0
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends an announcement to the owner, or to all instances, and reports
// whether one was accepted.
func (u *Upstream) announce(ctx context.Context) bool {
	a, owner, ok := u.announcement()
	if !ok {
		return true
	}
	targets := []string{owner}
	if u.options.AnnounceToAll {
		targets = u.options.Instances
	}
	accepted := false
	for _, t := range targets {
		if u.post(ctx, t, &a) {
			accepted = true
		}
	}
	return accepted
}

// announcement makes the present announcement and names its receiver. It
// reports false while reports have stopped.
func (u *Upstream) announcement() (model.Announcement, string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.history.add(sample{at: now, inFlight: u.inUse + len(u.waiting)})
	inFlight := u.history.at(now.Add(-u.reports.LoadAge))
	return model.Announcement{
		Upstream:    u.options.ID,
		Incarnation: u.incarnation,
		Service:     u.options.Service,
		Zone:        u.options.Zone,
		Address:     u.listener.Addr().String(),
		Slots:       u.options.Slots,
		Connections: u.options.MaxConnections,
		State:       u.state,
		First:       u.first,
		InFlight:    inFlight,
		Load:        float64(inFlight) / float64(u.options.Slots),
	}, u.owner, !u.reports.Stopped
}

// post sends an announcement to an instance and reports whether it was accepted.
func (u *Upstream) post(ctx context.Context, address string, a *model.Announcement) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.first {
		close(u.registered)
	}
	u.first = false
	u.owner = resp.Request.URL.Host
	return true
}
