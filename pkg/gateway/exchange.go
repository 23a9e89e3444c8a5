package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// commandQueueSize is the capacity of each request's command channel. A
	// delivery or rejection may be queued while the goroutine that serves the
	// request is still ending a canceled send.
	commandQueueSize = 4
	// maxBufferedBodyBytes is the largest request body that is buffered, so that
	// it can be sent again in a retry. A larger body is streamed and sent once.
	maxBufferedBodyBytes = 256 << 10
)

// exchange is a caller's request and the response to it. Its methods are called by
// the goroutine that serves the request, except for cancelSend.
type exchange struct {
	gateway  *Gateway
	id       model.RequestID
	writer   http.ResponseWriter
	request  *http.Request
	commands chan command
	// held is what the request holds of the gateway's memory budget, of which
	// heldResponse is for response.
	held         memory.Holding
	heldResponse int
	// bufferedBody is the request body, or its first part if the body is too
	// large to be buffered completely.
	bufferedBody []byte
	// remainingBody reads the body after bufferedBody. It is nil for a body that is
	// buffered completely.
	remainingBody io.Reader
	// upload passes bufferedBody and remainingBody on. It is nil before the request is
	// sent, and for a body that is buffered completely.
	upload *upload
	// response is the most recent upstream response that was buffered
	// completely. It is nil before the first such response, and after a send
	// has begun to stream a response to the caller. A send is one attempt at an
	// upstream.
	response *response
	// answered is true if response is the upstream's answer to the request, and not
	// a refusal.
	answered bool
	// sending is the send in progress whose end was not reported yet, nil between sends.
	sending *event.Forward
	// endedInReducer is set when the reducer has ended the request.
	endedInReducer bool
	// started is set when the header of a streamed response is written to the
	// caller. Nothing else may be written after it.
	started bool
	// truncated is set when streaming a response to the caller failed before the
	// response was complete.
	truncated bool

	// mu guards the fields below, which cancelSend accesses from another
	// goroutine.
	mu sync.Mutex
	// conn is the connection of the send in progress, nil between sends.
	conn *upstreamConn
	// canceled is set by cancelSend and makes all later sends of the request
	// fail.
	canceled bool
	// cancelDial cancels the dialing of the connection for the current send.
	cancelDial context.CancelFunc
}

// routeLabels are the metric labels that identify the route of a request.
type routeLabels struct {
	name string
	kind string
}

// metricLabels returns the labels of the route that the request matches, and false
// if it matches none.
func (e *exchange) metricLabels(view *directory.View) (routeLabels, bool) {
	if view.Table == nil {
		return routeLabels{}, false
	}
	matched, ok := view.Table.Route(e.request.Host, e.request.URL.Path)
	if !ok {
		return routeLabels{}, false
	}
	return routeLabels{matched.Name, matched.Kind.String()}, true
}

// readRequest checks the request against the configured limits and buffers its
// body. It returns the result code with which the request must be rejected, or
// result.Success if the request is accepted.
func (e *exchange) readRequest(view *directory.View) result.Code {
	if e.request.Method == http.MethodConnect || e.request.Header.Get("Upgrade") != "" || e.request.Host == "" {
		return result.MalformedRequest
	}
	var bodyLimit int64
	if view.Table != nil && view.Table.Limits() != nil {
		bodyLimit = view.Table.Limits().MaxBodyBytes
		if headerSize(e.request) > view.Table.Limits().MaxHeaderBytes {
			return result.HeaderTooLarge
		}
	}
	held, ok := e.gateway.memory.Admit()
	if !ok {
		return result.MemoryFull
	}
	e.held = held
	e.held.Attribute(inbound.Account(e.request.Context()))
	if !e.held.Grow(memory.CopiedFieldsBytes(e.request.Header), memory.Requests) {
		return result.MemoryFull
	}
	body := io.Reader(e.request.Body)
	if bodyLimit > 0 {
		if e.request.ContentLength > bodyLimit {
			return result.BodyTooLarge
		}
		// The writer is not passed on: the reader would write to its header from the
		// goroutine of the upload.
		body = http.MaxBytesReader(nil, e.request.Body, bodyLimit)
	}
	if e.request.ContentLength == 0 {
		return result.Success
	}
	buffered, err := e.held.ReadUpTo(body, memory.Requests, maxBufferedBodyBytes, e.request.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.BodyTooLarge
	case errors.Is(err, memory.ErrExhausted):
		return result.MemoryFull
	case errors.Is(err, io.ErrShortBuffer):
		e.remainingBody = body
		inbound.WidenReceiveBuffer(e.request.Context(), &e.held)
		// Without this, net/http reads the caller's body itself before it writes the
		// head of a response.
		if err := http.NewResponseController(e.writer).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return result.Internal
		}
	case err != nil:
		return result.MalformedRequest
	}
	e.bufferedBody = buffered
	return result.Success
}

// headerSize returns the least size of the request line and the header fields in bytes, as
// HTTP/1.1 encodes them: white space around values is optional.
func headerSize(r *http.Request) int64 {
	const (
		lineSeparators = 4 // two spaces and line end
		separators     = 3 // colon and line end
	)
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineSeparators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return int64(size)
}

// run submits the request to the control goroutine and executes the commands
// that follow, until the request has ended. It returns the result code of the
// request.
func (e *exchange) run() result.Code {
	g := e.gateway
	err := g.control.Submit(event.RoutedArrived{
		ID: e.id, Label: e.attemptID(), Host: e.request.Host, Path: e.request.URL.EscapedPath(),
		AffinityKey: e.request.Header.Get(g.headers.AffinityKey),
		Timeout:     parseMillis(e.request.Header.Get(g.headers.Remaining)),
		Replayable:  e.remainingBody == nil,
	})
	if err != nil {
		return e.writeReject(&event.Reject{Request: e.id, Code: result.ControlQueueFull, RetryAfter: time.Second})
	}
	stop := context.AfterFunc(e.request.Context(), func() { g.control.Report(event.RequestCanceled{ID: e.id}) })
	defer stop()
	for {
		select {
		case c := <-e.commands:
			if code, ended := e.execute(c); ended {
				return code
			}
		case <-g.control.Done():
			return e.endWithoutControl()
		}
	}
}

// endWithoutControl ends the request after the control goroutine has ended. The
// commands that it left are executed first. A response that is complete is
// delivered.
func (e *exchange) endWithoutControl() result.Code {
	for {
		select {
		case c := <-e.commands:
			if code, ended := e.execute(c); ended {
				return code
			}
			continue
		default:
		}
		if e.answered {
			e.writeResponse()
			return result.Success
		}
		return e.writeReject(&event.Reject{Request: e.id, Code: result.UpstreamLost})
	}
}

// execute executes a command. If the command ended the request, execute returns
// the result code of the request and true.
func (e *exchange) execute(c command) (result.Code, bool) {
	switch {
	case c.forward != nil:
		e.sending = c.forward
		ended := e.send(c.forward)
		e.sending = nil
		e.answered = ended.Outcome == event.SendAnswered && e.response != nil
		e.gateway.control.Report(ended)
		return 0, false
	case c.deliver:
		if e.response != nil {
			e.writeResponse()
		}
		return result.Success, true
	}
	return e.writeReject(c.reject), true
}

// endAfterPanic ends a request whose goroutine panics: in the reducer, which would wait for
// it otherwise, and at the upstream. The caller's connection is aborted.
func (e *exchange) endAfterPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	g := e.gateway
	g.exchanges.Delete(e.id)
	if !e.endedInReducer {
		g.telemetry.Log(proxy.PanicEvent(e.attemptID(), cause))
		g.control.Report(event.RequestCanceled{ID: e.id})
		if f := e.sending; f != nil {
			g.control.Report(event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, UpstreamStartMs: f.UpstreamStartMs,
				Outcome: event.SendLost})
		}
		e.cancelSend()
		if conn := e.takeConn(); conn != nil {
			g.pool.discard(conn)
		}
		if e.upload != nil {
			e.upload.unwanted = true
			e.endUpload()
		}
	}
	panic(http.ErrAbortHandler)
}

// takeConn returns the connection of the send in progress, nil if there is none, and leaves
// it to the caller.
func (e *exchange) takeConn() *upstreamConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conn := e.conn
	e.conn = nil
	return conn
}

// cancelSend cancels the send in progress: it cancels the dial and closes the
// connection if there is one. Every later send of the request fails before it
// writes anything to an upstream.
func (e *exchange) cancelSend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = true
	if e.cancelDial != nil {
		e.cancelDial()
	}
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// setConn sets the connection that cancelSend closes; nil means none. It
// returns false if cancelSend was already called, which may have closed the
// previous connection.
func (e *exchange) setConn(c *upstreamConn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = c
	return !e.canceled
}

func (e *exchange) wasCanceled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled
}

// setResponseHeader copies the end-to-end headers of the upstream's response to
// the response to the caller.
func (e *exchange) setResponseHeader(h http.Header) {
	header := e.writer.Header()
	maps.Copy(header, endToEndHeaders(h))
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from adding a content type that it derives
		// from the body.
		header["Content-Type"] = nil
	}
}

// writeResponse sends the buffered response to the caller.
func (e *exchange) writeResponse() {
	e.setResponseHeader(e.response.header)
	switch {
	case !bodyAllowed(e.response.status):
	case e.request.Method != http.MethodHead:
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(e.response.body)))
	case e.response.contentLength >= 0:
		e.writer.Header().Set("Content-Length", strconv.FormatInt(e.response.contentLength, 10))
	}
	e.beforeResponse()
	e.writer.WriteHeader(e.response.status)
	if e.request.Method != http.MethodHead && len(e.response.body) > 0 {
		// An error means that the caller has disconnected, so that there is nobody
		// to report it to.
		_, _ = e.writer.Write(e.response.body)
	}
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeReject sends the caller an error response with the result code of the
// rejection, and returns the code. It closes the caller's connection if the
// request body was not read to its end. It sends nothing if a streamed response has
// begun.
func (e *exchange) writeReject(r *event.Reject) result.Code {
	if e.started {
		return r.Code
	}
	if code := e.bodyFault(); code != result.Success {
		r = &event.Reject{Request: r.Request, Code: code}
	}
	h := e.writer.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if e.remainingBody != nil {
		h.Set("Connection", "close")
	}
	if e.upload != nil {
		e.upload.unwanted = true
	}
	proxy.WriteError(e.writer, &result.Error{Code: r.Code})
	return r.Code
}
