package proxy_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// forwardingControl implements proxy.Control. It dispatches each request once to the same
// address, relays the response, and ends the request if there is none.
type forwardingControl struct {
	*stubControl
	proxy       *proxy.Proxy
	address     string
	bufferLimit int
	ended       chan event.AttemptEnded
	canceled    chan event.RequestCanceled
	// finishFirst finishes the request when the response arrives, instead of relaying it.
	finishFirst bool
}

func newForwardingControl(address string, bufferLimit int) *forwardingControl {
	c := &forwardingControl{stubControl: newStubControl(nil), address: address, bufferLimit: bufferLimit,
		ended: make(chan event.AttemptEnded, 64), canceled: make(chan event.RequestCanceled, 64)}
	c.proxy = newProxy(c.stubControl)
	c.proxy.SetControl(c)
	return c
}

func (c *forwardingControl) deadline() model.Time {
	return model.Time(time.Now().Add(10 * time.Second).UnixNano())
}

func (c *forwardingControl) Submit(b event.Body) error {
	if a, ok := b.(event.RequestArrived); ok {
		go c.proxy.Dispatch(event.Dispatch{Request: a.ID, Attempt: model.AttemptID{Instance: "a-1", Seq: uint64(a.ID)},
			Address: c.address, Deadline: c.deadline(), MaxConnections: 4})
	}
	return nil
}

func (c *forwardingControl) Report(b event.Body) {
	switch b := b.(type) {
	case event.RequestCanceled:
		c.canceled <- b
	case event.AttemptAnswered:
		if c.finishFirst {
			c.proxy.Finish(event.Finish{Request: b.Request, Code: result.UpstreamLost})
			return
		}
		c.proxy.Relay(event.Relay{Request: b.Request, Attempt: b.Attempt, Deadline: c.deadline(), BufferLimit: c.bufferLimit})
	case event.AttemptEnded:
		c.ended <- b
		if b.Result != event.Completed {
			c.proxy.Finish(event.Finish{Request: b.Request, Code: result.UpstreamLost})
		}
	}
}

// handler serves requests with the proxy.
func (c *forwardingControl) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.proxy.Serve(w, r, "writes", r.URL.Path) })
}

// start starts an HTTP server that serves requests with the proxy.
func (c *forwardingControl) start() *httptest.Server {
	server := httptest.NewServer(c.handler())
	DeferCleanup(server.Close)
	return server
}

// attemptHeader returns the header line that names the attempt of a request.
func attemptHeader(r *http.Request) string {
	return proxy.HeaderAttempt + ": " + r.Header.Get(proxy.HeaderAttempt) + "\r\n"
}

// Guards against an upstream that answers early and gets a part of the body only, with a
// proper end: net/http reads the caller's body too once the response begins.
var _ = DescribeTable("upstream that answers before the end of the body gets the whole body", func(chunked bool, bodyBytes, pieceBytes, answerBytes, earlyBytes int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	received := make(chan fake.Received, 16)
	upstream := &fake.EarlyAnswer{Answer: fake.Pattern(answerBytes), ReadBefore: 64_000, EarlyBytes: earlyBytes, Header: attemptHeader}
	go upstream.Serve(l, received)
	server := newForwardingControl(l.Addr().String(), 16<<10).start()
	upload := fake.Upload{Path: "/x", Body: fake.Pattern(bodyBytes), Chunked: chunked, PieceBytes: pieceBytes,
		Pause: 300 * time.Millisecond * time.Duration(pieceBytes) / time.Duration(bodyBytes)}
	for range 3 {
		resp, answer, err := upload.Send(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(answer).To(Equal(fake.Pattern(answerBytes)))
		var got fake.Received
		Eventually(received).WithTimeout(5 * time.Second).Should(Receive(&got))
		Expect(got.Is(upload.Body)).To(BeTrue(), "%d of %d bytes, %v", len(got.Body), bodyBytes, got.Err)
	}
},
	Entry("chunked, answer streamed", true, 640_000, 32_000, 90_000, 30_000),
	Entry("chunked, in small pieces", true, 640_000, 4_000, 90_000, 30_000),
	Entry("chunked, long", true, 6_400_000, 64_000, 90_000, 30_000),
	Entry("chunked, long answer", true, 640_000, 32_000, 2_000_000, 1_500_000),
	Entry("chunked, answer buffered", true, 640_000, 32_000, 8_000, 3_000),
	Entry("320 kB with a length", false, 320_000, 32_000, 90_000, 30_000),
	Entry("480 kB with a length", false, 480_000, 32_000, 90_000, 30_000),
	Entry("640 kB with a length", false, 640_000, 32_000, 90_000, 30_000),
	Entry("3 MB with a length, long answer", false, 3_000_000, 32_000, 2_000_000, 1_500_000),
)

// Guards against cutting a body whose upstream has answered early and reads on. Listed in
// KNOWN-RED.txt.
func TestBodyGoesOnAfterAWholeAnswer(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	received := make(chan fake.Received, 1)
	upstream := &fake.EarlyAnswer{Answer: fake.Pattern(8_000), ReadBefore: 64_000, EarlyBytes: 8_000, Header: attemptHeader}
	go upstream.Serve(l, received)
	server := httptest.NewServer(newForwardingControl(l.Addr().String(), 16<<10).handler())
	defer server.Close()
	upload := fake.Upload{Path: "/x", Body: fake.Pattern(640_000), Chunked: true, PieceBytes: 32_000, Pause: 15 * time.Millisecond}
	_, answer, err := upload.Send(server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer).To(Equal(upstream.Answer))
	g.Expect((<-received).Is(upload.Body)).To(BeTrue())
}
