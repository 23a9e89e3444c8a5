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
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// commandQueue holds the decisions about one request that wait for its
	// goroutine: a delivery or rejection beside a send that is being canceled.
	commandQueueSize = 4
	// maxHeldBody is the largest request body that is held for repeated sends.
	// Larger ones are streamed and sent once.
	maxBufferedBodyBytes = 256 << 10
)

// exchange is one request of a caller.
type exchange struct {
	gateway  *Gateway
	id       model.RequestID
	writer   http.ResponseWriter
	request  *http.Request
	commands chan command
	// body is the held part of the request body, stream the rest of a longer one.
	bufferedBody  []byte
	remainingBody io.Reader
	// response is that of the latest send.
	response *response
	// broken is set when a response ended after a part of it was sent on.
	truncated bool

	mu         sync.Mutex
	conn       *upstreamConn
	canceled   bool
	cancelDial context.CancelFunc
}

// namedRoute is what metrics say of a request's route.
type routeLabels struct {
	name string
	kind string
}

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

// read checks the request against the limits and holds its body.
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
	body := io.Reader(e.request.Body)
	if bodyLimit > 0 {
		if e.request.ContentLength > bodyLimit {
			return result.BodyTooLarge
		}
		body = http.MaxBytesReader(e.writer, e.request.Body, bodyLimit)
	}
	if e.request.ContentLength == 0 {
		return result.Answered
	}
	buffered, err := io.ReadAll(io.LimitReader(body, maxBufferedBodyBytes+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.BodyTooLarge
	case err != nil:
		return result.MalformedRequest
	}
	e.bufferedBody = buffered
	if len(buffered) > maxBufferedBodyBytes {
		e.remainingBody = body
	}
	return result.Answered
}

// headerSize returns the size of a request's line and header as it is written.
func headerSize(r *http.Request) int64 {
	const separators = 4 // colon, space and line end
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return int64(size)
}

// run hands the request to the control goroutine and carries out what it
// decides.
func (e *exchange) run() result.Code {
	g := e.gateway
	err := g.control.Submit(event.RoutedArrived{
		ID: e.id, Label: e.request.Header.Get(g.headers.AttemptID), Host: e.request.Host, Path: e.request.URL.EscapedPath(),
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
			return e.writeReject(&event.Reject{Request: e.id, Code: result.UpstreamLost})
		}
	}
}

// carryOut carries out a decision and reports whether the request has ended.
func (e *exchange) execute(c command) (result.Code, bool) {
	switch {
	case c.forward != nil:
		ended := e.send(c.forward)
		e.gateway.control.Report(ended)
		return 0, false
	case c.deliver:
		if e.response != nil {
			e.writeResponse()
		}
		return result.Answered, true
	}
	return e.writeReject(c.reject), true
}

// cancel ends the send that is in progress, or the next one.
func (e *exchange) cancelSend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = true
	if e.cancelDial != nil {
		e.cancelDial()
	}
	if e.conn != nil {
		e.conn.closed.Store(true)
		_ = e.conn.Close()
	}
}

// use makes a connection the one that cancel closes. It reports false if the
// send was canceled before.
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

// copyHeader sets the response header for the caller.
func (e *exchange) setResponseHeader(h http.Header) {
	header := e.writer.Header()
	maps.Copy(header, endToEndHeaders(h))
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps the server from guessing one.
		header["Content-Type"] = nil
	}
}

// writeResponse sends a complete response to the caller.
func (e *exchange) writeResponse() {
	e.setResponseHeader(e.response.header)
	if e.request.Method != http.MethodHead && bodyAllowed(e.response.status) {
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(e.response.body)))
	}
	e.writer.WriteHeader(e.response.status)
	if e.request.Method != http.MethodHead && len(e.response.body) > 0 {
		// The server notices a caller that does not read; there is nobody to tell.
		_, _ = e.writer.Write(e.response.body)
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeReject sends an answer of this instance.
func (e *exchange) writeReject(r *event.Reject) result.Code {
	h := e.writer.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if e.remainingBody != nil {
		h.Set("Connection", "close")
	}
	proxy.WriteError(e.writer, &result.Error{Code: r.Code})
	return r.Code
}
