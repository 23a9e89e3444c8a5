package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

const (
	// maxStaleResponses is how many stale responses may precede the response to
	// a request. If more of them arrive, the send fails. A stale response has
	// the attempt ID of an earlier request on the connection. It is read and
	// discarded.
	maxStaleResponses = 2
	// maxInformationalResponses is how many informational (1xx) responses may precede
	// the response to a request.
	maxInformationalResponses = 20
	// maxStaleBodyBytes limits the body of a stale response that is read and
	// discarded. The send fails if the body has this size or more.
	maxStaleBodyBytes = 1 << 20
	// deadlineMargin is the time from the deadline of a send until reads and
	// writes on its connection fail. Usually the control goroutine cancels the
	// send earlier.
	deadlineMargin = 200 * time.Millisecond
	// copyBufferBytes is the size of the buffer through which a body is
	// streamed.
	copyBufferBytes = 32 << 10
)

// errTooManyInformational means that an upstream wrote more than
// maxInformationalResponses.
var errTooManyInformational = errors.New("too many informational responses")

// errBrokenOff means that the connection failed for the upload while a response was read
// whose end is the end of the connection.
var errBrokenOff = errors.New("the connection broke off")

// errResponseMismatch means that the connection did not return a response with
// the attempt ID of the request.
var errResponseMismatch = errors.New("the response belongs to another request")

// response is a complete response of an upstream.
type response struct {
	status int
	header http.Header
	body   []byte
	// contentLength is the stated length of the body, -1 if none is stated. The
	// response to a HEAD request states it without a body.
	contentLength int64
}

// send sends the request to an upstream once and reads the response. The
// outcome in the returned event shows whether the upstream may have executed
// the request.
func (e *exchange) send(f *event.Forward) event.SendEnded {
	g := e.gateway
	ended := event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream, UpstreamStartMs: f.UpstreamStartMs}
	e.dropResponse()
	remaining := f.Deadline.Sub(g.now())
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	e.mu.Lock()
	e.cancelDial = cancel
	e.mu.Unlock()
	conn, timing, err := g.pool.get(ctx, f, e.attemptID() == "")
	ended.ConnectTime, ended.IdleTime = timing.connectTime, timing.idleTime
	if err != nil {
		ended.Outcome = event.SendConnectFailed
		e.logFailure(f, &ended, err)
		return ended
	}
	if !e.setConn(conn) {
		g.pool.discard(conn)
		ended.Outcome = event.SendConnectFailed
		return ended
	}
	start := time.Now()
	err = e.roundTrip(conn, f, &ended)
	ended.ResponseTime = time.Since(start)
	e.setConn(nil)
	if err == nil {
		return ended
	}
	g.pool.discard(conn)
	switch {
	case ended.Outcome == event.SendStreamed:
		e.truncated = true
	case conn.bytesWritten.Load() == 0:
		ended.Outcome = event.SendConnectFailed
	case e.wasCanceled():
		ended.Outcome = event.SendCanceled
	default:
		ended.Outcome = event.SendLost
	}
	e.logFailure(f, &ended, err)
	return ended
}

// logFailure logs a send that failed.
func (e *exchange) logFailure(f *event.Forward, ended *event.SendEnded, err error) {
	e.gateway.telemetry.Log(event.Log{Code: logevent.SendFailed, Fields: []logevent.Field{
		logevent.F("request", e.attemptID()), logevent.F("number", f.Request),
		logevent.F("upstream", f.Upstream), logevent.F("address", f.Address), logevent.F("attempt", f.Attempt),
		logevent.F("outcome", ended.Outcome.String()), logevent.F("ms", ended.ResponseTime.Milliseconds()), logevent.F("error", err.Error())}})
}

// roundTrip writes the request to a connection and reads the response. On
// success, roundTrip puts the connection back into the pool, or closes the
// connection if it cannot be reused. On an error, the caller of roundTrip must
// close the connection.
func (e *exchange) roundTrip(conn *upstreamConn, f *event.Forward, ended *event.SendEnded) error {
	g := e.gateway
	deadline := time.Now().Add(f.Deadline.Sub(g.now()) + deadlineMargin)
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	encoded, err := e.encodeRequest(f)
	if err != nil {
		return err
	}
	if _, err := conn.Write(encoded); err != nil {
		return err
	}
	if e.remainingBody != nil {
		e.startUpload(conn)
	}
	resp, err := e.readResponse(conn, f)
	if err != nil {
		return err
	}
	ended.Status = resp.StatusCode
	if resp.StatusCode != http.StatusMisdirectedRequest {
		conn.upstream, conn.upstreamStartMs = f.Upstream, f.UpstreamStartMs
		ended.Responded, ended.Statement = true, g.readStatement(conn, resp)
	}
	ended.Load = parseLoad(resp.Header.Get(g.headers.Load))
	ended.ColdRemaining = parseMillis(resp.Header.Get(g.headers.ColdRemaining))
	ended.Outcome = event.SendAnswered
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		ended.Outcome = event.SendMisdirected
	case resp.Header.Get(g.headers.NotExecuted) != "":
		ended.Outcome = event.SendNotExecuted
	}
	if err := e.readBody(resp, f.BufferLimit, ended); err != nil {
		return err
	}
	if e.endsWithConnection(resp) && !e.upload.completeBy(deadline, g.control.Done()) {
		// The kernel reports a reset once: if the upload got the error, the response
		// seems to end properly.
		ended.Truncated = ended.Outcome == event.SendStreamed
		e.dropResponse()
		return errBrokenOff
	}
	// A pooled connection may be in use by another request, so cancelSend must not
	// find it any more.
	canceled := !e.setConn(nil)
	if !canceled && e.outliveResponse(ended, deadline) {
		return nil
	}
	if canceled || resp.Close || conn.reader.Buffered() > 0 || !e.upload.complete() {
		g.pool.discard(conn)
		return nil
	}
	g.pool.put(conn, keepAliveTimeout(resp.Header))
	return nil
}

// readStatement returns what an upstream states about itself in the header of a
// response. That it leaves or wants a pause is reported at once, since the body may
// take long. Malformed statements are logged and ignored.
func (g *Gateway) readStatement(conn *upstreamConn, resp *http.Response) model.UpstreamStatement {
	s, malformed := proxy.ReadStatement(resp.StatusCode, resp.Header, g.headers.RequestLimit, g.headers.Leaving)
	if malformed != "" {
		g.telemetry.Log(event.Log{Code: logevent.StatementMalformed, Fields: []logevent.Field{
			logevent.F("upstream", conn.upstream), logevent.F("header", malformed), logevent.F("value", resp.Header.Get(malformed))}})
	}
	if s.Leaving || s.Pause > 0 {
		g.control.Report(event.UpstreamStated{Upstream: conn.upstream, StartMs: conn.upstreamStartMs, Statement: s})
	}
	return s
}

// encodeRequest returns the encoded request header, followed by the body if it is
// buffered completely. It returns an error if a value cannot be part of a header.
func (e *exchange) encodeRequest(f *event.Forward) ([]byte, error) {
	g := e.gateway
	var head headWriter
	head.requestLine(e.request.Method, e.request.URL.RequestURI(), e.request.Host)
	header := endToEndHeaders(e.request.Header)
	header.Del(g.headers.Remaining)
	header.Del(g.headers.TargetUpstream)
	for name, values := range header {
		for _, v := range values {
			head.field(name, v)
		}
	}
	remaining := max(1, f.Deadline.Sub(g.now()).Milliseconds())
	head.field(g.headers.Remaining, strconv.FormatInt(remaining, 10))
	head.field(g.headers.TargetUpstream, string(f.Upstream))
	switch {
	case e.remainingBody != nil && e.request.ContentLength < 0:
		head.field("Transfer-Encoding", "chunked")
	case e.remainingBody != nil:
		head.field("Content-Length", strconv.FormatInt(e.request.ContentLength, 10))
	case len(e.bufferedBody) > 0 || e.request.Method == http.MethodPost || e.request.Method == http.MethodPut || e.request.Method == http.MethodPatch:
		head.field("Content-Length", strconv.Itoa(len(e.bufferedBody)))
	}
	head.end()
	if head.err != nil {
		return nil, head.err
	}
	if e.remainingBody == nil {
		head.buffer.Write(e.bufferedBody)
	}
	return head.buffer.Bytes(), nil
}

// attemptID returns the caller's identifier of the request, "" if there is none.
func (e *exchange) attemptID() string { return e.request.Header.Get(e.gateway.headers.AttemptID) }

// readResponse reads the header of the response to the request. It skips
// informational responses and stale responses. A stale response answers an
// earlier request on the connection and has a different attempt ID. An error
// response without an attempt ID is accepted only on a connection that has
// carried no other request: it may be a refusal of an earlier request that the
// upstream wrote once more, and then says nothing about this request.
func (e *exchange) readResponse(conn *upstreamConn, f *event.Forward) (*http.Response, error) {
	wantID := e.attemptID()
	for range maxStaleResponses + 1 {
		resp, err := e.readFinalHead(conn)
		if err != nil {
			return nil, err
		}
		gotID := resp.Header.Get(e.gateway.headers.AttemptID)
		if wantID == "" || gotID == wantID || gotID == "" && resp.StatusCode >= http.StatusBadRequest && !conn.used {
			return resp, nil
		}
		if gotID != "" && conn.upstream == f.Upstream && resp.StatusCode != http.StatusMisdirectedRequest {
			// Nobody waits for the response any more, but what the upstream states
			// in it holds.
			e.gateway.readStatement(conn, resp)
		}
		if resp.Close || gotID == "" {
			return nil, errResponseMismatch
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes)); err != nil || n == maxStaleBodyBytes {
			return nil, errResponseMismatch
		}
	}
	return nil, errResponseMismatch
}

// readFinalHead reads the head of the next response that is not informational.
func (e *exchange) readFinalHead(conn *upstreamConn) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		resp, err := conn.readHead(e.request)
		headBytes := maxResponseHeadBytes - conn.head.remaining
		e.held.Add(headBytes)
		e.heldResponse += headBytes
		if err != nil {
			return nil, err
		}
		if err := proxy.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if !proxy.IsInformational(resp.StatusCode) {
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// readBody buffers the body of a response. A body larger than bufferLimit bytes, or for
// which the memory budget has no room, is streamed to the caller instead: the upstream can
// then write only as fast as the caller reads.
func (e *exchange) readBody(resp *http.Response, bufferLimit int, ended *event.SendEnded) error {
	before := e.held
	buffered, err := e.held.ReadUpTo(resp.Body, memory.Responses, bufferLimit, resp.ContentLength)
	bodyBytes := e.held.Since(before)
	e.heldResponse += bodyBytes
	switch {
	case err == nil:
		e.response = &response{status: resp.StatusCode, header: resp.Header, body: buffered, contentLength: resp.ContentLength}
		return nil
	case !errors.Is(err, io.ErrShortBuffer) && !errors.Is(err, memory.ErrExhausted):
		return err
	}
	ended.Outcome = event.SendStreamed
	e.setResponseHeader(resp.Header)
	if resp.ContentLength >= 0 {
		e.writer.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	e.started = true
	e.beforeResponse()
	e.writer.WriteHeader(resp.StatusCode)
	caller := &flushingWriter{Writer: e.writer, controller: http.NewResponseController(e.writer)}
	if _, err := caller.Write(buffered); err != nil {
		return err
	}
	e.held.Shrink(bodyBytes)
	e.heldResponse -= bodyBytes
	body := &trackedReader{Reader: resp.Body}
	_, err = io.CopyBuffer(caller, body, e.copyBuffer())
	ended.Truncated = body.err != nil
	return err
}

// endsWithConnection reports whether the body of a response has neither a stated length nor
// chunks, so that only the end of the connection shows that it is complete.
func (e *exchange) endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && e.request.Method != http.MethodHead && bodyAllowed(resp.StatusCode)
}

// dropResponse releases the response of an earlier attempt, which is not delivered any
// more.
func (e *exchange) dropResponse() {
	e.response = nil
	e.held.Shrink(e.heldResponse)
	e.heldResponse = 0
}

// copyBuffer returns a buffer for streaming a body, a small one if the memory budget is
// exhausted.
func (e *exchange) copyBuffer() []byte {
	if !e.held.Grow(copyBufferBytes, memory.Responses) {
		return make([]byte, memory.SmallCopyBytes)
	}
	return make([]byte, copyBufferBytes)
}

// flushingWriter flushes after each write. An upstream may pause for long after a
// part of its response.
type flushingWriter struct {
	io.Writer
	controller *http.ResponseController
}

// Write implements io.Writer.
func (w *flushingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		return n, err
	}
	if err := w.controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return n, err
	}
	return n, nil
}

// trackedReader records why a read failed. io.CopyBuffer returns one error for failed
// reads and for failed writes.
type trackedReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *trackedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}
