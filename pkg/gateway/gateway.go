package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Control lists the methods of control.Loop that the gateway uses. control.Loop
// runs the control goroutine.
type Control interface {
	Submit(event.Body) error
	Report(event.Body)
	Done() <-chan struct{}
	Directory() *directory.View
}

// Telemetry receives metrics and log events.
type Telemetry interface {
	// ObserveRoutedRequest records the latency and the result code of a request
	// that has ended, with the name and the kind of its route.
	ObserveRoutedRequest(route string, kind string, code result.Code, latency time.Duration)
	Log(event.Log)
}

// Gateway proxies routed requests between callers and upstreams. It implements
// control.Forwarder.
type Gateway struct {
	headers   Headers
	control   Control
	telemetry Telemetry
	now       func() model.Time
	memory    *memory.Budget
	pool      *pool

	nextID    atomic.Uint64
	exchanges sync.Map // model.RequestID to *exchange
}

// New returns a gateway that uses the given header names. What it holds for requests is
// counted in the memory budget; nil means no limit. SetControl must be called before the
// gateway serves requests.
func New(headers Headers, telemetry Telemetry, now func() model.Time, budget *memory.Budget) *Gateway {
	return &Gateway{headers: headers, telemetry: telemetry, now: now, memory: budget, pool: newPool()}
}

// memoryRetryAfter is how long callers are asked to wait when the memory budget admits no
// request. Bodies of slow callers take that long to be passed on.
const memoryRetryAfter = time.Second

// SetControl connects the gateway to the control goroutine.
func (g *Gateway) SetControl(c Control) { g.control = c }

// command is what the control goroutine has decided for one request: to send it
// to an upstream, to deliver the buffered response, or to reject the request.
// Exactly one field is set.
type command struct {
	forward *event.Forward
	deliver bool
	reject  *event.Reject
}

// Forward implements control.Forwarder.
func (g *Gateway) Forward(f event.Forward) {
	if g.enqueueCommand(f.Request, command{forward: &f}) {
		return
	}
	// The goroutine that served the request panicked.
	go g.control.Report(event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, UpstreamStartMs: f.UpstreamStartMs,
		Outcome: event.SendConnectFailed})
}

// Deliver implements control.Forwarder.
func (g *Gateway) Deliver(d event.Deliver) { g.enqueueCommand(d.Request, command{deliver: true}) }

// Reject implements control.Forwarder.
func (g *Gateway) Reject(r event.Reject) { g.enqueueCommand(r.Request, command{reject: &r}) }

// CancelSend implements control.Forwarder.
func (g *Gateway) CancelSend(c event.CancelSend) {
	if v, ok := g.exchanges.Load(c.Request); ok {
		v.(*exchange).cancelSend()
	}
}

// enqueueCommand passes a command to the goroutine that serves the request. If
// the request has ended, the command is dropped and false returned. enqueueCommand
// does not block: a request has at most one send in progress, so at most
// commandQueueSize commands are queued.
func (g *Gateway) enqueueCommand(id model.RequestID, c command) bool {
	v, ok := g.exchanges.Load(id)
	if ok {
		v.(*exchange).commands <- c
	}
	return ok
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	view := g.control.Directory()
	if view.Stopping {
		// This instance is stopping. Closing the connection makes the caller
		// open its next connection to another instance.
		w.Header().Set("Connection", "close")
	}
	e := &exchange{gateway: g, writer: w, request: r, id: model.RequestID(g.nextID.Add(1)), commands: make(chan command, commandQueueSize)}
	if code := e.readRequest(view); code != result.Success {
		e.held.Release()
		reject := &event.Reject{Request: e.id, Code: code}
		if code == result.MemoryFull {
			w.Header().Set("Connection", "close")
			reject.RetryAfter = memoryRetryAfter
		}
		e.writeReject(reject)
		g.telemetry.ObserveRoutedRequest("", "", code, time.Since(start))
		return
	}
	defer e.held.Release()
	g.exchanges.Store(e.id, e)
	defer g.exchanges.Delete(e.id)
	defer e.endAfterPanic()
	code := e.run()
	e.endedInReducer = true
	route, _ := e.metricLabels(view)
	g.telemetry.ObserveRoutedRequest(route.name, route.kind, code, time.Since(start))
	e.endUpload()
	if e.truncated {
		// Aborts the connection, so that the caller notices that the response
		// is incomplete.
		panic(http.ErrAbortHandler)
	}
}
