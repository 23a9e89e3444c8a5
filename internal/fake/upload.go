package fake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Pattern returns n bytes in which no piece repeats within 64 KiB, so that lost or doubled
// pieces of a body are noticed.
func Pattern(n int) []byte { return PatternFrom(1, n) }

// PatternFrom returns a pattern like Pattern that differs for each seed.
func PatternFrom(seed uint32, n int) []byte {
	p := make([]byte, n)
	state := seed
	for i := range p {
		state = state*1664525 + 1013904223
		p[i] = byte(state >> 24)
	}
	return p
}

// Upload is a request with a long body that a raw caller sends in pieces while it reads the
// response.
type Upload struct {
	// Header holds complete header lines.
	Header string
	Path   string
	Body   []byte
	// Chunked selects the chunked encoding; otherwise the length is stated.
	Chunked    bool
	PieceBytes int
	// Pause is the time between two pieces.
	Pause time.Duration
	// EndAfter, if not 0, is how many bytes of the body are sent before the caller closes
	// its connection.
	EndAfter int
}

// Send sends the request to an address and returns the response with its body, read until
// the body ended or broke off. The connection stays open until the whole request is sent.
func (u *Upload) Send(address string) (*http.Response, []byte, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	written := make(chan struct{})
	go func() {
		defer close(written)
		u.write(conn)
	}()
	defer func() { <-written }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func (u *Upload) write(conn net.Conn) {
	framing := fmt.Sprintf("Content-Length: %d", len(u.Body))
	if u.Chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s%s\r\n\r\n", u.Path, u.Header, framing)
	for sent := 0; sent < len(u.Body); {
		if u.EndAfter > 0 && sent >= u.EndAfter {
			_ = conn.Close()
			return
		}
		piece := u.Body[sent:min(sent+u.PieceBytes, len(u.Body))]
		format := "%s"
		if u.Chunked {
			format = fmt.Sprintf("%x\r\n%%s\r\n", len(piece))
		}
		if _, err := fmt.Fprintf(conn, format, piece); err != nil {
			return
		}
		sent += len(piece)
		time.Sleep(u.Pause)
	}
	if u.Chunked {
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// EarlyAnswer is an upstream that begins its answer before it has read the whole body of a
// request, and then reads on.
type EarlyAnswer struct {
	// Header returns complete header lines of the response to a request.
	Header func(*http.Request) string
	Answer []byte
	// ReadBefore is how many bytes of the body are read before the answer begins, and
	// EarlyBytes how many bytes of the answer are written before the rest of the body is
	// read.
	ReadBefore, EarlyBytes int
}

// Received is the body of a request as an upstream got it. Err is nil if the body ended
// properly.
type Received struct {
	Body []byte
	Err  error
}

// Is reports whether the upstream got exactly this body, and its end.
func (r Received) Is(body []byte) bool { return r.Err == nil && bytes.Equal(r.Body, body) }

// Serve serves one request of each connection and passes on what it received.
func (a *EarlyAnswer) Serve(l net.Listener, received chan<- Received) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if r, ok := a.serveConn(conn); ok {
				received <- r
			}
		}()
	}
}

func (a *EarlyAnswer) serveConn(conn net.Conn) (Received, bool) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return Received{}, false
	}
	body := make([]byte, a.ReadBefore)
	n, err := io.ReadFull(r.Body, body)
	body = body[:n]
	if err != nil {
		return Received{Body: body, Err: err}, true
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", a.Header(r), len(a.Answer))
	_, _ = conn.Write(a.Answer[:a.EarlyBytes])
	rest, err := io.ReadAll(r.Body)
	_, _ = conn.Write(a.Answer[a.EarlyBytes:])
	return Received{Body: append(body, rest...), Err: err}, true
}
