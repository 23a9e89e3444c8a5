package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// refusal is a response to the request with the given attempt ID, "" for none,
// that states that nothing was executed.
func refusal(attempt string) string {
	header := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: full\r\n"
	if attempt != "" {
		header += "Attempt: " + attempt + "\r\n"
	}
	return header + "Content-Length: 0\r\n\r\n"
}

var _ = DescribeTable("refusal that is written once more does not prove that the next request was not executed", func(attempt string) {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, number int) {
		if number == 1 {
			fmt.Fprint(conn, refusal(attempt))
			return
		}
		fmt.Fprint(conn, refusal(attempt))
		time.Sleep(20 * time.Millisecond)
		respond(conn, r.Header.Get("Attempt"), "executed", "")
	}))
	server := startGateway(c)
	sendRequest(server, "POST", "a1", "x")
	sendRequest(server, "POST", "a2", "x")
	Expect(c.outcomes()[0]).To(Equal("not_executed"))
	Expect(c.outcomes()[1]).NotTo(Equal("not_executed"))
},
	Entry("with the attempt ID of the earlier request", "a1"),
	Entry("without an attempt ID", ""),
)

var _ = It("refusal on a kept connection is not taken for the answer to a request without an attempt ID", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, number int) {
		if number == 1 {
			fmt.Fprint(conn, refusal("a1"))
			return
		}
		fmt.Fprint(conn, refusal("a1"))
		time.Sleep(20 * time.Millisecond)
		respond(conn, "", "executed", "")
	}))
	server := startGateway(c)
	sendRequest(server, "POST", "a1", "x")
	c.address = startUpstream(func(conn net.Conn, _ *http.Request, _ string, _ int) { respond(conn, "", "executed", "") })
	_, text := sendRequest(server, "POST", "", "x")
	Expect(text).To(Equal("executed"))
})

var _ = It("response whose head stops in the middle is not delivered", func() {
	const head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: s\r\nContent-Length: 10\r\n\r\n"
	for cut := range len(head) {
		c := newFakeControl(startUpstream(func(conn net.Conn, _ *http.Request, _ string, _ int) {
			fmt.Fprint(conn, head[:cut])
			_ = conn.Close()
		}))
		server := startGateway(c)
		resp, text := sendRequest(server, "POST", "a1", "x")
		Expect(resp.StatusCode).To(Equal(502), "%q: %s", head[:cut], text)
		Expect(c.outcomes()).To(Equal([]string{"lost"}), "%q", head[:cut])
	}
})
