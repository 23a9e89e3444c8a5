package proxy_test

import (
	"context"
	"net"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Guards against sending a request to an upstream long after its permit was
// granted, because opening the connection took that long. By then the upstream
// may be drained, or its slot may be granted to another request.
var _ = It("request that cannot start in time is not executed", func() {
	g := NewWithT(GinkgoTB())
	c := newStubControl(nil)
	now := func() model.Time { return model.Time(time.Now().UnixNano()) }
	dialUntilCanceled := func(ctx context.Context, _, _ string) (net.Conn, error) {
		select {
		case <-ctx.Done():
		case <-c.done:
		}
		return nil, net.ErrClosed
	}
	defer close(c.done)
	p := proxy.New("a-1", discardTelemetry{}, now, dialUntilCanceled, nil)
	p.SetControl(c)
	served := make(chan struct{})
	go func() {
		defer close(served)
		p.Serve(httptest.NewRecorder(), httptest.NewRequest("GET", "/s/reads/x", nil), "reads", "/x")
	}()
	arrived := (<-c.events).(event.RequestArrived)
	p.Dispatch(event.Dispatch{Request: arrived.ID, Attempt: model.AttemptID{Seq: 1}, Address: "127.0.0.1:1",
		Deadline: now().Add(time.Minute), StartBy: now().Add(20 * time.Millisecond), MaxConnections: 2})
	ended := (<-c.events).(event.AttemptEnded)
	g.Expect(ended.Result).To(Equal(event.ConnectFailed))
	p.Finish(event.Finish{Request: arrived.ID, Code: result.ConnectionFailed})
	<-served
})
