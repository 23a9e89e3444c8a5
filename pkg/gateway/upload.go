package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// maxDiscardTime is how long a caller may go on sending a request body that nobody wants
// any more before its connection is closed. If the connection were closed at once, the
// caller's kernel could discard the response.
const maxDiscardTime = 500 * time.Millisecond

// upload passes a request body that is not buffered completely on to an upstream while the
// response is read. Until done is closed, its goroutine is the only reader of the caller's
// body and the only writer to the upstream.
type upload struct {
	conn *upstreamConn
	done chan struct{}
	// err is why the body was not passed on to its end. It and body may be read when done
	// is closed.
	err  error
	body trackedReader
	// outlivesResponse is set when the upstream has answered before the end of the body.
	// The rest is still passed on, until deadline, and then the connection is closed.
	outlivesResponse bool
	deadline         time.Time
	// unwanted is set when the request is rejected after all.
	unwanted bool
}

// startUpload starts to write the request body to an upstream.
func (e *exchange) startUpload(conn *upstreamConn) {
	u := &upload{conn: conn, done: make(chan struct{}),
		body: trackedReader{Reader: io.MultiReader(bytes.NewReader(e.bufferedBody), e.remainingBody)}}
	e.upload = u
	buffer := e.copyBuffer()
	go func() {
		u.err = u.run(e.request.ContentLength, buffer)
		close(u.done)
		if u.body.err != nil {
			// The request can never be complete.
			e.gateway.control.Report(event.RequestCanceled{ID: e.id})
		}
	}()
}

// run writes the body to the upstream through the buffer. It uses chunked encoding if the
// length of the body is unknown, which is then negative.
func (u *upload) run(length int64, buffer []byte) error {
	if length >= 0 {
		n, err := io.CopyBuffer(u.conn, &u.body, buffer)
		if err == nil && n != length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		n, err := u.body.Read(buffer)
		if n > 0 {
			if _, writeErr := fmt.Fprintf(u.conn, "%x\r\n%s\r\n", n, buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(u.conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// bodyFault returns the result code for a request whose body cannot be read to its end
// although the caller is still there, result.Success for any other request.
func (e *exchange) bodyFault() result.Code {
	u := e.upload
	var tooLarge *http.MaxBytesError
	switch {
	case u == nil || !u.hasEnded() || u.body.err == nil || e.request.Context().Err() != nil:
		return result.Success
	case errors.As(u.body.err, &tooLarge):
		return result.BodyTooLarge
	}
	return result.MalformedRequest
}

// complete reports whether the whole body has been passed on. A nil upload is complete.
func (u *upload) complete() bool {
	return u == nil || u.hasEnded() && u.err == nil
}

// hasEnded reports whether the upload has ended, whole or not.
func (u *upload) hasEnded() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// beforeResponse must be called before the head of a response is written to the caller. If
// the caller still sends its body, the connection is closed after the response, since
// net/http would otherwise take what is left of the body for the next request.
func (e *exchange) beforeResponse() {
	if !e.upload.complete() {
		e.writer.Header().Set("Connection", "close")
	}
}

// outliveResponse lets the upload go on after the response that has just been read, and
// reports whether it does. An upstream that executes the request may answer early and read
// on.
func (e *exchange) outliveResponse(ended *event.SendEnded, deadline time.Time) bool {
	if e.upload.complete() || ended.Outcome != event.SendAnswered && ended.Outcome != event.SendStreamed {
		return false
	}
	e.upload.outlivesResponse, e.upload.deadline = true, deadline
	return true
}

// endUpload waits for the end of an upload that outlives the response, and ends any other
// one, so that nothing uses the request after it was served.
func (e *exchange) endUpload() {
	u := e.upload
	if u == nil {
		return
	}
	if u.outlivesResponse {
		defer e.gateway.pool.discard(u.conn)
	}
	if u.complete() {
		return
	}
	controller := http.NewResponseController(e.writer)
	// Errors mean that the caller has disconnected, or that its connection has no
	// deadlines, as in tests.
	_ = controller.Flush()
	if u.outlivesResponse && !u.unwanted && u.completeBy(u.deadline, e.gateway.control.Done()) {
		return
	}
	_ = u.conn.Close()
	_ = controller.SetReadDeadline(time.Now().Add(maxDiscardTime))
	<-u.done
}

// completeBy waits until the upload has ended, and reports whether the whole body was passed on
// by the deadline and before stopped is closed. A nil upload is complete.
func (u *upload) completeBy(deadline time.Time, stopped <-chan struct{}) bool {
	if u.complete() {
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
	case <-stopped:
	}
	return false
}
