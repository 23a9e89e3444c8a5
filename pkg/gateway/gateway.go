package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Control is what the gateway needs of the control goroutine.
type Control interface {
	Submit(event.Body) error
	Report(event.Body)
	Done() <-chan struct{}
	Directory() *directory.View
}

// Recorder takes the end of requests.
type Telemetry interface {
	// Routed records the latency and the code of an ended request.
	Routed(route string, kind string, code result.Code, latency time.Duration)
	Log(event.Log)
}

// Gateway carries routed requests. It implements control.Forwarder.
type Gateway struct {
	headers   Headers
	control   Control
	telemetry Telemetry
	now       func() model.Time
	pool      *pool

	nextID    atomic.Uint64
	exchanges sync.Map // model.RequestID to *exchange
}

// New returns a gateway. SetControl must be called before it takes requests.
func New(headers Headers, telemetry Telemetry, now func() model.Time) *Gateway {
	return &Gateway{headers: headers, telemetry: telemetry, now: now, pool: newPool()}
}

// SetControl connects the gateway to the control goroutine.
func (g *Gateway) SetControl(c Control) { g.control = c }

// command is what the control goroutine decided about a request.
type command struct {
	forward *event.Forward
	deliver bool
	reject  *event.Reject
}

// Forward implements control.Forwarder.
func (g *Gateway) Forward(f event.Forward) { g.enqueueCommand(f.Request, command{forward: &f}) }

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

// command hands a decision to the goroutine of the request. A request has at
// most one send in progress, so the channel never fills.
func (g *Gateway) enqueueCommand(id model.RequestID, c command) {
	if v, ok := g.exchanges.Load(id); ok {
		v.(*exchange).commands <- c
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	view := g.control.Directory()
	if view.Stopping {
		// Clients open their next connection to another instance.
		w.Header().Set("Connection", "close")
	}
	e := &exchange{gateway: g, writer: w, request: r, id: model.RequestID(g.nextID.Add(1)), commands: make(chan command, commandQueueSize)}
	if code := e.readRequest(view); code != result.Answered {
		e.writeReject(&event.Reject{Request: e.id, Code: code})
		g.telemetry.Routed("", "", code, time.Since(start))
		return
	}
	g.exchanges.Store(e.id, e)
	defer g.exchanges.Delete(e.id)
	code := e.run()
	route, _ := e.metricLabels(view)
	g.telemetry.Routed(route.name, route.kind, code, time.Since(start))
	if e.truncated {
		// The caller must see that the response is not complete.
		panic(http.ErrAbortHandler)
	}
}
