package fake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Framing is how a response states where its body ends.
type Framing string

// Framings. A response with FramingNone ends with its connection.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	FramingNone    Framing = "none"
)

// BreakingAnswer is an upstream that breaks off in the middle of its answer.
type BreakingAnswer struct {
	Framing Framing
	// Header returns complete header lines of the response to a request.
	Header func(*http.Request) string
	// WholeBytes is the length of the answer, WrittenBytes how much of it is written.
	WholeBytes, WrittenBytes int
	// ReadBytes is how much of the request body is read before; -1 means all of it.
	ReadBytes int64
	// Pause is the time between the written part and the break.
	Pause time.Duration
	// Reset resets the connection instead of ending it.
	Reset bool
}

// Respond writes the response to a request and breaks off.
func (a *BreakingAnswer) Respond(conn net.Conn, r *http.Request) {
	if a.ReadBytes < 0 {
		_, _ = io.Copy(io.Discard, r.Body)
	} else {
		_, _ = io.CopyN(io.Discard, r.Body, a.ReadBytes)
	}
	written := strings.Repeat("x", a.WrittenBytes)
	head := "HTTP/1.1 200 OK\r\n" + a.Header(r)
	switch a.Framing {
	case FramingLength:
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, a.WholeBytes, written)
	case FramingChunked:
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, a.WrittenBytes, written)
	default:
		fmt.Fprintf(conn, "%s\r\n%s", head, written)
	}
	time.Sleep(a.Pause)
	if a.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// EndsProperly reports whether what is written looks to a reader like a whole answer: it has
// no framing, its connection is ended, and nothing of the request was left unread.
func (a *BreakingAnswer) EndsProperly() bool {
	return a.Framing == FramingNone && !a.Reset && a.ReadBytes < 0
}
