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

// startEarlyAnswer starts an upstream that answers early, and a server with a proxy before it.
// It returns the address of the server and the bodies that the upstream gets.
func startEarlyAnswer(t testing.TB, a *fake.EarlyAnswer) (address string, received <-chan fake.Received) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	bodies := make(chan fake.Received, 16)
	go a.Serve(l, bodies)
	server := httptest.NewServer(newForwardingControl(l.Addr().String(), 16<<10).handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), bodies
}

// Guards against an upstream that answers early and gets a part of the body only, with a
// proper end: net/http reads the caller's body too once the response begins.
var _ = Describe("upstream that answers before the end of the body gets the whole body", func() {
	for _, u := range fake.UploadCases {
		It(u.Name, func() {
			address, received := startEarlyAnswer(GinkgoTB(), u.Answer(attemptHeader))
			for range 3 {
				Expect(u.Check(address, "", received)).To(Succeed())
			}
		})
	}
})

// Guards against cutting a body whose upstream has answered early and reads on. Listed in
// KNOWN-RED.txt.
func TestBodyGoesOnAfterAWholeAnswer(t *testing.T) {
	g := NewWithT(t)
	for _, u := range fake.WholeAnswerCases {
		address, received := startEarlyAnswer(t, u.Answer(attemptHeader))
		g.Expect(u.Check(address, "", received)).To(Succeed(), u.Name)
	}
}
