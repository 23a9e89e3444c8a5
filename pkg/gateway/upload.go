package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
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
	// err is why the body was not passed on to its end. It may be read when done is
	// closed.
	err error
}

// startUpload starts to write the request body to an upstream.
func (e *exchange) startUpload(conn *upstreamConn) {
	u := &upload{conn: conn, done: make(chan struct{})}
	e.upload = u
	buffer := e.copyBuffer()
	go func() {
		defer close(u.done)
		u.err = e.writeStreamedBody(conn, buffer)
	}()
}

// writeStreamedBody writes a request body that is only partly buffered to the
// upstream through the buffer. It uses chunked encoding if the length of the body is
// unknown.
func (e *exchange) writeStreamedBody(conn *upstreamConn, buffer []byte) error {
	body := io.MultiReader(bytes.NewReader(e.bufferedBody), e.remainingBody)
	if e.request.ContentLength >= 0 {
		n, err := io.CopyBuffer(conn, body, buffer)
		if err == nil && n != e.request.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, buffer[:n]); writeErr != nil {
				return writeErr
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

// complete reports whether the whole body has been passed on. A nil upload is complete.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
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

// endUpload ends the upload, if there is one, so that nothing uses the request after it was
// served.
func (e *exchange) endUpload() {
	if e.upload.complete() {
		return
	}
	_ = e.upload.conn.Close()
	controller := http.NewResponseController(e.writer)
	// Errors mean that the caller has disconnected, or that its connection has no
	// deadlines, as in tests.
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(maxDiscardTime))
	<-e.upload.done
}
