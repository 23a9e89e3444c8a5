package gateway_test

import (
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a response of an upstream in trouble that is taken for an informational
// one, so that the bytes in its body are delivered as a response, or that is passed on.
var _ = DescribeTable("response with an invalid status is a failure of the upstream", func(status string) {
	const forged = "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 6\r\n\r\nforged"
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, number int) {
		if number > 1 {
			respond(conn, r.Header.Get("Attempt"), "ok", "")
			return
		}
		body := fmt.Sprintf(forged, r.Header.Get("Attempt"))
		fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Attempt"), len(body), body)
	}))
	server := startGateway(c)
	resp, text := sendRequest(server, "POST", "a1", "x")
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), text)
	Expect(c.outcomes()).To(Equal([]string{"lost"}), "it may have been executed")
	resp, text = sendRequest(server, "POST", "a2", "x")
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(text).To(Equal("ok"))
},
	Entry("000", "000"), Entry("099", "099"), Entry("+20", "+20"), Entry("101 that was not requested", "101"),
	Entry("600", "600"), Entry("999", "999"), Entry("two digits", "20"), Entry("four digits", "2000"),
)
