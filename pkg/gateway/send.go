package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
)

const (
	// maxStray is how many responses of earlier requests are passed over on a
	// connection.
	maxStray = 2
	// maxStrayBody is the largest body of such a response.
	maxStrayBody = 1 << 20
	// lateMargin is how long after its deadline a send is ended here, if the
	// control goroutine has not done so.
	lateMargin = 200 * time.Millisecond
	copyBuffer = 32 << 10
)

// errMismatch reports a response that belongs to no open request.
var errMismatch = errors.New("the response belongs to another request")

// response is a complete response of an upstream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request once and reads the response.
func (e *exchange) send(f *event.Forward) event.SendEnded {
	g := e.gateway
	ended := event.SendEnded{Request: f.Request, Attempt: f.Attempt, Upstream: f.Upstream}
	left := f.Deadline.Sub(g.now())
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	e.mu.Lock()
	e.stopDial = cancel
	e.mu.Unlock()
	conn, opened, err := g.pool.get(ctx, f)
	ended.ConnectTime, ended.IdleTime = opened.took, opened.rested
	if err != nil {
		ended.Outcome = event.SendConnectFailed
		e.logFailure(f, &ended, err)
		return ended
	}
	if !e.use(conn) {
		g.pool.discard(conn)
		ended.Outcome = event.SendConnectFailed
		return ended
	}
	start := time.Now()
	err = e.exchangeOn(conn, f, &ended)
	ended.ResponseTime = time.Since(start)
	e.use(nil)
	if err == nil {
		return ended
	}
	g.pool.discard(conn)
	switch {
	case ended.Outcome == event.SendStreamed:
		e.broken = true
	case conn.written.Load() == 0:
		ended.Outcome = event.SendConnectFailed
	case e.wasCanceled():
		ended.Outcome = event.SendCanceled
	default:
		ended.Outcome = event.SendLost
	}
	e.logFailure(f, &ended, err)
	return ended
}

func (e *exchange) logFailure(f *event.Forward, ended *event.SendEnded, err error) {
	e.gateway.records.Log(event.Log{Code: logevent.SendFailed, Fields: []logevent.Field{
		logevent.F("request", e.r.Header.Get(e.gateway.headers.Attempt)), logevent.F("number", f.Request),
		logevent.F("upstream", f.Upstream), logevent.F("address", f.Address), logevent.F("attempt", f.Attempt),
		logevent.F("outcome", ended.Outcome.String()), logevent.F("ms", ended.ResponseTime.Milliseconds()), logevent.F("error", err.Error())}})
}

// exchangeOn writes the request and reads its response. On success the
// connection is kept or closed, as the response says.
func (e *exchange) exchangeOn(conn *upstreamConn, f *event.Forward, ended *event.SendEnded) error {
	g := e.gateway
	if err := conn.SetDeadline(time.Now().Add(f.Deadline.Sub(g.now()) + lateMargin)); err != nil {
		return err
	}
	bodyDone := make(chan error, 1)
	if _, err := conn.Write(e.requestHead(f)); err != nil {
		return err
	}
	if e.stream != nil {
		go func() { bodyDone <- e.writeStream(conn) }()
	} else {
		bodyDone <- nil
	}
	resp, err := e.readResponse(conn)
	if err != nil {
		return err
	}
	ended.Status = resp.StatusCode
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
	select {
	case err := <-bodyDone:
		if err != nil {
			resp.Close = true
		}
	default:
		// The upstream answered before it had the whole body; nothing else may
		// follow on this connection.
		resp.Close = true
	}
	if resp.Close || conn.reader.Buffered() > 0 {
		g.pool.discard(conn)
		return nil
	}
	g.pool.put(conn, keepAliveTimeout(resp.Header))
	return nil
}

// requestHead returns the header of the request, with the body if it is held as
// a whole.
func (e *exchange) requestHead(f *event.Forward) []byte {
	g := e.gateway
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.r.Method, e.r.URL.RequestURI(), e.r.Host)
	header := passedOn(e.r.Header)
	header.Del(g.headers.Remaining)
	header.Del(g.headers.Upstream)
	for name, values := range header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	left := max(1, f.Deadline.Sub(g.now()).Milliseconds())
	b.WriteString(g.headers.Remaining + ": " + strconv.FormatInt(left, 10) + "\r\n")
	b.WriteString(g.headers.Upstream + ": " + string(f.Upstream) + "\r\n")
	switch {
	case e.stream != nil && e.r.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case e.stream != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(e.r.ContentLength, 10) + "\r\n")
	case len(e.body) > 0 || e.r.Method == http.MethodPost || e.r.Method == http.MethodPut || e.r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if e.stream == nil {
		b.Write(e.body)
	}
	return b.Bytes()
}

// writeStream sends a body that is not held as a whole.
func (e *exchange) writeStream(conn *upstreamConn) error {
	body := io.MultiReader(bytes.NewReader(e.body), e.stream)
	if e.r.ContentLength >= 0 {
		n, err := io.CopyBuffer(conn, body, make([]byte, copyBuffer))
		if err == nil && n != e.r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// readResponse reads the header of the response to this request. A response to
// an earlier request on the connection is passed over.
func (e *exchange) readResponse(conn *upstreamConn) (*http.Response, error) {
	want := e.r.Header.Get(e.gateway.headers.Attempt)
	for range maxStray + 1 {
		resp, err := http.ReadResponse(conn.reader, e.r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		got := resp.Header.Get(e.gateway.headers.Attempt)
		if want == "" || got == want || got == "" && resp.StatusCode >= http.StatusBadRequest {
			return resp, nil
		}
		if resp.Close || got == "" {
			return nil, errMismatch
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody)); err != nil || n == maxStrayBody {
			return nil, errMismatch
		}
	}
	return nil, errMismatch
}

// readBody holds the body of a response, or relays a long one as it comes.
func (e *exchange) readBody(resp *http.Response, hold int, ended *event.SendEnded) error {
	size := bytes.MinRead
	if resp.ContentLength > 0 {
		size = int(min(resp.ContentLength, int64(hold))) + bytes.MinRead
	}
	held := bytes.NewBuffer(make([]byte, 0, size))
	n, err := held.ReadFrom(io.LimitReader(resp.Body, int64(hold)+1))
	if err != nil {
		return err
	}
	if n <= int64(hold) {
		e.response = &response{status: resp.StatusCode, header: resp.Header, body: held.Bytes()}
		return nil
	}
	ended.Outcome = event.SendStreamed
	e.response = nil
	e.copyHeader(resp.Header)
	if resp.ContentLength >= 0 {
		e.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	e.w.WriteHeader(resp.StatusCode)
	if _, err := e.w.Write(held.Bytes()); err != nil {
		return err
	}
	source := &upstreamBody{Reader: resp.Body}
	_, err = io.CopyBuffer(e.w, source, make([]byte, copyBuffer))
	ended.Truncated = source.failed
	return err
}

// upstreamBody notes whether reading failed, apart from failures to write to the
// caller.
type upstreamBody struct {
	io.Reader
	failed bool
}

// Read implements io.Reader.
func (b *upstreamBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.failed = err != nil && !errors.Is(err, io.EOF)
	return n, err
}
