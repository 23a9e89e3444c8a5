package proxy_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// stubControl implements proxy.Control. It records events, and Submit returns err.
type stubControl struct {
	err    error
	done   chan struct{}
	events chan event.Body
}

func newStubControl(err error) *stubControl {
	return &stubControl{err: err, done: make(chan struct{}), events: make(chan event.Body, 16)}
}

func (c *stubControl) Submit(b event.Body) error {
	if c.err == nil {
		c.events <- b
	}
	return c.err
}
func (c *stubControl) Report(b event.Body)   { c.events <- b }
func (c *stubControl) View() *view.View      { return &view.View{} }
func (c *stubControl) Done() <-chan struct{} { return c.done }

// discardTelemetry implements proxy.Telemetry.
type discardTelemetry struct{}

func (discardTelemetry) ObserveRequest(model.Tenant, model.ServiceName, model.Class, result.Code, time.Duration) {
}

func (discardTelemetry) Log(event.Log) {}

func newProxy(c *stubControl) *proxy.Proxy {
	p := proxy.New("a-1", discardTelemetry{}, func() model.Time { return model.Time(time.Now().UnixNano()) }, nil, nil)
	p.SetControl(c)
	return p
}

// Guards against two faults when the queue of the control goroutine is full:
// the request waits, or its outcome is reported as unknown although the request
// was not executed.
var _ = It("request is rejected as not run if the control queue is full", func() {
	g := NewWithT(GinkgoTB())
	p := newProxy(newStubControl(errors.New("full")))
	w := httptest.NewRecorder()
	p.Serve(w, httptest.NewRequest("GET", "/s/reads/x", nil), "reads", "/x")
	g.Expect(w.Code).To(Equal(503))
	g.Expect(w.Header().Get(proxy.HeaderCode)).To(Equal("2003"))
	g.Expect(w.Body.String()).To(ContainSubstring(`"class":"not_run"`))
})

// Guards against two faults when the control goroutine ends while a request is
// in progress: the caller waits forever, or the caller is told that the request
// was not executed.
var _ = It("outcome of a request in progress is unknown when the control goroutine ends", func() {
	g := NewWithT(GinkgoTB())
	c := newStubControl(nil)
	p := newProxy(c)
	close(c.done)
	w := httptest.NewRecorder()
	p.Serve(w, httptest.NewRequest("GET", "/s/reads/x", nil), "reads", "/x")
	g.Expect(w.Header().Get(proxy.HeaderCode)).To(Equal("3001"))
})

// Guards against buffering a large request body completely and against sending
// it twice.
var _ = It("large body is streamed and not replayable", func() {
	g := NewWithT(GinkgoTB())
	size := 1 << 20
	received := make(chan int, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		received <- int(n)
	}))
	defer upstream.Close()
	c := newStubControl(nil)
	p := newProxy(c)
	w := httptest.NewRecorder()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Serve(w, httptest.NewRequest("POST", "/s/writes/x", strings.NewReader(strings.Repeat("x", size))), "writes", "/x")
	}()
	arrived := (<-c.events).(event.RequestArrived)
	g.Expect(arrived.Replayable).To(BeFalse())
	id := model.AttemptID{Instance: "a-1", Seq: 1}
	p.Dispatch(event.Dispatch{Request: arrived.ID, Attempt: id, Address: upstream.Listener.Addr().String(),
		Deadline: model.Time(time.Now().Add(5 * time.Second).UnixNano()), MaxConnections: 4})
	g.Expect(<-received).To(Equal(size))
	g.Expect(<-c.events).To(BeAssignableToTypeOf(event.AttemptAnswered{}))
	p.Relay(event.Relay{Request: arrived.ID, Attempt: id})
	ev := (<-c.events).(event.AttemptEnded)
	g.Expect(ev.Result).To(Equal(event.Completed))
	<-ended
})
