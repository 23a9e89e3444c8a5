package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxDiscardTime is how long a caller may go on sending a request body that nobody wants
// any more before its connection is closed. If the connection were closed at once, the
// caller's kernel could discard the response.
const maxDiscardTime = 500 * time.Millisecond

// errUploadEnded is what http.Transport gets if it reads a request body after the request
// has ended.
var errUploadEnded = errors.New("the request has ended")

// upload is a request body that is passed on to an upstream while it is received.
// http.Transport reads it in a goroutine of its own, which may go on after the response.
type upload struct {
	mu   sync.Mutex
	body io.Reader
	// complete is set when the end of the body was read, ended when the body must not be
	// read any more.
	complete, ended bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return 0, errUploadEnded
	}
	n, err := u.body.Read(p)
	u.complete = errors.Is(err, io.EOF)
	return n, err
}

// isComplete reports whether the body was read to its end. It does not wait for a read in
// progress, during which it returns false. A nil upload is complete.
func (u *upload) isComplete() bool {
	if u == nil {
		return true
	}
	if !u.mu.TryLock() {
		return false
	}
	defer u.mu.Unlock()
	return u.complete
}

// beforeResponse must be called before the head of a response is written to the caller. If
// the caller still sends its body, the connection is closed after the response, since
// net/http would otherwise take what is left of the body for the next request.
func (e *exchange) beforeResponse() {
	if !e.upload.isComplete() {
		e.writer.Header().Set("Connection", "close")
	}
}

// endUpload makes sure that nothing reads the body any more, if there is an upload.
func (e *exchange) endUpload() {
	if e.upload.isComplete() {
		return
	}
	controller := http.NewResponseController(e.writer)
	// Errors mean that the caller has disconnected, or that its connection has no
	// deadlines, as in tests.
	_ = controller.Flush()
	_ = controller.SetReadDeadline(time.Now().Add(maxDiscardTime))
	e.upload.mu.Lock()
	defer e.upload.mu.Unlock()
	e.upload.ended = true
}
