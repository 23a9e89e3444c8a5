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
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// Names of headers in requests and responses.
const (
	HeaderTenant = "Anvilcrank-Tenant"
	// HeaderDeadline is the time left until the request's deadline, in
	// milliseconds.
	HeaderDeadline       = "Anvilcrank-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderAttempt        = "Anvilcrank-Attempt"
	// HeaderUpstreamIncarnation identifies the process of the upstream whose
	// slot the request occupies. If the upstream was restarted since, its new
	// process refuses the request without executing it.
	HeaderUpstreamIncarnation = "Anvilcrank-Upstream-Incarnation"
	// HeaderNotRun marks a response with status 503 of an upstream that did not
	// execute the request.
	HeaderNotRun = "Anvilcrank-Not-Run"
	// HeaderCode is the numeric result code of an error response of an instance.
	HeaderCode = "Anvilcrank-Code"
	// HeaderInstance identifies the instance that sent the response.
	HeaderInstance = "Anvilcrank-Instance"
)

// CancelPath is the HTTP path at which upstreams accept cancellation requests.
const CancelPath = "/anvilcrank/cancel"

const (
	// maxBufferedBodyBytes is the largest request body that is buffered, so that it
	// can be dispatched again in a retry. A larger body is streamed and dispatched
	// once.
	maxBufferedBodyBytes = 256 << 10
	// maxBodyBytes is the largest request body that is accepted.
	maxBodyBytes = 64 << 20
	// copyBufferBytes is the size of the buffers through which bodies are
	// streamed.
	copyBufferBytes = 32 << 10
	// cancelTimeout is how long a cancellation request to an upstream may take.
	cancelTimeout = 2 * time.Second
	// connectTimeout is how long opening a connection to an upstream may take.
	connectTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection to an upstream is kept open.
	idleTimeout = 90 * time.Second
	// maxResponseHeaderBytes is the largest header of a response of an upstream.
	maxResponseHeaderBytes = 64 << 10
)

// Control lists the methods of control.Loop that the proxy uses. control.Loop
// runs the control goroutine.
type Control interface {
	Submit(event.Body) error
	Report(event.Body)
	// Done is closed when the control goroutine has ended.
	Done() <-chan struct{}
	// View returns the most recently published view.
	View() *view.View
}

// Telemetry receives the latency and result code of each request that has ended,
// and log events.
type Telemetry interface {
	ObserveRequest(tenant model.Tenant, service model.ServiceName, class model.Class, code result.Code, latency time.Duration)
	Log(event.Log)
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Proxy forwards requests of callers to upstreams. It implements
// control.Dispatcher.
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
	memory      *memory.Budget

	// mu guards transports.
	mu         sync.Mutex
	transports map[transportKey]*http.Transport
}

// transportKey selects a transport. Each class of work has its own connections,
// so that long requests cannot use up the connections for short requests.
type transportKey struct {
	class    model.Class
	maxConns int
}

// New returns a proxy. SetControl must be called before the proxy serves requests.
// If dial is nil, the proxy opens plain TCP connections. What it holds for requests is
// counted in the memory budget; nil means no limit.
func New(self model.InstanceID, telemetry Telemetry, now func() model.Time, dial DialFunc, budget *memory.Budget) *Proxy {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Proxy{
		self:        self,
		telemetry:   telemetry,
		now:         now,
		pacer:       linkbudget.NewPacer(now),
		dial:        dial,
		memory:      budget,
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

// transport returns the transport for a class of work. This instance may open
// maxConnections connections to one upstream; each of the two classes, short
// and long, may use half of them.
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
			// An upstream may write a header without end.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}
		p.transports[key] = t
	}
	return t
}

// dialCounting opens a connection that counts written bytes.
func (p *Proxy) dialCounting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// Dispatch implements control.Dispatcher.
func (p *Proxy) Dispatch(d event.Dispatch) {
	e := p.findExchange(d.Request)
	if e == nil {
		// Not reachable while the reducer is correct: an exchange exists until its
		// Finish or the end of a relayed attempt, and the reducer returns no
		// Dispatch after either.
		go p.control.Report(event.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: event.ConnectFailed})
		return
	}
	a := newAttempt(p, e, d)
	p.attempts.Store(d.Attempt, a)
	go a.run()
}

// Relay implements control.Dispatcher.
func (p *Proxy) Relay(r event.Relay) {
	if v, ok := p.attempts.Load(r.Attempt); ok {
		a := v.(*attempt)
		if p.findExchange(r.Request) == nil {
			// The goroutine that served the request panicked.
			go a.reportEnd(event.AttemptEnded{Result: event.Truncated})
			return
		}
		a.bufferLimit = r.BufferLimit
		a.extend(r.Deadline)
		a.exchange.commands <- command{relay: a}
	}
}

// CancelAttempt implements control.Dispatcher.
func (p *Proxy) CancelAttempt(c event.CancelAttempt) {
	if v, ok := p.attempts.Load(c.Attempt); ok {
		go v.(*attempt).cancelAtUpstream()
	}
}

// Finish implements control.Dispatcher.
func (p *Proxy) Finish(f event.Finish) {
	if e := p.findExchange(f.Request); e != nil {
		e.commands <- command{finish: true, code: f.Code}
	}
}

// ReplayAnswer implements control.Dispatcher.
func (p *Proxy) ReplayAnswer(r event.ReplayAnswer) {
	if e := p.findExchange(r.Request); e != nil {
		e.commands <- command{answer: &r.Answer}
	}
}

// findExchange returns the exchange of a request, nil if the request has ended.
func (p *Proxy) findExchange(id model.RequestID) *exchange {
	if v, ok := p.exchanges.Load(id); ok {
		return v.(*exchange)
	}
	return nil
}

// isTimeout reports whether the error is a timeout.
func isTimeout(err error) bool {
	var t net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}
