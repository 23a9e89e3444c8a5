package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/linkbudget"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Headers of requests and answers.
const (
	HeaderTenant         = "Anvilcrank-Tenant"
	HeaderDeadline       = "Anvilcrank-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Anvilcrank-Attempt"
	// HeaderIncarnation names the upstream process for which the slot is held. A
	// process started later refuses the request before it runs.
	HeaderUpstreamIncarnation = "Anvilcrank-Upstream-Incarnation"
	HeaderNotRun              = "Anvilcrank-Not-Run"
	HeaderCode                = "Anvilcrank-Code"
	// HeaderInstance names the instance that answered.
	HeaderInstance = "Anvilcrank-Instance"
)

// CancelPath is where upstreams take cancellations.
const CancelPath = "/anvilcrank/cancel"

const (
	// maxBufferedBody is the largest request body that is held for repeated
	// dispatch. Larger ones are streamed and dispatched once.
	maxBufferedBodyBytes = 256 << 10
	// maxBody is the largest request body.
	maxBodyBytes = 64 << 20
	// copyBuffer is the size of the buffers that bodies are copied with.
	copyBufferBytes = 32 << 10
	// cancelTimeout bounds the wait for an upstream's answer to a cancellation.
	cancelTimeout = 2 * time.Second
	// connectTimeout bounds the time to open a connection.
	connectTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept warm.
	idleTimeout = 90 * time.Second
)

// Control is what the proxy needs of the control goroutine.
type Control interface {
	Submit(event.Body) error
	Report(event.Body)
	// Done is closed when the control goroutine has ended.
	Done() <-chan struct{}
	// View returns the published view.
	View() *view.View
}

// Recorder takes the latency and code of each ended request.
type Telemetry interface {
	Request(tenant model.Tenant, service model.ServiceName, class model.Class, code result.Code, latency time.Duration)
}

// Dialer opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Proxy carries requests from callers to upstreams. It implements
// control.Traffic.
type Proxy struct {
	self      model.InstanceID
	control   Control
	telemetry Telemetry
	now       func() model.Time
	dial      DialFunc

	nextID      atomic.Uint64
	exchanges   sync.Map // model.RequestID to *exchange
	attempts    sync.Map // model.AttemptID to *attempt
	copyBuffers sync.Pool
	pacer       *linkbudget.Pacer

	mu         sync.Mutex
	transports map[transportKey]*http.Transport
}

// transportKey separates the connections of long work from those of short work.
type transportKey struct {
	class    model.Class
	maxConns int
}

// New returns a proxy. SetControl must be called before it takes requests. A nil
// dialer opens plain TCP connections.
func New(self model.InstanceID, telemetry Telemetry, now func() model.Time, dial DialFunc) *Proxy {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Proxy{
		self:        self,
		telemetry:   telemetry,
		now:         now,
		pacer:       linkbudget.NewPacer(now),
		dial:        dial,
		copyBuffers: sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }},
		transports:  map[transportKey]*http.Transport{},
	}
}

// SetControl connects the proxy to the control goroutine.
func (p *Proxy) SetControl(c Control) { p.control = c }

// Close closes idle connections to upstreams.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.transports {
		t.CloseIdleConnections()
	}
}

// transport returns the connections for a class of work. limit is the most
// connections this instance may open to one upstream; each class gets half.
func (p *Proxy) transport(class model.Class, maxConnections int) *http.Transport {
	key := transportKey{class, max(1, maxConnections/2)}
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.transports[key]
	if t == nil {
		t = &http.Transport{
			DialContext:         p.dialCounting,
			MaxConnsPerHost:     key.maxConns,
			MaxIdleConnsPerHost: key.maxConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
		p.transports[key] = t
	}
	return t
}

func (p *Proxy) dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// Dispatch implements control.Traffic.
func (p *Proxy) Dispatch(d event.Dispatch) {
	e := p.findExchange(d.Request)
	if e == nil {
		// The exchange waits for its effects until Finish or the end of a relayed
		// attempt, so this cannot happen while the reducer keeps its contract.
		go p.control.Report(event.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: event.ConnectFailed})
		return
	}
	a := newAttempt(p, e, d)
	p.attempts.Store(d.Attempt, a)
	go a.run()
}

// Relay implements control.Traffic.
func (p *Proxy) Relay(r event.Relay) {
	if v, ok := p.attempts.Load(r.Attempt); ok {
		a := v.(*attempt)
		a.bufferLimit = r.BufferLimit
		a.extend(r.Deadline)
		a.exchange.commands <- command{relay: a}
	}
}

// CancelAttempt implements control.Traffic.
func (p *Proxy) CancelAttempt(c event.CancelAttempt) {
	if v, ok := p.attempts.Load(c.Attempt); ok {
		go v.(*attempt).cancelAtUpstream()
	}
}

// Finish implements control.Traffic.
func (p *Proxy) Finish(f event.Finish) {
	if e := p.findExchange(f.Request); e != nil {
		e.commands <- command{finish: true, code: f.Code}
	}
}

// ReplayAnswer implements control.Traffic.
func (p *Proxy) ReplayAnswer(r event.ReplayAnswer) {
	if e := p.findExchange(r.Request); e != nil {
		e.commands <- command{answer: &r.Answer}
	}
}

func (p *Proxy) findExchange(id model.RequestID) *exchange {
	if v, ok := p.exchanges.Load(id); ok {
		return v.(*exchange)
	}
	return nil
}

// isTimeout reports whether an attempt ended because of its deadline.
func isTimeout(err error) bool {
	var t net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}
