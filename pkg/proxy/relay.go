package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// relayResult is the result of relaying a response to the caller.
type relayResult uint8

const (
	// relayComplete means that the caller was sent the complete response.
	relayComplete relayResult = iota
	// relayTruncated means that the upstream's response ended before it was
	// complete. The reducer decides whether another attempt fetches the rest.
	relayTruncated
	// relayAborted means that the attempt was canceled or the caller disconnected.
	relayAborted
)

// relayProgress records which part of the response the attempts of a request
// have sent to the caller so far.
type relayProgress struct {
	// headersWritten is set when the response headers are written.
	headersWritten bool
	// sentBytes counts the body bytes written.
	sentBytes int64
	// etag and length are the entity tag and the body length of the response,
	// if another attempt can resume it; otherwise they are empty.
	etag   string
	length int64
}

// setResumeInfo stores the entity tag and the length of a response if a range
// request can fetch the rest of it: it is a complete response to a GET with a
// strong entity tag and a known length, and the upstream accepts byte ranges.
func (p *relayProgress) setResumeInfo(r *http.Request, resp *http.Response) {
	p.etag, p.length = "", 0
	etag := resp.Header.Get("Etag")
	if r.Method != http.MethodGet || r.Header.Get("Range") != "" || resp.StatusCode != http.StatusOK ||
		!strings.HasPrefix(etag, `"`) || resp.Header.Get("Accept-Ranges") != "bytes" || resp.ContentLength <= 0 {
		return
	}
	p.etag, p.length = etag, resp.ContentLength
}

// setRangeHeaders makes a request to an upstream ask only for the part of the
// response body that was not yet sent to the caller.
func (e *exchange) setRangeHeaders(req *http.Request) {
	if e.progress.sentBytes == 0 {
		return
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-", e.progress.sentBytes))
	req.Header.Set("If-Range", e.progress.etag)
}

// resumeWith prepares the body of resp to continue the truncated response of an
// earlier attempt, and reports whether that is possible. Both responses must
// have the same entity tag. If the upstream returned the complete body instead
// of the requested range, resumeWith reads and discards the part that was
// already sent to the caller.
func (p *relayProgress) resumeWith(resp *http.Response) bool {
	if resp.Header.Get("Etag") != p.etag {
		return false
	}
	switch resp.StatusCode {
	case http.StatusPartialContent:
		want := fmt.Sprintf("bytes %d-%d/%d", p.sentBytes, p.length-1, p.length)
		return resp.Header.Get("Content-Range") == want
	case http.StatusOK:
		n, err := io.CopyN(io.Discard, resp.Body, p.sentBytes)
		return err == nil && n == p.sentBytes
	}
	return false
}

// relay sends the response to the caller. It writes the headers together with
// the first byte of the body, or with the complete body if that is buffered. If
// the response is truncated before the headers are written, another attempt can
// replace it.
func (a *attempt) relay(w http.ResponseWriter) relayResult {
	resp := a.response.Load()
	defer resp.Body.Close()
	p := &a.exchange.progress
	if p.headersWritten && !p.resumeWith(resp) {
		a.reportEnd(event.AttemptEnded{Result: event.Truncated, RelayedBytes: p.sentBytes})
		return relayTruncated
	}
	if !p.headersWritten {
		p.setResumeInfo(a.exchange.request, resp)
	}
	var recordedBody *bytes.Buffer
	if a.exchange.hasIdempotencyKey {
		recordedBody = &bytes.Buffer{}
	}
	readErr, writeErr := a.copyBody(w, resp, &recordedBody)
	switch {
	case readErr != nil && a.canceled.Load():
		a.reportEnd(event.AttemptEnded{Result: event.Canceled, RelayedBytes: p.sentBytes})
		return relayAborted
	case readErr != nil:
		a.reportEnd(event.AttemptEnded{Result: event.Truncated, RelayedBytes: p.sentBytes, Resumable: p.etag != "" && writeErr == nil})
		return relayTruncated
	}
	a.writeHeaders(w, resp)
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	a.reportEnd(event.AttemptEnded{Result: event.Completed, RelayedBytes: p.sentBytes, Answer: recordedAnswer(resp, recordedBody)})
	if writeErr != nil {
		return relayAborted
	}
	return relayComplete
}

// writeHeaders writes the response headers if they are not written yet.
func (a *attempt) writeHeaders(w http.ResponseWriter, resp *http.Response) {
	if a.exchange.progress.headersWritten {
		return
	}
	a.exchange.progress.headersWritten = true
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	RemoveHopByHopHeaders(header)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	a.exchange.beforeResponse()
	w.WriteHeader(resp.StatusCode)
}

// responseBody returns the body of a response. If only the end of the connection shows that
// the body is complete, its end counts as such only if the request was written whole: the
// kernel reports a reset once, and the write may have got it.
func (a *attempt) responseBody(resp *http.Response) io.Reader {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return resp.Body
	}
	return &unframedBody{attempt: a, body: resp.Body}
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	attempt *attempt
	body    io.Reader
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) && !b.attempt.wroteRequest() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// wroteRequest reports whether the whole request was written to the upstream. It waits for
// the result, which comes soon once http.Transport has closed the connection. It may be
// called once.
func (a *attempt) wroteRequest() bool {
	select {
	case err := <-a.wrote:
		return err == nil
	case <-a.ctx.Done():
		return false
	}
}

// copyBuffer returns a buffer for streaming a body, a small one if the memory budget is
// exhausted, and a function that gives it back.
func (e *exchange) copyBuffer() (buf *[]byte, release func()) {
	if !e.held.Grow(copyBufferBytes, memory.Responses) {
		small := make([]byte, memory.SmallCopyBytes)
		return &small, func() {}
	}
	buf = e.proxy.copyBuffers.Get().(*[]byte)
	return buf, func() {
		e.proxy.copyBuffers.Put(buf)
		e.held.Shrink(copyBufferBytes)
	}
}

// copyBody copies the body to the caller and returns the errors of reading and
// of writing. If the caller has disconnected and the request has no idempotency
// key, copyBody cancels the attempt. If the request has a key, copyBody reads
// the body to its end, so that the outcome can be recorded. It collects the
// body in *recordedBody, and sets *recordedBody to nil once the body is too
// large to record. If a.bufferLimit is set, copyBody writes nothing until the
// body is complete or larger than the limit. If the memory budget has no room, the body
// counts as too large for both.
func (a *attempt) copyBody(w http.ResponseWriter, resp *http.Response, recordedBody **bytes.Buffer) (readErr, writeErr error) {
	buf, releaseBuffer := a.exchange.copyBuffer()
	defer releaseBuffer()
	flusher, _ := w.(http.Flusher)
	body := a.responseBody(resp)
	var buffered []byte
	heldBytes := 0 // of the memory budget, for buffered
	buffering := a.bufferLimit > 0 && !a.exchange.progress.headersWritten
	write := func(p []byte) {
		if writeErr == nil && len(p) > 0 {
			a.writeHeaders(w, resp)
			_, writeErr = w.Write(p)
			a.exchange.progress.sentBytes += int64(len(p))
		}
	}
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if paceErr := a.paceResponse(n); paceErr != nil {
				return paceErr, writeErr
			}
		}
		if buffering {
			buffering = a.exchange.held.Grow(n, memory.Responses)
			if buffering {
				heldBytes += n
			}
			buffered = append(buffered, (*buf)[:n]...)
			if buffering = buffering && len(buffered) <= a.bufferLimit && err != io.EOF; !buffering {
				write(buffered)
				buffered = nil
				a.exchange.held.Shrink(heldBytes)
			}
		} else if n > 0 && writeErr == nil {
			write((*buf)[:n])
			if flusher != nil && writeErr == nil && n < len(*buf) && err == nil {
				flusher.Flush()
			}
		}
		if n > 0 && *recordedBody != nil {
			if (*recordedBody).Len()+n > model.MaxRecordedBodyBytes || !a.exchange.held.Grow(n, memory.Responses) {
				*recordedBody = nil
			} else {
				(*recordedBody).Write((*buf)[:n])
			}
		}
		if err == io.EOF {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
		if writeErr != nil && !a.exchange.hasIdempotencyKey {
			a.canceled.Store(true)
			a.cancel()
		}
	}
}
