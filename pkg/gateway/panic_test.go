package gateway_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
)

// Guards against a request that stays open in the reducer for ever, so that the process
// never stops, because a panic ended the goroutine that serves it.
var _ = DescribeTable("panic ends the request in the reducer", func(bufferLimit int) {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		respond(conn, r.Header.Get("Attempt"), strings.Repeat("x", 1000), "")
	}))
	c.bufferLimit = bufferLimit
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.gateway.ServeHTTP(fake.PanickingWriter{ResponseWriter: w}, r)
	}))
	DeferCleanup(server.Close)
	resp, _ := sendRequest(server, "POST", "a1", "x")
	Expect(resp).To(BeNil(), "the connection is closed")
	canceled, ended := 0, 0
	for range 2 {
		var b event.Body
		Eventually(c.reported).WithTimeout(time.Second).Should(Receive(&b))
		switch b.(type) {
		case event.RequestCanceled:
			canceled++
		case event.SendEnded:
			ended++
		}
	}
	Expect([]int{canceled, ended}).To(Equal([]int{1, 1}))
	Consistently(c.reported).WithTimeout(100 * time.Millisecond).ShouldNot(Receive(BeAssignableToTypeOf(event.SendEnded{})))
},
	Entry("response streamed", 10),
	Entry("response buffered", 1<<20),
)

// Guards against a request that waits for the end of a send that was never begun.
var _ = It("send for a request that has ended is reported as not sent", func() {
	c := newFakeControl("127.0.0.1:1")
	c.gateway.Forward(event.Forward{Request: 7, Attempt: 3, Upstream: "u", Address: c.address})
	Eventually(c.reported).WithTimeout(time.Second).Should(Receive(Equal(event.SendEnded{Request: 7, Attempt: 3, Upstream: "u", Outcome: event.SendConnectFailed})))
})
