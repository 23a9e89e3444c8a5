package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// commandQueueSize is the capacity of the command channel of an exchange. The
// channel never fills, since the reducer returns a Relay or a Finish only after the
// previous Relay has ended.
const commandQueueSize = 4

// memoryRetryAfter is how many seconds callers are asked to wait when the memory budget
// admits no request.
const memoryRetryAfter = "1"

// command is an effect for one exchange. It relays the response of an attempt,
// sends a recorded answer, or ends the request with a result code.
type command struct {
	relay  *attempt
	answer *model.Answer
	finish bool
	code   result.Code
}

// exchange is a caller's request and the response to it.
type exchange struct {
	proxy   *Proxy
	id      model.RequestID
	writer  http.ResponseWriter
	request *http.Request
	path    string
	// bufferedBody is the request body, or its first part if the body is
	// streamed.
	bufferedBody []byte
	// upload is the whole request body if it is too large to be buffered. It is nil
	// for a buffered body.
	upload            *upload
	hasIdempotencyKey bool
	// held is what the request holds of the proxy's memory budget. Only the goroutine
	// that serves the request uses it.
	held     memory.Holding
	commands chan command
	progress relayProgress
	// relaying is the attempt whose response is relayed, nil before the first one.
	relaying *attempt
	// endedInReducer is set when the reducer has ended the request.
	endedInReducer bool
	// class is the class of work of the latest attempt whose response was
	// relayed.
	class model.Class
}

// Serve handles a caller's request for a service. The path is the part of the URL
// path that follows the service's name, with a leading slash.
func (p *Proxy) Serve(w http.ResponseWriter, r *http.Request, service model.ServiceName, path string) {
	start := time.Now()
	e := &exchange{
		proxy:    p,
		id:       model.RequestID(p.nextID.Add(1)),
		writer:   w,
		request:  r,
		path:     path,
		commands: make(chan command, commandQueueSize),
	}
	w.Header().Set(HeaderInstance, string(p.self))
	arrived, err := e.readRequest(service)
	defer e.held.Release()
	if err != nil {
		if err.Code == result.MemoryFull {
			WriteMemoryFull(w)
		} else {
			WriteError(w, err)
		}
		p.telemetry.ObserveRequest(arrived.Tenant, service, model.Short, err.Code, time.Since(start))
		return
	}
	p.exchanges.Store(e.id, e)
	defer p.exchanges.Delete(e.id)
	if err := p.control.Submit(arrived); err != nil {
		e.beforeResponse()
		// The control goroutine did not receive the event, so that the request
		// cannot be executed.
		code := result.ControlQueueFull
		if p.controlStopped() {
			code = result.Stopping
		}
		WriteError(w, &result.Error{Code: code})
		p.telemetry.ObserveRequest(arrived.Tenant, service, model.Short, code, time.Since(start))
		return
	}
	defer e.endUpload()
	defer e.endAfterPanic()
	e.run(arrived, start)
}

// PanicEvent returns the log event for a panic of the goroutine that serves a request.
func PanicEvent(request any, cause any) event.Log {
	return event.Log{Code: logevent.RequestPanicked, Fields: []logevent.Field{
		logevent.F("request", request), logevent.F("cause", fmt.Sprint(cause)), logevent.F("stack", string(debug.Stack()))}}
}

// endAfterPanic ends a request whose goroutine panics in the reducer, which would wait for
// it otherwise. The caller's connection is aborted.
func (e *exchange) endAfterPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	e.proxy.exchanges.Delete(e.id)
	if !e.endedInReducer {
		e.proxy.telemetry.Log(PanicEvent(e.id, cause))
		e.proxy.control.Report(event.RequestCanceled{ID: e.id})
		if e.relaying != nil {
			e.relaying.reportEnd(event.AttemptEnded{Result: event.Truncated, RelayedBytes: e.progress.sentBytes})
		}
	}
	panic(http.ErrAbortHandler)
}

// controlStopped reports whether the control goroutine has ended.
func (p *Proxy) controlStopped() bool {
	select {
	case <-p.control.Done():
		return true
	default:
		return false
	}
}

// readRequest validates the request, reads its body and returns the event for it.
func (e *exchange) readRequest(service model.ServiceName) (event.RequestArrived, *result.Error) {
	ev := event.RequestArrived{
		ID:      e.id,
		Service: service,
		Tenant:  model.Tenant(e.request.Header.Get(HeaderTenant)),
		Method:  e.request.Method,
	}
	if len(ev.Tenant) > model.MaxNameLength {
		ev.Tenant = ""
		return ev, result.Errorf(result.MalformedRequest, "%s is longer than %d bytes", HeaderTenant, model.MaxNameLength)
	}
	var admitted bool
	if e.held, admitted = e.proxy.memory.Admit(); !admitted {
		return ev, &result.Error{Code: result.MemoryFull}
	}
	e.held.Attribute(inbound.Account(e.request.Context()))
	if !e.held.Grow(memory.CopiedFieldsBytes(e.request.Header), memory.Requests) {
		return ev, &result.Error{Code: result.MemoryFull}
	}
	if e.request.Method == http.MethodConnect || e.request.Header.Get("Upgrade") != "" {
		return ev, result.Errorf(result.MalformedRequest, "CONNECT and protocol upgrades are not supported")
	}
	if text := e.request.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > model.MaxTimeout.Milliseconds() {
			return ev, result.Errorf(result.MalformedRequest, "%s is not in 1 to %d", HeaderDeadline, model.MaxTimeout.Milliseconds())
		}
		ev.Timeout = time.Duration(ms) * time.Millisecond
	}
	if text := e.request.Header.Get(HeaderIdempotencyKey); text != "" {
		key, err := model.ParseKey(text)
		if err != nil {
			return ev, result.Errorf(result.MalformedKey, "%v", err)
		}
		ev.Key = key
		e.hasIdempotencyKey = true
	}
	if err := e.readBody(&ev); err != nil {
		return ev, err
	}
	ev.Digest = e.digest()
	return ev, nil
}

// readBody buffers the request body if it is small enough, so that it can be sent
// in more than one attempt. Otherwise it buffers the first part and prepares the
// body for streaming.
func (e *exchange) readBody(ev *event.RequestArrived) *result.Error {
	if e.request.ContentLength > maxBodyBytes {
		return &result.Error{Code: result.BodyTooLarge}
	}
	// The writer is not passed on: the reader would write to its header from the goroutine
	// of the upload.
	limited := http.MaxBytesReader(nil, e.request.Body, maxBodyBytes)
	buffered, err := e.held.ReadUpTo(limited, memory.Requests, maxBufferedBodyBytes, e.request.ContentLength)
	switch {
	case err == nil:
		ev.Replayable = true
	case errors.Is(err, io.ErrShortBuffer):
		e.upload = &upload{body: io.MultiReader(bytes.NewReader(buffered), limited)}
		inbound.WidenReceiveBuffer(e.request.Context(), &e.held)
		// Without this, net/http reads the caller's body itself before it writes the
		// head of a response.
		if err := http.NewResponseController(e.writer).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return result.Errorf(result.Internal, "%v", err)
		}
	case errors.Is(err, memory.ErrExhausted):
		return &result.Error{Code: result.MemoryFull}
	default:
		return result.Errorf(result.MalformedRequest, "read body: %v", err)
	}
	e.bufferedBody = buffered
	return nil
}

// digest returns a hash of the request, by which a different request with the
// same idempotency key is detected. The hash covers the method, path, query,
// declared length and body. Of a streamed body it covers only the buffered
// part.
func (e *exchange) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.request.Method + "\n" + e.path + "?" + e.request.URL.RawQuery + "\n")
	_, _ = h.WriteString(strconv.FormatInt(e.request.ContentLength, 10) + "\n")
	_, _ = h.Write(e.bufferedBody)
	return h.Sum64()
}

// run executes the commands for the request until the request has ended.
func (e *exchange) run(arrived event.RequestArrived, start time.Time) {
	for {
		c := e.nextCommand()
		code, class, ended := e.execute(c)
		if !ended {
			continue
		}
		e.endedInReducer = true
		e.proxy.telemetry.ObserveRequest(arrived.Tenant, arrived.Service, class, code, time.Since(start))
		if (e.progress.headersWritten || c.relay != nil) && code != result.Success {
			// Aborts the connection, so that the caller notices that the
			// response is incomplete.
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// nextCommand waits for the next command. While it waits, it reports to the
// control goroutine if the caller disconnects. If the control goroutine ends
// without a command, nextCommand returns one that finishes the request with
// result.UpstreamLost: the request may have been dispatched, so its outcome is
// unknown.
func (e *exchange) nextCommand() command {
	disconnected := e.request.Context().Done()
	for {
		select {
		case c := <-e.commands:
			return c
		case <-disconnected:
			disconnected = nil
			e.proxy.control.Report(event.RequestCanceled{ID: e.id})
		case <-e.proxy.control.Done():
			select {
			case c := <-e.commands:
				return c
			default:
				return command{finish: true, code: result.UpstreamLost}
			}
		}
	}
}

// execute executes a command and reports whether the request has ended, with
// its result code and class. A truncated response does not end the request: the
// reducer then returns either a Relay for the rest of the response or a Finish.
func (e *exchange) execute(c command) (code result.Code, class model.Class, ended bool) {
	switch {
	case c.relay != nil:
		e.class, e.relaying = c.relay.dispatch.Class, c.relay
		switch c.relay.relay(e.writer) {
		case relayTruncated:
			return result.UpstreamLost, e.class, false
		case relayAborted:
			return result.UpstreamLost, e.class, true
		}
		return result.Success, e.class, true
	case c.answer != nil:
		e.beforeResponse()
		writeRecordedAnswer(e.writer, c.answer)
		return result.Success, model.Short, true
	}
	if !e.progress.headersWritten {
		e.beforeResponse()
		WriteError(e.writer, &result.Error{Code: c.code})
	}
	return c.code, e.class, true
}

// writeRecordedAnswer sends the caller the answer that the ledger has recorded
// for the idempotency key.
func writeRecordedAnswer(w http.ResponseWriter, a *model.Answer) {
	if CheckFinalStatus(a.Status) != nil {
		// An instance of an earlier version recorded it.
		WriteError(w, &result.Error{Code: result.AnswerNotKept})
		return
	}
	for _, f := range a.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.Header().Set("Anvilcrank-Replayed", "1")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// errorBody is the JSON body of an error response of this instance.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Class   string `json:"class"`
	Message string `json:"message"`
}

// WriteError sends an error response of this instance. An error that is not a
// *result.Error is sent as result.Internal.
func WriteError(w http.ResponseWriter, err error) {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = &result.Error{Code: result.Internal, Detail: err.Error()}
	}
	info := result.Lookup(coded.Code)
	body := errorBody{Code: int(info.Code), Name: info.Name, Class: string(info.Class), Message: info.Message}
	if coded.Detail != "" {
		body.Message += ": " + coded.Detail
	}
	encoded, _ := json.Marshal(body) // cannot fail: strings and numbers
	encoded = append(encoded, '\n')
	w.Header().Set("Content-Type", "application/json")
	// With its length the response is complete as soon as it is flushed.
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.Header().Set(HeaderCode, strconv.Itoa(int(info.Code)))
	w.WriteHeader(info.Status)
	_, _ = w.Write(encoded)
}

// WriteMemoryFull sends the error response to a request for which the memory budget has no room,
// and closes its connection.
func WriteMemoryFull(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", memoryRetryAfter)
	WriteError(w, &result.Error{Code: result.MemoryFull})
}

// hopByHopHeaders apply to a single connection. A proxy must not forward them.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// RemoveHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func RemoveHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
