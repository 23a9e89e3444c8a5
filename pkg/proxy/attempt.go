package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// attempt is one dispatch of a request to an upstream. Several attempts of one
// request may run at the same time.
type attempt struct {
	proxy    *Proxy
	exchange *exchange
	dispatch event.Dispatch
	ctx      context.Context
	cancel   context.CancelFunc
	// response is the upstream's response. It is set when the headers have
	// arrived, before the event AttemptAnswered is reported.
	response atomic.Pointer[http.Response]
	// canceled is set when the control goroutine cancels the attempt or the caller
	// has disconnected.
	canceled atomic.Bool
	// expired is set when the attempt is ended because its deadline has passed.
	expired atomic.Bool
	// deadlineTimer calls expire at the deadline.
	deadlineTimer *time.Timer
	// bufferLimit is the largest response body, in bytes, that is buffered until it
	// is complete.
	bufferLimit int
	// endOnce makes reportEnd report the end of the attempt only once.
	endOnce sync.Once

	// wrote receives the result of writing the request. It is set by newRequest.
	wrote chan error

	connMu sync.Mutex
	// conn is the connection on which the request is sent, nil until
	// http.Transport has chosen one.
	conn *countingConn
	// writtenBefore is the number of bytes that earlier requests wrote to conn.
	writtenBefore int64
}

func newAttempt(p *Proxy, e *exchange, d event.Dispatch) *attempt {
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{proxy: p, exchange: e, dispatch: d, ctx: ctx, cancel: cancel}
	a.deadlineTimer = time.AfterFunc(d.Deadline.Sub(p.now()), a.expire)
	return a
}

// expire ends the attempt at its deadline.
func (a *attempt) expire() {
	a.expired.Store(true)
	a.cancel()
}

// extend moves the deadline of the attempt to a later time, unless the earlier
// deadline has already ended the attempt.
func (a *attempt) extend(deadline model.Time) {
	if deadline > a.dispatch.Deadline && a.deadlineTimer.Stop() {
		a.deadlineTimer.Reset(deadline.Sub(a.proxy.now()))
	}
}

// run sends the request and reports either that the response headers arrived or
// that the attempt failed.
func (a *attempt) run() {
	start := time.Now()
	if a.dispatch.StartBy != 0 {
		startTimer := time.AfterFunc(a.dispatch.StartBy.Sub(a.proxy.now()), a.cancelIfUnstarted)
		defer startTimer.Stop()
	}
	resp, err := a.roundTrip()
	if err != nil {
		a.reportEnd(event.AttemptEnded{Result: a.classifyFailure(err)})
		return
	}
	if err := CheckFinalStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		a.closeConn()
		a.proxy.telemetry.Log(event.Log{Code: logevent.SendFailed, Fields: []logevent.Field{
			logevent.F("request", a.dispatch.Request), logevent.F("address", a.dispatch.Address),
			logevent.F("attempt", a.dispatch.Attempt.String()), logevent.F("error", err.Error())}})
		a.reportEnd(event.AttemptEnded{Result: event.LostAfterDispatch})
		return
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) != ""
	answers := resp.Header.Get(HeaderAttempt)
	if answers != "" && answers != a.dispatch.Attempt.String() {
		a.closeConn()
		a.reportEnd(event.AttemptEnded{Result: event.LostAfterDispatch})
		return
	}
	statement, malformed := ReadStatement(resp.StatusCode, resp.Header, HeaderRequestLimit, HeaderLeaving)
	if malformed != "" {
		a.proxy.telemetry.Log(event.Log{Code: logevent.StatementMalformed, Fields: []logevent.Field{
			logevent.F("address", a.dispatch.Address), logevent.F("header", malformed), logevent.F("value", resp.Header.Get(malformed))}})
	}
	stated := event.UpstreamStatement{Incarnation: a.dispatch.Incarnation, Statement: statement}
	if refused && answers == "" {
		// If the upstream wrote this refusal once more, it could not be told from
		// the refusal of a later request on the connection.
		a.closeConn()
	}
	if refused {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, copyBufferBytes))
		_ = resp.Body.Close()
		a.reportEnd(event.AttemptEnded{Result: event.RefusedBeforeExecution, Stated: stated})
		return
	}
	a.response.Store(resp)
	a.proxy.control.Report(event.AttemptAnswered{
		Request: a.dispatch.Request, Attempt: a.dispatch.Attempt,
		Status: resp.StatusCode, Latency: time.Since(start), Stated: stated})
}

// roundTrip sends the request and returns the header of the response.
// http.Transport may choose an idle connection that closeConn of an earlier
// attempt has just closed. Nothing is sent on it, and the request is sent again
// on another connection, unless a part of its streamed body was read.
func (a *attempt) roundTrip() (*http.Response, error) {
	for {
		a.setConn(nil)
		req, err := a.newRequest()
		if err != nil {
			return nil, err
		}
		resp, err := a.proxy.transport(a.dispatch.Class, a.dispatch.MaxConnections).RoundTrip(req)
		if err == nil || a.ctx.Err() != nil || a.exchange.upload != nil || !a.choseClosedConn() {
			return resp, err
		}
	}
}

// choseClosedConn reports whether the connection of the attempt was closed before
// any byte of its request was written.
func (a *attempt) choseClosedConn() bool {
	a.connMu.Lock()
	defer a.connMu.Unlock()
	return a.conn != nil && a.conn.closedUnused(a.writtenBefore)
}

// closeConn closes the connection of the attempt, so that no other request is sent
// on it.
func (a *attempt) closeConn() {
	a.connMu.Lock()
	defer a.connMu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// newRequest returns the request to the upstream.
func (a *attempt) newRequest() (*http.Request, error) {
	incoming := a.exchange.request
	url := "http://" + a.dispatch.Address + a.exchange.path
	if incoming.URL.RawQuery != "" {
		url += "?" + incoming.URL.RawQuery
	}
	wrote := make(chan error, 1)
	a.wrote = wrote
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn,
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case <-wrote: // of a connection that http.Transport has replaced
			default:
			}
			wrote <- info.Err
		}})
	req, err := http.NewRequestWithContext(ctx, incoming.Method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header = incoming.Header.Clone()
	RemoveHopByHopHeaders(req.Header)
	req.Header.Set(HeaderAttempt, a.dispatch.Attempt.String())
	req.Header.Set(HeaderUpstreamIncarnation, strconv.FormatInt(int64(a.dispatch.Incarnation), 10))
	remaining := a.dispatch.Deadline.Sub(a.proxy.now())
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	a.exchange.setRangeHeaders(req)
	// http.Transport retries GET requests and requests with an Idempotency-Key
	// by itself. It cannot retry a request that has a body but no GetBody.
	req.GetBody = nil
	if a.exchange.upload != nil {
		req.Body = io.NopCloser(a.pacedBody(a.exchange.upload))
		req.ContentLength = incoming.ContentLength
		return req, nil
	}
	if len(a.exchange.bufferedBody) == 0 {
		req.Body = io.NopCloser(bytes.NewReader(nil))
		return req, nil
	}
	req.Body = io.NopCloser(a.pacedBody(bytes.NewReader(a.exchange.bufferedBody)))
	req.ContentLength = int64(len(a.exchange.bufferedBody))
	return req, nil
}

// gotConn records the connection that the transport chose.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*countingConn); ok {
		a.setConn(conn)
	}
}

// setConn sets the connection of the attempt; nil means none.
func (a *attempt) setConn(c *countingConn) {
	a.connMu.Lock()
	defer a.connMu.Unlock()
	a.conn, a.writtenBefore = c, 0
	if c != nil {
		a.writtenBefore = c.bytesWritten()
	}
}

// cancelIfUnstarted cancels the attempt if no byte of its request was written
// yet, for example because the attempt still waits for a connection. It is
// called when the time to start the request (StartBy) has passed.
func (a *attempt) cancelIfUnstarted() {
	a.connMu.Lock()
	started := a.conn != nil && a.conn.bytesWritten() != a.writtenBefore
	a.connMu.Unlock()
	if !started {
		a.cancel()
	}
}

// classifyFailure returns the result of an attempt that failed before the
// response headers arrived. The result is ConnectFailed if no byte of the
// request was written: then the upstream cannot have executed the request.
func (a *attempt) classifyFailure(err error) event.AttemptResult {
	a.connMu.Lock()
	conn, writtenBefore := a.conn, a.writtenBefore
	a.connMu.Unlock()
	switch {
	case conn == nil || conn.blockWritesIfUnstarted(writtenBefore):
		return event.ConnectFailed
	case a.canceled.Load():
		return event.Canceled
	case a.expired.Load() || isTimeout(err):
		return event.TimedOut
	}
	return event.LostAfterDispatch
}

// reportEnd reports the end of the attempt to the control goroutine. Only the
// first call has an effect.
func (a *attempt) reportEnd(ev event.AttemptEnded) {
	a.endOnce.Do(func() {
		a.deadlineTimer.Stop()
		a.cancel()
		ev.Request = a.dispatch.Request
		ev.Attempt = a.dispatch.Attempt
		a.proxy.control.Report(ev)
		switch ev.Result {
		case event.Completed, event.ConnectFailed, event.RefusedBeforeExecution:
			a.proxy.attempts.Delete(a.dispatch.Attempt)
		default:
			// Keeps the attempt, since the reducer may still cancel it. The
			// upstream's answer to the cancellation tells whether the slot that
			// the attempt occupied is free.
			time.AfterFunc(a.dispatch.Deadline.Sub(a.proxy.now())+cancelTimeout, func() { a.proxy.attempts.Delete(a.dispatch.Attempt) })
		}
	})
}

// recordedAnswer returns the answer that the ledger records for the idempotency
// key of a request. It returns nil if body is nil, which means that the request
// has no key or that the response body is too large to record.
func recordedAnswer(resp *http.Response, body *bytes.Buffer) *model.Answer {
	if body == nil {
		return nil
	}
	answer := &model.Answer{Status: resp.StatusCode, Body: body.Bytes()}
	for _, name := range []string{"Content-Type", "Content-Language", "Location", "Etag", "Cache-Control"} {
		for _, value := range resp.Header.Values(name) {
			answer.Header = append(answer.Header, model.HeaderField{Name: name, Value: value})
		}
	}
	return answer
}

// cancelAtUpstream closes the attempt's connection and asks the upstream to
// cancel the request. It reports the state of the request according to the
// upstream's answer.
func (a *attempt) cancelAtUpstream() {
	a.canceled.Store(true)
	a.cancel()
	if resp := a.response.Load(); resp != nil {
		// The end of a response that is not being relayed must be reported here,
		// since no other goroutine reads its body.
		_ = resp.Body.Close()
		a.reportEnd(event.AttemptEnded{Result: event.Canceled})
	}
	state := a.requestCancel()
	a.proxy.control.Report(event.CancelConfirmed{
		Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, State: state})
	if state != event.CancelUnknown {
		a.proxy.attempts.Delete(a.dispatch.Attempt)
	}
}

// requestCancel sends a cancellation request to the upstream. It returns the
// state of the canceled request that the upstream reports, or CancelUnknown if
// the upstream reports no valid state.
func (a *attempt) requestCancel() event.CancelState {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.dispatch.Address+CancelPath, nil)
	if err != nil {
		return event.CancelUnknown
	}
	req.Header.Set(HeaderAttempt, a.dispatch.Attempt.String())
	resp, err := a.proxy.transport(a.dispatch.Class, a.dispatch.MaxConnections).RoundTrip(req)
	if err != nil {
		return event.CancelUnknown
	}
	defer resp.Body.Close()
	if CheckFinalStatus(resp.StatusCode) != nil {
		return event.CancelUnknown
	}
	var body struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, copyBufferBytes)).Decode(&body); err != nil {
		return event.CancelUnknown
	}
	switch body.State {
	case "not_run": // not executed
		return event.CancelNotExecuted
	case "stopped":
		return event.CancelStopped
	case "finished":
		return event.CancelFinished
	}
	return event.CancelUnknown
}
