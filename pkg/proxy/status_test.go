package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// startRawUpstream starts an upstream that reads the head of each request and then calls
// respond. It returns its address.
func startRawUpstream(respond func(conn net.Conn, r *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go fake.ServeRaw(l, respond)
	return l.Addr().String()
}

// Guards against a request that never ends, at the caller and in the reducer, and against a
// status that is passed on, because an upstream in trouble writes a status that is none.
var _ = DescribeTable("response with an invalid status is a failure of the upstream", func(method, status string) {
	address := startRawUpstream(func(conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", status, proxy.HeaderAttempt, r.Header.Get(proxy.HeaderAttempt))
	})
	c := newForwardingControl(address, 0)
	server := c.start()
	req, err := http.NewRequest(method, server.URL+"/x", nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	Eventually(c.ended).WithTimeout(time.Second).Should(Receive(HaveField("Result", event.LostAfterDispatch)))
},
	Entry("000", "GET", "000"), Entry("000, deposit", "POST", "000"), Entry("099", "GET", "099"), Entry("+20", "GET", "+20"),
	Entry("101 that was not requested", "GET", "101"), Entry("600", "GET", "600"), Entry("999", "POST", "999"),
)
