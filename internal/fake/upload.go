package fake

import (
	"bufio"
	"bytes"
	"errors"
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
	ServeRaw(l, func(conn net.Conn, r *http.Request) { received <- a.respond(conn, r) })
}

func (a *EarlyAnswer) respond(conn net.Conn, r *http.Request) Received {
	body := make([]byte, a.ReadBefore)
	n, err := io.ReadFull(r.Body, body)
	body = body[:n]
	if err != nil {
		return Received{Body: body, Err: err}
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", a.Header(r), len(a.Answer))
	_, _ = conn.Write(a.Answer[:a.EarlyBytes])
	rest, err := io.ReadAll(r.Body)
	_, _ = conn.Write(a.Answer[a.EarlyBytes:])
	return Received{Body: append(body, rest...), Err: err}
}

// UploadCase is a request with a long body to an upstream that answers early.
type UploadCase struct {
	Name                  string
	Chunked               bool
	BodyBytes, PieceBytes int
	// AnswerBytes is the length of the answer, of which EarlyBytes are written before the
	// rest of the body is read.
	AnswerBytes, EarlyBytes int
}

// UploadCases are answers that end after the body.
var UploadCases = []UploadCase{
	{"chunked, answer streamed", true, 640_000, 32_000, 90_000, 30_000},
	{"chunked, in small pieces", true, 640_000, 4_000, 90_000, 30_000},
	{"chunked, long", true, 6_400_000, 64_000, 90_000, 30_000},
	{"chunked, long answer", true, 640_000, 32_000, 2_000_000, 1_500_000},
	{"chunked, answer buffered", true, 640_000, 32_000, 8_000, 3_000},
	{"320 kB with a length", false, 320_000, 32_000, 90_000, 30_000},
	{"480 kB with a length", false, 480_000, 32_000, 90_000, 30_000},
	{"640 kB with a length", false, 640_000, 32_000, 90_000, 30_000},
	{"3 MB with a length, long answer", false, 3_000_000, 32_000, 2_000_000, 1_500_000},
}

// WholeAnswerCases are answers that are whole before the body.
var WholeAnswerCases = []UploadCase{
	{"chunked, answer whole before the body", true, 640_000, 32_000, 8_000, 8_000},
	{"chunked, streamed answer whole before the body", true, 640_000, 32_000, 90_000, 90_000},
	{"480 kB with a length, answer whole before the body", false, 480_000, 32_000, 8_000, 8_000},
}

const (
	// readBeforeAnswer is how much of a body an upstream reads before it answers early.
	readBeforeAnswer = 64_000
	// uploadTime is how long it takes to send a body.
	uploadTime = 300 * time.Millisecond
	// receiveTimeout is how long after the answer an upstream may take to get the body.
	receiveTimeout = 5 * time.Second
)

// Answer returns the upstream of the case. header returns complete header lines of the
// response to a request.
func (c *UploadCase) Answer(header func(*http.Request) string) *EarlyAnswer {
	return &EarlyAnswer{Header: header, Answer: Pattern(c.AnswerBytes), ReadBefore: readBeforeAnswer, EarlyBytes: c.EarlyBytes}
}

// Check sends the request to an address and returns an error unless both sides get exactly
// what the other one sent. header holds complete header lines of the request.
func (c *UploadCase) Check(address, header string, received <-chan Received) error {
	upload := Upload{Header: header, Path: "/x", Body: Pattern(c.BodyBytes), Chunked: c.Chunked, PieceBytes: c.PieceBytes,
		Pause: uploadTime * time.Duration(c.PieceBytes) / time.Duration(c.BodyBytes)}
	resp, answer, err := upload.Send(address)
	switch {
	case err != nil:
		return fmt.Errorf("answer: %w", err)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d", resp.StatusCode)
	case !bytes.Equal(answer, Pattern(c.AnswerBytes)):
		return fmt.Errorf("the answer has %d bytes", len(answer))
	}
	select {
	case got := <-received:
		if !got.Is(upload.Body) {
			return fmt.Errorf("the upstream got %d of %d bytes, end: %v", len(got.Body), c.BodyBytes, got.Err)
		}
		return nil
	case <-time.After(receiveTimeout):
		return errors.New("the upstream got no end of the body")
	}
}
