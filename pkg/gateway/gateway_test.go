package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/gateway"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

var headers = gateway.Headers{AttemptID: "Attempt", Remaining: "Remaining", AffinityKey: "Object", TargetUpstream: "Upstream",
	NotExecuted: "Not-Executed", Load: "Load", ColdRemaining: "Cold", RequestLimit: "Limit", Leaving: "Leaving"}

func now() model.Time { return model.Time(time.Now().UnixNano()) }

// fakeControl implements gateway.Control. It makes the gateway send each
// request once, always to the same address, and then deliver the response or
// reject the request.
type fakeControl struct {
	gateway     *gateway.Gateway
	address     string
	bufferLimit int
	maxIdleTime time.Duration
	// timeout is the time to the deadline of a send.
	timeout time.Duration
	done    chan struct{}
	catalog *catalog.State
	// endAfterSend closes done together with the decision about the first send.
	endAfterSend bool

	mu       sync.Mutex
	ended    []event.SendEnded
	reported chan event.Body
}

func newFakeControl(address string) *fakeControl { return newLimitedControl(address, nil) }

// newLimitedControl returns a control with a gateway that has a memory budget.
func newLimitedControl(address string, budget *memory.Budget) *fakeControl {
	c := &fakeControl{address: address, bufferLimit: 1 << 20, timeout: 2 * time.Second, done: make(chan struct{}), catalog: catalog.New(), reported: make(chan event.Body, 64)}
	c.gateway = gateway.New(headers, discardTelemetry{}, now, budget)
	c.gateway.SetControl(c)
	return c
}

// discardTelemetry implements gateway.Telemetry.
type discardTelemetry struct{}

func (discardTelemetry) ObserveRoutedRequest(string, string, result.Code, time.Duration) {}
func (discardTelemetry) Log(event.Log)                                                   {}

func (c *fakeControl) Directory() *directory.View {
	// The catalog builds its table at the first call.
	c.mu.Lock()
	defer c.mu.Unlock()
	return &directory.View{Table: c.catalog.Table()}
}
func (c *fakeControl) Done() <-chan struct{} { return c.done }

func (c *fakeControl) Submit(b event.Body) error {
	if a, ok := b.(event.RoutedArrived); ok {
		go c.gateway.Forward(event.Forward{Request: a.ID, Attempt: 1, Upstream: "u", Address: c.address,
			Deadline: now().Add(c.timeout), BufferLimit: c.bufferLimit, MaxIdleTime: c.maxIdleTime})
	}
	return nil
}

func (c *fakeControl) Report(b event.Body) {
	c.reported <- b
	switch b := b.(type) {
	case event.SendEnded:
		c.mu.Lock()
		c.ended = append(c.ended, b)
		c.mu.Unlock()
		if b.Outcome == event.SendAnswered || b.Outcome == event.SendStreamed {
			c.gateway.Deliver(event.Deliver{Request: b.Request})
			if c.endAfterSend {
				close(c.done)
			}
			return
		}
		c.gateway.Reject(event.Reject{Request: b.Request, Code: result.UpstreamLost})
	case event.RequestCanceled:
		c.gateway.CancelSend(event.CancelSend{Request: b.ID})
	}
}

// outcomes returns the outcomes of the sends that have ended, in the order in
// which they ended.
func (c *fakeControl) outcomes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, e := range c.ended {
		list = append(list, e.Outcome.String())
	}
	return list
}

// startUpstream starts a server that calls serve for each request it reads, and
// returns its address. number is 1 for the first request on any connection, 2
// for the second, and so on.
func startUpstream(serve func(conn net.Conn, r *http.Request, body string, number int)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	requests := 0
	var mu sync.Mutex
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					mu.Lock()
					requests++
					number := requests
					mu.Unlock()
					serve(conn, r, string(body), number)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// respond writes a response with the attempt ID and the body to the connection.
// extraHeaders are complete header lines.
func respond(conn net.Conn, attempt, body, extraHeaders string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n%s\r\n%s", attempt, len(body), extraHeaders, body)
}

// sendRequest sends a request through the gateway. It returns the response, nil if
// there was none, and its body or the text of the error.
func sendRequest(server *httptest.Server, method, attempt, body string) (*http.Response, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, server.URL+"/a%2Fb/c?q=1", strings.NewReader(body))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	req.Header.Set("Attempt", attempt)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, err.Error()
	}
	return resp, string(text)
}

// startGateway starts an HTTP server that serves requests with the gateway of
// c.
func startGateway(c *fakeControl) *httptest.Server {
	server := httptest.NewServer(c.gateway)
	DeferCleanup(server.Close)
	return server
}

// Guards against changing the request on its way to the upstream.
var _ = It("method, path, query and body arrive unchanged", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, body string, _ int) {
		respond(conn, r.Header.Get("Attempt"), r.Method+" "+r.RequestURI+" "+body+" "+r.Header.Get("Upstream"), "Load: 3,1,8,250\r\n")
	}))
	server := startGateway(c)
	resp, text := sendRequest(server, "PATCH", "a1", "hello")
	Expect(resp.StatusCode).To(Equal(200))
	Expect(text).To(Equal("PATCH /a%2Fb/c?q=1 hello u"))
	Expect(c.ended[0].Load).To(Equal(&model.LoadReport{Running: 3, Waiting: 1, Slots: 8, Slowdown: 2.5}))
})

// Guards against delivering the late response to an earlier request as the
// response to the next request on the same connection.
var _ = It("late response to an earlier request is skipped", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, number int) {
		if number == 2 {
			respond(conn, "a1", "of the first request", "")
		}
		respond(conn, r.Header.Get("Attempt"), "right "+r.Header.Get("Attempt"), "")
	}))
	server := startGateway(c)
	for _, attempt := range []string{"a1", "a2", "a3"} {
		_, text := sendRequest(server, "GET", attempt, "")
		Expect(text).To(Equal("right " + attempt))
	}
})

// Guards against delivering a response that is truncated, malformed or meant
// for another request. The caller must receive an error response instead.
var _ = DescribeTable("truncated, malformed or mismatched response is not delivered", func(raw string) {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		fmt.Fprint(conn, strings.ReplaceAll(raw, "ID", r.Header.Get("Attempt")))
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
	}))
	server := startGateway(c)
	resp, _ := sendRequest(server, "POST", "a1", "x")
	Expect(resp.StatusCode).To(Equal(502))
	Expect(c.outcomes()).To(Equal([]string{"lost"}))
},
	Entry("truncated body", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nContent-Length: 10\r\n\r\nabc"),
	Entry("truncated chunk", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
	Entry("body without length, connection reset", "HTTP/1.1 200 OK\r\nAttempt: ID\r\n\r\nabc"),
	Entry("no response", ""),
	Entry("not HTTP", "garbage\r\n\r\n"),
	Entry("response to another request", "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nab"),
)

// Guards against executing a request twice. If the upstream closes the
// connection without a response, the gateway must not send the request again
// without a command of the control goroutine.
var _ = It("request is sent only once if the upstream closes the reused connection", func() {
	requests := make(chan string, 16)
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, number int) {
		requests <- r.Header.Get("Attempt")
		if number == 2 {
			_ = conn.Close()
			return
		}
		respond(conn, r.Header.Get("Attempt"), "ok", "")
	}))
	server := startGateway(c)
	sendRequest(server, "GET", "a1", "")
	resp, _ := sendRequest(server, "GET", "a2", "")
	Expect(resp.StatusCode).To(Equal(502))
	Expect(c.outcomes()).To(Equal([]string{"answered", "lost"}))
	Expect(requests).To(HaveLen(2))
})

// Guards against sending a request on a connection that the upstream has
// already closed. The send would fail, and the gateway could not tell whether
// the request was executed.
var _ = It("closed idle connection is not used", func() {
	closed := make(chan struct{}, 8)
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		respond(conn, r.Header.Get("Attempt"), "ok", "")
		_ = conn.Close()
		closed <- struct{}{}
	}))
	server := startGateway(c)
	for n := range 5 {
		resp, _ := sendRequest(server, "POST", fmt.Sprint("a", n), "x")
		Expect(resp.StatusCode).To(Equal(200))
		<-closed
	}
})

// Guards against sending a request on an idle connection that the upstream has
// dropped without notice.
var _ = It("connection idle for longer than allowed is not used", func() {
	used := make(chan string, 8)
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		used <- conn.RemoteAddr().String()
		respond(conn, r.Header.Get("Attempt"), "ok", "")
	}))
	server := startGateway(c)
	sendRequest(server, "GET", "a1", "")
	c.maxIdleTime = time.Minute
	sendRequest(server, "GET", "a2", "")
	c.maxIdleTime = time.Nanosecond
	sendRequest(server, "GET", "a3", "")
	first, second, third := <-used, <-used, <-used
	Expect(second).To(Equal(first))
	Expect(third).NotTo(Equal(second))
	Expect(c.ended[1].IdleTime).To(BeNumerically(">", 0))
	Expect(c.ended[2].IdleTime).To(BeZero())
})

// Guards against leaving the connection to the upstream open after the caller
// has disconnected. The upstream would go on executing the request.
var _ = It("connection to the upstream is closed when the caller disconnects", func() {
	closed := make(chan struct{})
	c := newFakeControl(startUpstream(func(conn net.Conn, _ *http.Request, _ string, _ int) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	}))
	server := startGateway(c)
	ctx, disconnect := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", server.URL, nil)
	Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(50*time.Millisecond, disconnect)
	_, err = http.DefaultTransport.RoundTrip(req)
	Expect(err).To(HaveOccurred())
	Eventually(closed).WithTimeout(500 * time.Millisecond).Should(BeClosed())
})

// Guards against ending a truncated streamed response in such a way that the
// caller takes the response for complete.
var _ = It("truncated streamed response aborts the caller's connection", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\n%s", r.Header.Get("Attempt"), strings.Repeat("x", 5000))
		if t, ok := conn.(*net.TCPConn); ok {
			time.Sleep(20 * time.Millisecond)
			_ = t.SetLinger(0)
		}
		_ = conn.Close()
	}))
	c.bufferLimit = 1000
	server := startGateway(c)
	_, text := sendRequest(server, "GET", "a1", "")
	Expect(text).To(ContainSubstring("EOF"))
	c.mu.Lock()
	defer c.mu.Unlock()
	Expect(c.ended[0].Truncated).To(BeTrue(), "the upstream failed, not the caller")
})

var _ = It("request to an unreachable upstream is reported as not sent", func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := newFakeControl(l.Addr().String())
	Expect(l.Close()).To(Succeed())
	server := startGateway(c)
	sendRequest(server, "GET", "a1", "")
	Expect(c.outcomes()).To(Equal([]string{"connect_failed"}))
})

// Guards against sending a request to an upstream although its header or body
// exceeds the configured limit. Requests within the limits must still succeed.
var _ = It("requests that exceed the size limits are rejected", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		respond(conn, r.Header.Get("Attempt"), "ok", "")
	}))
	c.catalog.Merge(model.Item{Key: model.ItemKey{Kind: model.LimitsItem, Name: "limits"}, Version: 1,
		Limits: &model.ClientLimits{MaxHeaderBytes: 400, MaxBodyBytes: 100}})
	server := startGateway(c)
	resp, _ := sendRequest(server, "POST", "a1", strings.Repeat("x", 101))
	Expect(resp.StatusCode).To(Equal(413))
	resp, _ = sendRequest(server, "POST", strings.Repeat("a", 400), "x")
	Expect(resp.StatusCode).To(Equal(431))
	resp, _ = sendRequest(server, "POST", "a1", strings.Repeat("x", 100))
	Expect(resp.StatusCode).To(Equal(200))
})
