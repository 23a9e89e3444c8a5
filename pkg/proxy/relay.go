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
	relayWhole relayResult = iota
	// relayTruncated responses ended early at the upstream's side. The reducer
	// decides whether another attempt sends the rest.
	relayTruncated
	// relayBroken responses were canceled, or the caller went away.
	relayBroken
)

// progress is how far the response to the caller has come.
type progress struct {
	// started is set once the response headers were written.
	started bool
	// sent counts the body bytes written.
	sent int64
	// etag and length describe a response that can be resumed.
	etag   string
	length int64
}

// note keeps what is needed to ask for the rest of the response.
func (p *progress) note(r *http.Request, resp *http.Response) {
	p.etag, p.length = "", 0
	tag := resp.Header.Get("Etag")
	if r.Method != http.MethodGet || r.Header.Get("Range") != "" || resp.StatusCode != http.StatusOK ||
		!strings.HasPrefix(tag, `"`) || resp.Header.Get("Accept-Ranges") != "bytes" || resp.ContentLength <= 0 {
		return
	}
	p.etag, p.length = tag, resp.ContentLength
}

// askForRest limits a request to what the caller still lacks.
func (e *exchange) askForRest(req *http.Request) {
	if e.progress.sent == 0 {
		return
	}
	req.Header.Set("Range", fmt.Sprintf("bytes=%d-", e.progress.sent))
	req.Header.Set("If-Range", e.progress.etag)
}

// continues reports whether the response is the rest of the one begun before. A
// whole response with the same entity tag is read up to where that broke off.
func (p *progress) continues(resp *http.Response) bool {
	if resp.Header.Get("Etag") != p.etag {
		return false
	}
	switch resp.StatusCode {
	case http.StatusPartialContent:
		want := fmt.Sprintf("bytes %d-%d/%d", p.sent, p.length-1, p.length)
		return resp.Header.Get("Content-Range") == want
	case http.StatusOK:
		n, err := io.CopyN(io.Discard, resp.Body, p.sent)
		return err == nil && n == p.sent
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
	if p.started && !p.continues(resp) {
		a.end(event.AttemptEnded{Result: event.Truncated, RelayedBytes: p.sent})
		return relayTruncated
	}
	if !p.started {
		p.note(a.exchange.r, resp)
	}
	var kept *bytes.Buffer
	if a.exchange.keyed {
		kept = &bytes.Buffer{}
	}
	readErr, writeErr := a.copyBody(w, resp, &kept)
	switch {
	case readErr != nil && a.canceled.Load():
		a.end(event.AttemptEnded{Result: event.Canceled, RelayedBytes: p.sent})
		return relayBroken
	case readErr != nil:
		a.end(event.AttemptEnded{Result: event.Truncated, RelayedBytes: p.sent, Resumable: p.etag != "" && writeErr == nil})
		return relayTruncated
	}
	a.writeHeader(w, resp)
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	a.end(event.AttemptEnded{Result: event.Completed, RelayedBytes: p.sent, Answer: recorded(resp, kept)})
	if writeErr != nil {
		return relayBroken
	}
	return relayWhole
}

// writeHeader writes the response headers unless that was done.
func (a *attempt) writeHeader(w http.ResponseWriter, resp *http.Response) {
	if a.exchange.progress.started {
		return
	}
	a.exchange.progress.started = true
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	DropHopHeaders(header)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}

// copyBody copies the body. After the caller went away, it reads on where the
// outcome is to be recorded. kept collects the body and becomes nil when that
// is too large to keep. A body that is held back goes out when it is whole or
// exceeds the bound.
func (a *attempt) copyBody(w http.ResponseWriter, resp *http.Response, kept **bytes.Buffer) (readErr, writeErr error) {
	buf := a.proxy.buffers.Get().(*[]byte)
	defer a.proxy.buffers.Put(buf)
	flusher, _ := w.(http.Flusher)
	var held []byte
	holding := a.hold > 0 && !a.exchange.progress.started
	write := func(p []byte) {
		if writeErr == nil && len(p) > 0 {
			a.writeHeader(w, resp)
			_, writeErr = w.Write(p)
			a.exchange.progress.sent += int64(len(p))
		}
	}
	for {
		k, err := resp.Body.Read(*buf)
		if k > 0 {
			if paceErr := a.paceResponse(k); paceErr != nil {
				return paceErr, writeErr
			}
		}
		if holding {
			held = append(held, (*buf)[:k]...)
			if holding = len(held) <= a.hold && err != io.EOF; !holding {
				write(held)
			}
		} else if k > 0 && writeErr == nil {
			write((*buf)[:k])
			if flusher != nil && writeErr == nil && k < len(*buf) && err == nil {
				flusher.Flush()
			}
		}
		if k > 0 && *kept != nil {
			if (*kept).Len()+k > model.MaxRecordedBodyBytes {
				*kept = nil
			} else {
				(*kept).Write((*buf)[:k])
			}
		}
		if err == io.EOF {
			return nil, writeErr
		}
		if err != nil {
			return err, writeErr
		}
		if writeErr != nil && !a.exchange.keyed {
			a.canceled.Store(true)
			a.cancel()
		}
	}
}
