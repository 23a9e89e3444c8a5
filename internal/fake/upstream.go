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

// Headers of requests from fake callers and of responses of fake upstreams.
const (
	// HeaderToken identifies a request to the journal.
	HeaderToken = "Fake-Token"
	// HeaderOriginRegion is the region where a request arrived.
	HeaderOriginRegion = "Fake-Origin"
	// HeaderUpstream is the identifier of the upstream that answered.
	HeaderUpstream = "Fake-Upstream"
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
	// maxFailedAnnouncements is the number of consecutive failed announcements
	// after which an upstream sends its announcements to another instance.
	maxFailedAnnouncements = 3
	responseChunks         = 16
	// minChunkedResponseBytes is the smallest size of a response that is written in
	// several chunks; their number is responseChunks.
	minChunkedResponseBytes = 32 << 10
)

// UpstreamOptions configures a fake upstream.
type UpstreamOptions struct {
	ID             model.UpstreamID
	Service        model.ServiceName
	Zone           model.Zone
	Slots          int
	MaxConnections int
	// Region is the region of the zone.
	Region model.Region
	// ServiceTime is the distribution of the service times. A request occupies a
	// slot for its hold time, which is its service time multiplied by the current
	// slowdowns.
	ServiceTime ServiceTime
	// QueueLimit is the number of requests that may wait at the upstream for a
	// slot, for policies without late binding. With 0, a request that finds no
	// free slot is rejected.
	QueueLimit int
	// ResponseBytes is the length of a response body.
	ResponseBytes int
	// Instances are the addresses of the instances to which the upstream may send
	// its announcements, the preferred one first.
	Instances []string
	// AnnounceToAll sends announcements to all instances, as upstreams behind
	// several load balancers do. It is for policies with early binding.
	AnnounceToAll bool
	Journal       *Journal
	Seed          uint64
}

// Upstream is a fake upstream on a loopback socket.
type Upstream struct {
	options      UpstreamOptions
	listener     net.Listener
	server       *http.Server
	client       *http.Client
	cancel       context.CancelFunc
	announceDone chan struct{}
	// incarnation identifies this process of the upstream. Its value is the time
	// when the process started.
	incarnation model.Incarnation

	// slowdownPercent is the factor for service times, in percent.
	slowdownPercent atomic.Int64

	mu                 sync.Mutex
	coldCache          ColdCache
	servedSinceCold    int
	announcementFaults AnnouncementFaults
	statement          Statement
	loadHistory        loadHistory
	waiters            []chan struct{}
	rng                *rand.Rand
	state              model.UpstreamState
	slotsInUse         int
	maxConcurrent      int
	shed               int
	executions         int
	lastExecutionStart time.Time
	attempts           map[string]*attempt
	ownerAddress       string
	firstAnnouncement  bool
	// registered is closed when an instance accepts the first announcement.
	registered chan struct{}
}

// attempt is one dispatch of a request by an instance to this upstream.
type attempt struct {
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
		options:           o,
		listener:          l,
		client:            &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		cancel:            cancel,
		announceDone:      make(chan struct{}),
		incarnation:       model.Incarnation(time.Now().UnixNano()),
		rng:               rand.New(rand.NewPCG(o.Seed, uint64(len(o.ID)))),
		state:             model.Serving,
		attempts:          map[string]*attempt{},
		ownerAddress:      o.Instances[0],
		firstAnnouncement: true,
		registered:        make(chan struct{}),
	}
	u.slowdownPercent.Store(100)
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	go u.announceLoop(ctx)
	return u, nil
}

// ID returns the identifier of the upstream.
func (u *Upstream) ID() model.UpstreamID { return u.options.ID }

// Address returns the address on which the upstream serves requests.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Zone returns the availability zone of the upstream.
func (u *Upstream) Zone() model.Zone { return u.options.Zone }

// Region returns the region of the upstream.
func (u *Upstream) Region() model.Region { return u.options.Region }

// Service returns the service of the upstream.
func (u *Upstream) Service() model.ServiceName { return u.options.Service }

// EmptyCache empties the cache. Requests are then slower, as c describes, until
// the cache is filled again.
func (u *Upstream) EmptyCache(c ColdCache) {
	u.mu.Lock()
	u.coldCache, u.servedSinceCold = c, 0
	u.mu.Unlock()
}

// SetAnnouncementFaults sets the faults of the announcements.
func (u *Upstream) SetAnnouncementFaults(f AnnouncementFaults) {
	u.mu.Lock()
	u.announcementFaults = f
	u.mu.Unlock()
}

// Registered returns a channel that is closed when an instance has accepted the
// first announcement of the upstream.
func (u *Upstream) Registered() <-chan struct{} { return u.registered }

// SetSlowdown sets the factor by which service times are multiplied.
func (u *Upstream) SetSlowdown(factor float64) { u.slowdownPercent.Store(int64(factor * 100)) }

// Stats holds the counters of an upstream.
type Stats struct {
	Slots int
	// MaxConcurrent is the highest number of requests that were executed at the
	// same time, without requests waiting in the queue. If the queue limit is
	// 0, it also counts a request that was rejected because no slot was free.
	MaxConcurrent int
	// Shed is the number of requests that were rejected because no slot was free
	// and the queue was full.
	Shed       int
	Executions int
	// LastExecutionStart is when the latest execution started.
	LastExecutionStart time.Time
}

// Stats returns the current counters.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Stats{Slots: u.options.Slots, MaxConcurrent: u.maxConcurrent, Shed: u.shed, Executions: u.executions, LastExecutionStart: u.lastExecutionStart}
}

// Drain announces that the upstream accepts no new requests.
func (u *Upstream) Drain() { u.setState(model.Draining) }

// setState changes the announced state and announces it at once.
func (u *Upstream) setState(s model.UpstreamState) {
	u.mu.Lock()
	u.state = s
	u.mu.Unlock()
	u.announce(context.Background())
}

// Kill ends the upstream like a crash: it closes all connections and sends no
// announcement.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	<-u.announceDone
}

// Stop announces the state model.Leaving and then ends the upstream like Kill.
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
	w.Header().Set(proxy.HeaderAttempt, id)
	if statement := u.stated(); statement.AddTo(w.Header(), proxy.HeaderRequestLimit, proxy.HeaderLeaving) {
		rejectNotExecuted(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if ms, err := strconv.Atoi(r.Header.Get(proxy.HeaderDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	wantIncarnation := r.Header.Get(proxy.HeaderUpstreamIncarnation)
	if wantIncarnation != "" && wantIncarnation != strconv.FormatInt(int64(u.incarnation), 10) {
		rejectNotExecuted(w)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a, ok := u.startAttempt(ctx, id, cancel)
	if !ok {
		rejectNotExecuted(w)
		return
	}
	token := r.Header.Get(HeaderToken)
	flow := Flow{Service: u.options.Service, From: model.Region(r.Header.Get(HeaderOriginRegion)), To: u.options.Region}
	serviceTime, holdTime := u.drawServiceTime()
	u.options.Journal.RecordStart(Execution{Token: token, IdempotencyKey: r.Header.Get(proxy.HeaderIdempotencyKey), AttemptID: id, Flow: flow, ServiceTime: serviceTime})
	release := sync.OnceFunc(func() {
		u.options.Journal.RecordEnd(flow)
		u.finishAttempt(a)
	})
	defer release()
	w.Header().Set(HeaderUpstream, string(u.options.ID))
	u.writeResponse(ctx, w, response{token: token, firstByte: rangeStart(r), holdTime: holdTime, release: release})
}

// State sets what the upstream states in its responses from now on.
func (u *Upstream) State(s Statement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statement = s
}

// stated returns what the upstream states now.
func (u *Upstream) stated() Statement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.statement
}

// rejectNotExecuted sends the response that guarantees that the request was not
// executed.
func rejectNotExecuted(w http.ResponseWriter) {
	w.Header().Set(proxy.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// startAttempt occupies a slot for the attempt. If no slot is free, it waits in
// the queue. It returns false if the request has to be rejected.
func (u *Upstream) startAttempt(ctx context.Context, id string, cancel context.CancelFunc) (*attempt, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.attempts[id] != nil {
		// The attempt was canceled before the request arrived, or the request
		// was sent twice.
		return nil, false
	}
	if u.slotsInUse < u.options.Slots {
		u.slotsInUse++
	} else if !u.waitForSlot(ctx) {
		return nil, false
	}
	if u.attempts[id] != nil {
		// The attempt was canceled while the request waited for a slot.
		u.releaseSlot()
		return nil, false
	}
	u.maxConcurrent = max(u.maxConcurrent, u.slotsInUse)
	u.executions++
	u.lastExecutionStart = time.Now()
	a := &attempt{cancel: cancel, done: make(chan struct{})}
	u.attempts[id] = a
	return a, true
}

// waitForSlot waits in the queue for a slot and reports whether it received one.
// It returns false at once if the queue is full. The caller must hold u.mu.
func (u *Upstream) waitForSlot(ctx context.Context) bool {
	if len(u.waiters) >= u.options.QueueLimit {
		if u.options.QueueLimit == 0 {
			u.maxConcurrent = max(u.maxConcurrent, u.slotsInUse+1)
		}
		u.shed++
		return false
	}
	granted := make(chan struct{})
	u.waiters = append(u.waiters, granted)
	u.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	u.mu.Lock()
	for i, w := range u.waiters {
		if w == granted {
			u.waiters = append(u.waiters[:i], u.waiters[i+1:]...)
			return false
		}
	}
	return true
}

// releaseSlot passes the slot on to the request that has waited longest, or frees
// the slot if no request waits. The caller must hold u.mu.
func (u *Upstream) releaseSlot() {
	if len(u.waiters) == 0 {
		u.slotsInUse--
		return
	}
	close(u.waiters[0])
	u.waiters = u.waiters[1:]
}

// finishAttempt releases the slot of the attempt and marks the attempt as
// finished.
func (u *Upstream) finishAttempt(a *attempt) {
	u.mu.Lock()
	u.releaseSlot()
	a.finished = true
	u.mu.Unlock()
	close(a.done)
}

// rangeStart returns the offset of the first byte of the requested range, 0 for a
// request without a range.
func rangeStart(r *http.Request) int {
	var start int
	_, _ = fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-", &start)
	return start
}

// drawServiceTime draws a random service time. It also returns the hold time,
// which is the service time multiplied by the current slowdowns.
func (u *Upstream) drawServiceTime() (serviceTime, holdTime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	serviceTime = u.options.ServiceTime.draw(u.rng)
	factor := u.coldCache.slowdown(u.servedSinceCold) * float64(u.slowdownPercent.Load()) / 100
	u.servedSinceCold++
	return serviceTime, time.Duration(float64(serviceTime) * factor)
}

// response describes a response to be written.
type response struct {
	token string
	// firstByte is the offset of the first byte of the requested range.
	firstByte int
	holdTime  time.Duration
	// release ends the execution and releases the slot.
	release func()
}

// writeResponse waits for the hold time of the request and writes the response.
// A large response is written in chunks over the second half of the hold time.
// The slot must be free once the last chunk is written to the socket, so
// writeResponse calls release just before that.
func (u *Upstream) writeResponse(ctx context.Context, w http.ResponseWriter, resp response) {
	size := u.options.ResponseBytes
	chunks, firstDelay, chunkDelay := 1, resp.holdTime, time.Duration(0)
	if size >= minChunkedResponseBytes {
		chunks, firstDelay, chunkDelay = responseChunks, resp.holdTime/2, resp.holdTime/2/responseChunks
	}
	if !latency.Sleep(ctx, firstDelay) {
		panic(http.ErrAbortHandler)
	}
	resp.writeHeader(w, size)
	chunk := bytes.Repeat([]byte{bodyByte(resp.token)}, (size+chunks-1)/chunks)
	for sent := resp.firstByte; sent < size; sent += len(chunk) {
		if !latency.Sleep(ctx, chunkDelay) {
			panic(http.ErrAbortHandler)
		}
		if sent+len(chunk) >= size {
			resp.release()
		}
		if _, err := w.Write(chunk[:min(len(chunk), size-sent)]); err != nil {
			return
		}
	}
}

func (resp *response) writeHeader(w http.ResponseWriter, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size-resp.firstByte))
	w.Header().Set("Etag", entityTag(resp.token))
	w.Header().Set("Accept-Ranges", "bytes")
	if resp.firstByte > 0 {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", resp.firstByte, size-1, size))
		w.WriteHeader(http.StatusPartialContent)
	}
}

// serveCancel handles a cancellation: it stops the attempt if it is still being
// executed and answers with the state of the attempt. A request that arrives
// after its cancellation is rejected.
func (u *Upstream) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(proxy.HeaderAttempt)
	u.mu.Lock()
	a := u.attempts[id]
	state := "stopped"
	switch {
	case a == nil:
		u.attempts[id] = &attempt{finished: true}
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

// announceLoop sends announcements until the context ends. After
// maxFailedAnnouncements consecutive failures it sends them to the next of the
// instances in the options.
func (u *Upstream) announceLoop(ctx context.Context) {
	defer close(u.announceDone)
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	failures, instance := 0, 0
	for {
		if u.announce(ctx) {
			failures = 0
		} else if failures++; failures >= maxFailedAnnouncements {
			instance = (instance + 1) % len(u.options.Instances)
			u.mu.Lock()
			u.ownerAddress = u.options.Instances[instance]
			u.mu.Unlock()
			failures = 0
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce sends an announcement to the instance that owns the upstream, or to
// all instances, and reports whether any instance accepted it. It returns true
// without sending if announcements are stopped.
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
	for _, target := range targets {
		if u.postAnnouncement(ctx, target, &a) {
			accepted = true
		}
	}
	return accepted
}

// announcement returns the current announcement and the address of the instance
// that owns the upstream. It returns false if announcements are stopped.
func (u *Upstream) announcement() (model.Announcement, string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.loadHistory.add(loadSample{at: now, inFlight: u.slotsInUse + len(u.waiters)})
	inFlight := u.loadHistory.inFlightAt(now.Add(-u.announcementFaults.LoadAge))
	return model.Announcement{
		Upstream:       u.options.ID,
		Incarnation:    u.incarnation,
		Service:        u.options.Service,
		Zone:           u.options.Zone,
		Address:        u.listener.Addr().String(),
		Slots:          u.options.Slots,
		MaxConnections: u.options.MaxConnections,
		State:          u.state,
		First:          u.firstAnnouncement,
		InFlight:       inFlight,
		Load:           float64(inFlight) / float64(u.options.Slots),
	}, u.ownerAddress, !u.announcementFaults.Stopped
}

// postAnnouncement sends an announcement to an instance and reports whether it
// was accepted. The instance that accepted it, after any redirects, is from then
// on used as the owner of the upstream.
func (u *Upstream) postAnnouncement(ctx context.Context, address string, a *model.Announcement) bool {
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
	if u.firstAnnouncement {
		close(u.registered)
	}
	u.firstAnnouncement = false
	u.ownerAddress = resp.Request.URL.Host
	return true
}
