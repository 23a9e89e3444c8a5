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
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// attempt is one dispatch of a request to an upstream.
type attempt struct {
	proxy    *Proxy
	exchange *exchange
	dispatch event.Dispatch
	ctx      context.Context
	cancel   context.CancelFunc
	// response is set before the reducer is told of the response headers.
	response atomic.Pointer[http.Response]
	canceled atomic.Bool
	// expired is set when the deadline ended the attempt.
	expired       atomic.Bool
	deadlineTimer *time.Timer
	// hold is how many bytes of the body are held back until it is whole.
	bufferLimit int
	endOnce     sync.Once

	connMu        sync.Mutex
	conn          *countingConn
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

// extend lets the response arrive until the given time, unless the deadline has
// ended the attempt.
func (a *attempt) extend(deadline model.Time) {
	if deadline > a.dispatch.Deadline && a.deadlineTimer.Stop() {
		a.deadlineTimer.Reset(deadline.Sub(a.proxy.now()))
	}
}

// run sends the request and reports the response headers or the failure.
func (a *attempt) run() {
	start := time.Now()
	if a.dispatch.StartBy != 0 {
		startTimer := time.AfterFunc(a.dispatch.StartBy.Sub(a.proxy.now()), a.cancelIfUnstarted)
		defer startTimer.Stop()
	}
	req, err := a.newRequest()
	if err != nil {
		a.reportEnd(event.AttemptEnded{Result: event.ConnectFailed})
		return
	}
	resp, err := a.proxy.transport(a.dispatch.Class, a.dispatch.MaxConnections).RoundTrip(req)
	if err != nil {
		a.reportEnd(event.AttemptEnded{Result: a.classifyFailure(err)})
		return
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) != "" {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, copyBufferBytes))
		_ = resp.Body.Close()
		a.reportEnd(event.AttemptEnded{Result: event.RefusedBeforeExecution})
		return
	}
	a.response.Store(resp)
	a.proxy.control.Report(event.AttemptAnswered{
		Request: a.dispatch.Request, Attempt: a.dispatch.Attempt,
		Status: resp.StatusCode, Latency: time.Since(start)})
}

// request makes the request to the upstream.
func (a *attempt) newRequest() (*http.Request, error) {
	incoming := a.exchange.request
	url := "http://" + a.dispatch.Address + a.exchange.path
	if incoming.URL.RawQuery != "" {
		url += "?" + incoming.URL.RawQuery
	}
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
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
	// A body that the transport cannot rewind keeps it from sending the request
	// again by itself, which it would do for GET and for an Idempotency-Key.
	req.GetBody = nil
	if a.exchange.streamedBody != nil {
		req.Body = io.NopCloser(a.pacedBody(a.exchange.streamedBody))
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

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	a.connMu.Lock()
	a.conn = conn
	a.writtenBefore = conn.bytesWritten()
	a.connMu.Unlock()
}

// abandonUnstarted ends an attempt of which nothing was sent in time, because it
// waits for a connection.
func (a *attempt) cancelIfUnstarted() {
	a.connMu.Lock()
	started := a.conn != nil && a.conn.bytesWritten() != a.writtenBefore
	a.connMu.Unlock()
	if !started {
		a.cancel()
	}
}

// failure classifies an error before the response headers. An attempt of which
// no byte was written provably did not run.
func (a *attempt) classifyFailure(err error) event.AttemptResult {
	a.connMu.Lock()
	conn, writtenBefore := a.conn, a.writtenBefore
	a.connMu.Unlock()
	switch {
	case conn == nil || conn.blockWritesIfUnwritten(writtenBefore):
		return event.ConnectFailed
	case a.canceled.Load():
		return event.Canceled
	case a.expired.Load() || isTimeout(err):
		return event.TimedOut
	}
	return event.LostAfterDispatch
}

// end reports the end of the attempt once.
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
			// The reducer may ask the upstream to confirm that the slot is free.
			time.AfterFunc(a.dispatch.Deadline.Sub(a.proxy.now())+cancelTimeout, func() { a.proxy.attempts.Delete(a.dispatch.Attempt) })
		}
	})
}

// recorded makes the answer that the ledger keeps.
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

// cancelAtUpstream closes the attempt's connection, asks the upstream to
// confirm, and reports its answer.
func (a *attempt) cancelAtUpstream() {
	a.canceled.Store(true)
	a.cancel()
	if resp := a.response.Load(); resp != nil {
		// A response that was never relayed has no reader that would notice.
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
	var body struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, copyBufferBytes)).Decode(&body); err != nil {
		return event.CancelUnknown
	}
	switch body.State {
	case "not_run":
		return event.CancelNotExecuted
	case "stopped":
		return event.CancelStopped
	case "finished":
		return event.CancelFinished
	}
	return event.CancelUnknown
}
