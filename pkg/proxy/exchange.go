package proxy

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// commandQueue holds the commands of one exchange. The reducer gives another
// Relay or a Finish only after the last Relay has ended, so it never fills.
const commandQueueSize = 4

// command is an effect for one exchange.
type command struct {
	relay  *attempt
	answer *model.Answer
	finish bool
	code   result.Code
}

// exchange is one caller's request and its answer.
type exchange struct {
	proxy             *Proxy
	id                model.RequestID
	writer            http.ResponseWriter
	request           *http.Request
	path              string
	bufferedBody      []byte
	streamedBody      io.Reader // set instead of body for a large request body
	hasIdempotencyKey bool
	commands          chan command
	progress          relayProgress
	class             model.Class // of the last relayed attempt
}

// Serve handles a caller's request for a service. The path is what follows the
// service's name, with a leading slash.
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
	if err != nil {
		WriteError(w, err)
		p.telemetry.Request(arrived.Tenant, service, model.Short, err.Code, time.Since(start))
		return
	}
	p.exchanges.Store(e.id, e)
	defer p.exchanges.Delete(e.id)
	if err := p.control.Submit(arrived); err != nil {
		// The event was not handed in, so the request cannot run.
		code := result.ControlQueueFull
		if p.controlStopped() {
			code = result.Stopping
		}
		WriteError(w, &result.Error{Code: code})
		p.telemetry.Request(arrived.Tenant, service, model.Short, code, time.Since(start))
		return
	}
	e.run(arrived, start)
}

func (p *Proxy) controlStopped() bool {
	select {
	case <-p.control.Done():
		return true
	default:
		return false
	}
}

// describe reads the request and makes the event for it.
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
	if e.request.Method == http.MethodConnect || e.request.Header.Get("Upgrade") != "" {
		return ev, result.Errorf(result.MalformedRequest, "CONNECT and protocol upgrades are not supported")
	}
	if text := e.request.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > model.MaxDeadline.Milliseconds() {
			return ev, result.Errorf(result.MalformedRequest, "%s is not in 1 to %d", HeaderDeadline, model.MaxDeadline.Milliseconds())
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

// readBody holds a small request body, so that it can be sent more than once.
func (e *exchange) readBody(ev *event.RequestArrived) *result.Error {
	if e.request.ContentLength > maxBodyBytes {
		return &result.Error{Code: result.BodyTooLarge}
	}
	limited := http.MaxBytesReader(e.writer, e.request.Body, maxBodyBytes)
	buffered, err := io.ReadAll(io.LimitReader(limited, maxBufferedBodyBytes+1))
	if err != nil {
		return result.Errorf(result.MalformedRequest, "read body: %v", err)
	}
	if len(buffered) <= maxBufferedBodyBytes {
		e.bufferedBody = buffered
		ev.Replayable = true
		return nil
	}
	e.streamedBody = io.MultiReader(bytes.NewReader(buffered), limited)
	e.bufferedBody = buffered
	return nil
}

// digest covers what makes two requests with one key the same request. Of a
// streamed body it covers the declared length and the part that was read.
func (e *exchange) digest() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(e.request.Method + "\n" + e.path + "?" + e.request.URL.RawQuery + "\n")
	_, _ = h.WriteString(strconv.FormatInt(e.request.ContentLength, 10) + "\n")
	_, _ = h.Write(e.bufferedBody)
	return h.Sum64()
}

// await carries out the commands until the request has ended.
func (e *exchange) run(arrived event.RequestArrived, start time.Time) {
	for {
		c := e.nextCommand()
		code, class, ended := e.execute(c)
		if !ended {
			continue
		}
		e.proxy.telemetry.Request(arrived.Tenant, arrived.Service, class, code, time.Since(start))
		if (e.progress.headersWritten || c.relay != nil) && code != result.Answered {
			// The caller must see that the body is not whole.
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// next waits for the next command. When the control goroutine has ended without
// one, the request may have been dispatched.
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

// carryOut handles a command and reports whether the request has ended. A
// truncated response is followed by a relay of its rest or by a finish.
func (e *exchange) execute(c command) (code result.Code, class model.Class, ended bool) {
	switch {
	case c.relay != nil:
		e.class = c.relay.dispatch.Class
		switch c.relay.relay(e.writer) {
		case relayTruncated:
			return result.UpstreamLost, e.class, false
		case relayAborted:
			return result.UpstreamLost, e.class, true
		}
		return result.Answered, e.class, true
	case c.answer != nil:
		writeRecordedAnswer(e.writer, c.answer)
		return result.Answered, model.Short, true
	}
	if !e.progress.headersWritten {
		WriteError(e.writer, &result.Error{Code: c.code})
	}
	return c.code, e.class, true
}

// writeAnswer sends a recorded answer.
func writeRecordedAnswer(w http.ResponseWriter, a *model.Answer) {
	for _, f := range a.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.Header().Set("Anvilcrank-Replayed", "1")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// errorBody is the JSON body of an answer of ours.
type errorBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Class   string `json:"class"`
	Message string `json:"message"`
}

// WriteError sends an answer of ours for an error with a code.
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
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderCode, strconv.Itoa(int(info.Code)))
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// hopHeaders are meant for one connection only and are not passed on.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// DropHopHeaders removes the headers that concern one connection only.
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
