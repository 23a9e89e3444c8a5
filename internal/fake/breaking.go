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

// BreakingCase is a request to an upstream that breaks off its answer.
type BreakingCase struct {
	Name      string
	Answer    BreakingAnswer
	BodyBytes int
}

const (
	// breakAfter lets the buffers before an upstream fill before the break, so that an upload
	// waits in a write.
	breakAfter = 100 * time.Millisecond
	// breakingRequests is the number of requests of a case.
	breakingRequests = 5
)

// BreakingCases returns a case for each framing, for an end and a reset of the connection and
// for each state of the request body.
func BreakingCases() []BreakingCase {
	var cases []BreakingCase
	for _, framing := range []Framing{FramingLength, FramingChunked, FramingNone} {
		for _, reset := range []bool{false, true} {
			for _, body := range []struct {
				name      string
				bytes     int
				readBytes int64
			}{{"no body", 0, -1}, {"body read", 600_000, -1}, {"body being sent", 16_000_000, readBeforeAnswer}} {
				cases = append(cases, BreakingCase{
					Name:      fmt.Sprintf("framing %s, reset %t, %s", framing, reset, body.name),
					BodyBytes: body.bytes,
					Answer: BreakingAnswer{Framing: framing, Reset: reset, WholeBytes: 90_000, WrittenBytes: 30_000,
						Pause: breakAfter, ReadBytes: body.readBytes},
				})
			}
		}
	}
	return cases
}

// Check sends requests to an address and returns an error if a caller gets an answer that
// looks whole and is not, or the other way round. header holds complete header lines of the
// requests.
func (c *BreakingCase) Check(address, header string) error {
	upload := Upload{Header: header, Path: "/x", Body: Pattern(c.BodyBytes), PieceBytes: 64_000}
	for range breakingRequests {
		resp, got, err := upload.Send(address)
		looksWhole := err == nil && resp.StatusCode == http.StatusOK
		if looksWhole != c.Answer.EndsProperly() || looksWhole && len(got) != c.Answer.WrittenBytes {
			return fmt.Errorf("looks whole: %t, with %d bytes, error: %v", looksWhole, len(got), err)
		}
	}
	return nil
}
