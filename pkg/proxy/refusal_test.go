package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

var _ = DescribeTable("refusal that is written once more does not prove that the next request was not run", func(withAttempt bool, second event.AttemptResult) {
	g := NewWithT(GinkgoTB())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	var indistinct atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go repeatFirstRefusal(conn, withAttempt, &indistinct)
		}
	}()
	c := newStubControl(nil)
	p := newProxy(c)
	var results []event.AttemptResult
	for seq := range uint64(2) {
		results = append(results, attemptOnce(p, c, l.Addr().String(), 2, seq+1))
	}
	g.Expect(results).To(Equal([]event.AttemptResult{event.RefusedBeforeExecution, second}))
	g.Expect(indistinct.Load()).To(BeZero())
},
	Entry("with the attempt ID of the earlier request", true, event.LostAfterDispatch),
	Entry("without an attempt ID: the second request is sent, and refused, on a new connection", false, event.RefusedBeforeExecution),
)

// attemptOnce passes a request to the proxy, dispatches it once to the address, and
// returns the result of the attempt. This instance may open maxConnections connections.
func attemptOnce(p *proxy.Proxy, c *stubControl, address string, maxConnections int, seq uint64) event.AttemptResult {
	served := make(chan struct{})
	go func() {
		defer close(served)
		p.Serve(httptest.NewRecorder(), httptest.NewRequest("POST", "/s/writes/x", nil), "writes", "/x")
	}()
	arrived := (<-c.events).(event.RequestArrived)
	p.Dispatch(event.Dispatch{Request: arrived.ID, Attempt: model.AttemptID{Seq: seq}, Address: address,
		Deadline: model.Time(time.Now().Add(5 * time.Second).UnixNano()), MaxConnections: maxConnections})
	ended := (<-c.events).(event.AttemptEnded)
	p.Finish(event.Finish{Request: arrived.ID, Code: result.UpstreamLost})
	<-served
	return ended.Result
}

// closedSilentlyConn is a connection whose Close is not noticed by a reader, so
// that http.Transport keeps it in its pool.
type closedSilentlyConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *closedSilentlyConn) Close() error { c.closed.Store(true); return nil }
func (c *closedSilentlyConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Guards against an unknown outcome of a request for which the transport chose a
// pooled connection that an earlier attempt had just closed.
var _ = It("request is sent on another connection if its pooled connection was closed", func() {
	g := NewWithT(GinkgoTB())
	var executed atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		executed.Add(1)
		w.Header().Set(proxy.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	DeferCleanup(upstream.Close)
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return &closedSilentlyConn{Conn: conn}, err
	}
	c := newStubControl(nil)
	p := proxy.New("a-1", discardTelemetry{}, func() model.Time { return model.Time(time.Now().UnixNano()) }, dial, nil)
	p.SetControl(c)
	DeferCleanup(p.Close)
	for seq := range uint64(2) {
		g.Expect(attemptOnce(p, c, upstream.Listener.Addr().String(), 8, seq+1)).To(Equal(event.RefusedBeforeExecution))
	}
	g.Expect(executed.Load()).To(BeEquivalentTo(2))
})

// repeatFirstRefusal refuses the first request on a connection and answers all
// later ones with the same refusal. It counts later
// requests without an attempt ID in their refusal: they could not be told apart.
func repeatFirstRefusal(conn net.Conn, withAttempt bool, indistinct *atomic.Int32) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refusal, refusals := "", 0
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if refusal == "" {
			refusal = "HTTP/1.1 503 Service Unavailable\r\n" + proxy.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n"
			if withAttempt {
				refusal += proxy.HeaderAttempt + ": " + r.Header.Get(proxy.HeaderAttempt) + "\r\n"
			}
			refusal += "\r\n"
		}
		if refusals++; refusals > 1 && !withAttempt {
			indistinct.Add(1)
		}
		fmt.Fprint(conn, refusal)
	}
}
