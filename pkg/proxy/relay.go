package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// relayResult says how the relay of a response ended.
type relayResult uint8

const (
	relayComplete relayResult = iota
	// relayTruncated responses ended early at the upstream's side. The reducer
	// decides whether another attempt sends the rest.
	relayTruncated
	// relayBroken responses were canceled, or the caller went away.
	relayAborted
)

// progress is how far the response to the caller has come.
type relayProgress struct {
	// started is set once the response headers were written.
	headersWritten bool
	// sent counts the body bytes written.
	sentBytes int64
	// etag and length describe a response that can be resumed.
	etag   string
	length int64
}

// note keeps what is needed to ask for the rest of the response.
func (p *relayProgress) setResumeInfo(r *http.Request, resp *http.Response) {
	p.etag, p.length = "", 0
	etag := resp.Header.Get("Etag")
	if r.Method != http.MethodGet || r.Header.Get("Range") != "" || resp.StatusCode != http.StatusOK ||
		!strings.HasPrefix(etag, `"`) || resp.Header.Get("Accept-Ranges") != "bytes" || resp.ContentLength <= 0 {
		return
	}
	p.etag, p.length = etag, resp.ContentLength
}

// askForRest limits a request to what the caller still lacks.
func (e *exchange) setRangeHeaders(req *http.Request) {
	if e.progress.sentBytes == 0 {
		return
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-", e.progress.sentBytes))
	req.Header.Set("If-Range", e.progress.etag)
}

// continues reports whether the response is the rest of the one begun before. A
// whole response with the same entity tag is read up to where that broke off.
func (p *relayProgress) isContinuedBy(resp *http.Response) bool {
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

// relay streams the response to the caller. The headers wait for the first byte
// of the body, or for the whole body if that is held back, so that a response
// that breaks off before can be replaced.
func (a *attempt) relay(w http.ResponseWriter) relayResult {
	resp := a.response.Load()
	defer resp.Body.Close()
	p := &a.exchange.progress
	if p.headersWritten && !p.isContinuedBy(resp) {
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

// writeHeader writes the response headers unless that was done.
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
	w.WriteHeader(resp.StatusCode)
}

// copyBody copies the body. After the caller went away, it reads on where the
// outcome is to be recorded. kept collects the body and becomes nil when that
// is too large to keep. A body that is held back goes out when it is whole or
// exceeds the bound.
func (a *attempt) copyBody(w http.ResponseWriter, resp *http.Response, recordedBody **bytes.Buffer) (readErr, writeErr error) {
	buf := a.proxy.copyBuffers.Get().(*[]byte)
	defer a.proxy.copyBuffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	var buffered []byte
	buffering := a.bufferLimit > 0 && !a.exchange.progress.headersWritten
	write := func(p []byte) {
		if writeErr == nil && len(p) > 0 {
			a.writeHeaders(w, resp)
			_, writeErr = w.Write(p)
			a.exchange.progress.sentBytes += int64(len(p))
		}
	}
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if paceErr := a.paceResponse(n); paceErr != nil {
				return paceErr, writeErr
			}
		}
		if buffering {
			buffered = append(buffered, (*buf)[:n]...)
			if buffering = len(buffered) <= a.bufferLimit && err != io.EOF; !buffering {
				write(buffered)
			}
		} else if n > 0 && writeErr == nil {
			write((*buf)[:n])
			if flusher != nil && writeErr == nil && n < len(*buf) && err == nil {
				flusher.Flush()
			}
		}
		if n > 0 && *recordedBody != nil {
			if (*recordedBody).Len()+n > model.MaxRecordedBodyBytes {
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
