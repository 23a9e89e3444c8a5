package proxy_test

import (
	"bufio"
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
		served := make(chan struct{})
		go func() {
			defer close(served)
			p.Serve(httptest.NewRecorder(), httptest.NewRequest("POST", "/s/writes/x", nil), "writes", "/x")
		}()
		arrived := (<-c.events).(event.RequestArrived)
		p.Dispatch(event.Dispatch{Request: arrived.ID, Attempt: model.AttemptID{Seq: seq + 1}, Address: l.Addr().String(),
			Deadline: model.Time(time.Now().Add(5 * time.Second).UnixNano()), MaxConnections: 2})
		results = append(results, (<-c.events).(event.AttemptEnded).Result)
		p.Finish(event.Finish{Request: arrived.ID, Code: result.UpstreamLost})
		<-served
	}
	g.Expect(results).To(Equal([]event.AttemptResult{event.RefusedBeforeExecution, second}))
	g.Expect(indistinct.Load()).To(BeZero())
},
	Entry("with the attempt ID of the earlier request", true, event.LostAfterDispatch),
	Entry("without an attempt ID: the second request is sent, and refused, on a new connection", false, event.RefusedBeforeExecution),
)

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
