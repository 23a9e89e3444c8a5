package proxy_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Guards against truncating a response at its deadline although the caller
// could receive a better one. If nothing was sent to the caller by the
// deadline, the caller must receive an error response instead of the start of
// the body. If the deadline is extended by a grace period, the caller must
// receive the complete response.
var _ = It("response body that arrives after the deadline is relayed only in the grace period", func() {
	g := NewWithT(GinkgoTB())
	for _, c := range []struct {
		bufferLimit int
		grace       time.Duration
		result      event.AttemptResult
		body        string
	}{{10, 0, event.Truncated, ""}, {10, time.Second, event.Completed, "whole"}, {0, time.Second, event.Completed, "whole"}, {1, 0, event.Truncated, "wh"}} {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte("wh"))
			w.(http.Flusher).Flush()
			time.Sleep(400 * time.Millisecond)
			_, _ = w.Write([]byte("ole"))
		}))
		control, w, ended := newStubControl(nil), httptest.NewRecorder(), make(chan struct{})
		p := newProxy(control)
		go func() {
			defer close(ended)
			defer func() { _ = recover() }()
			p.Serve(w, httptest.NewRequest("GET", "/s/reads/x", nil), "reads", "/x")
		}()
		id := model.AttemptID{Instance: "a-1", Seq: 1}
		request := (<-control.events).(event.RequestArrived).ID
		deadline := model.Time(time.Now().Add(200 * time.Millisecond).UnixNano())
		p.Dispatch(event.Dispatch{Request: request, Attempt: id, Address: upstream.Listener.Addr().String(), Deadline: deadline, MaxConnections: 4})
		g.Expect(<-control.events).To(BeAssignableToTypeOf(event.AttemptAnswered{}))
		p.Relay(event.Relay{Request: request, Attempt: id, BufferLimit: c.bufferLimit, Deadline: deadline.Add(c.grace)})
		ev := (<-control.events).(event.AttemptEnded)
		g.Expect(ev.Result).To(Equal(c.result))
		if ev.Result == event.Truncated {
			g.Expect(ev.RelayedBytes).To(Equal(int64(len(c.body))))
			p.Finish(event.Finish{Request: request, Code: result.DeadlineAfterDispatch})
		}
		<-ended
		if c.body == "" {
			g.Expect(w.Code).To(Equal(http.StatusGatewayTimeout))
		} else {
			g.Expect(w.Body.String()).To(Equal(c.body))
		}
		upstream.Close()
	}
})
