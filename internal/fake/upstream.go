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

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// HeaderToken identifies a request to the journal.
const HeaderToken = "Fake-Token"

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
	// failedAnnouncements is how many announcements in a row must fail before an
	// upstream turns to another instance.
	failedAnnouncements = 3
	bodyChunks          = 16
)

// UpstreamOptions describe a fake upstream.
type UpstreamOptions struct {
	ID          model.UpstreamID
	Service     model.ServiceName
	Zone        model.Zone
	Slots       int
	Connections int
	// ServiceTime is the mean time a request holds a slot.
	ServiceTime time.Duration
	// BodySize is the size of an answer in bytes.
	BodySize int
	// Instances are the addresses to announce to, the preferred one first.
	Instances []string
	Journal   *Journal
	Seed      uint64
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

// Registered is closed when an instance has accepted the upstream.
func (u *Upstream) Registered() <-chan struct{} { return u.registered }

// SetSlowdown multiplies the service time by the factor.
func (u *Upstream) SetSlowdown(factor float64) { u.slowdown.Store(int64(factor * 100)) }

// Stats are the counts of an upstream.
type Stats struct {
	Slots int
	// MaxInUse is the most requests that were there at once, refused ones
	// included.
	MaxInUse int
	Shed     int
	Runs     int
	// LastWork is when the last request began to run.
	LastWork time.Time
}

// Stats returns the counts so far.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Stats{Slots: u.options.Slots, MaxInUse: u.maxInUse, Shed: u.shed, Runs: u.runs, LastWork: u.lastWork}
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
	meant := r.Header.Get(proxy.HeaderIncarnation)
	if meant != "" && meant != strconv.FormatInt(int64(u.incarnation), 10) {
		refuse(w)
		return
	}
	a, ok := u.begin(id, cancel)
	if !ok {
		refuse(w)
		return
	}
	defer u.finish(a)
	_, _ = io.Copy(io.Discard, r.Body)
	token := r.Header.Get(HeaderToken)
	u.options.Journal.Run(token, r.Header.Get(proxy.HeaderKey), id)
	u.work(ctx, w, token, firstByte(r))
}

// refuse answers a request that did not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set(proxy.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// begin takes a slot, or refuses before anything runs.
func (u *Upstream) begin(id string, cancel context.CancelFunc) (*fakeAttempt, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.attempts[id] != nil {
		// Canceled before it arrived, or sent twice.
		return nil, false
	}
	u.maxInUse = max(u.maxInUse, u.inUse+1)
	if u.inUse >= u.options.Slots {
		u.shed++
		return nil, false
	}
	u.inUse++
	u.runs++
	u.lastWork = time.Now()
	a := &fakeAttempt{cancel: cancel, done: make(chan struct{})}
	u.attempts[id] = a
	return a, true
}

func (u *Upstream) finish(a *fakeAttempt) {
	u.mu.Lock()
	u.inUse--
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

// work waits for the service time and writes the answer in chunks.
func (u *Upstream) work(ctx context.Context, w http.ResponseWriter, token string, first int) {
	u.mu.Lock()
	jitter := 0.5 + u.rng.Float64()
	u.mu.Unlock()
	total := time.Duration(float64(u.options.ServiceTime) * jitter * float64(u.slowdown.Load()) / 100)
	if !sleep(ctx, total/2) {
		panic(http.ErrAbortHandler)
	}
	size := u.options.BodySize
	w.Header().Set("Content-Length", strconv.Itoa(size-first))
	w.Header().Set("Etag", fmt.Sprintf("%q", token))
	w.Header().Set("Accept-Ranges", "bytes")
	if first > 0 {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, size-1, size))
		w.WriteHeader(http.StatusPartialContent)
	}
	chunk := bytes.Repeat([]byte{bodyPattern(token)}, (size+bodyChunks-1)/bodyChunks)
	for sent := first; sent < size; sent += len(chunk) {
		if _, err := w.Write(chunk[:min(len(chunk), size-sent)]); err != nil {
			return
		}
		if !sleep(ctx, total/2/bodyChunks) {
			panic(http.ErrAbortHandler)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
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

// announce sends one announcement and reports whether it was accepted.
func (u *Upstream) announce(ctx context.Context) bool {
	u.mu.Lock()
	owner := u.owner
	a := model.Announcement{
		Upstream:    u.options.ID,
		Incarnation: u.incarnation,
		Service:     u.options.Service,
		Zone:        u.options.Zone,
		Address:     u.listener.Addr().String(),
		Slots:       u.options.Slots,
		Connections: u.options.Connections,
		State:       u.state,
		First:       u.first,
		InFlight:    u.inUse,
		Load:        float64(u.inUse) / float64(u.options.Slots),
	}
	u.mu.Unlock()
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+owner+"/v1/announce", bytes.NewReader(body))
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
	if u.first {
		close(u.registered)
	}
	u.first = false
	u.owner = resp.Request.URL.Host
	u.mu.Unlock()
	return true
}
