package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
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

// maxHeadBytes bounds what an upstream can write of a head without end, including
// the buffers of the kernel.
const maxHeadBytes = 16 << 20

var _ = DescribeTable("head without end is given up before the deadline", func(start, piece string) {
	var written atomic.Int64
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		fmt.Fprint(conn, strings.ReplaceAll(start, "ID", r.Header.Get("Attempt")))
		for block := strings.Repeat(piece, 256); written.Load() < 4*maxHeadBytes; {
			n, err := fmt.Fprint(conn, block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	server := startGateway(c)
	begin := time.Now()
	resp, _ := sendRequest(server, "POST", "a1", "x")
	Expect(resp.StatusCode).To(Equal(502))
	Expect(time.Since(begin)).To(BeNumerically("<", time.Second), "the deadline is 2 s after the request")
	Expect(written.Load()).To(BeNumerically("<", maxHeadBytes))
},
	Entry("of header fields", "HTTP/1.1 200 OK\r\nAttempt: ID\r\n", "A: b\r\n"),
	Entry("in one field", "HTTP/1.1 200 OK\r\nAttempt: ID\r\nA: ", "xxxxxx"),
	Entry("in the status line", "HTTP/1.1 200 ", "xxxxxx"),
	Entry("of informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
)

var _ = It("body without end is not delivered as a whole and ends with the deadline", func() {
	closed := make(chan struct{})
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		defer close(closed)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\n", r.Header.Get("Attempt"))
		for block := strings.Repeat("x", 8<<10); ; time.Sleep(time.Millisecond) {
			if _, err := fmt.Fprint(conn, block); err != nil {
				return
			}
		}
	}))
	c.bufferLimit = 1 << 16
	server := startGateway(c)
	begin := time.Now()
	_, text := sendRequest(server, "GET", "a1", "")
	Expect(text).To(ContainSubstring("EOF"))
	Expect(time.Since(begin)).To(BeNumerically("<", 3*time.Second))
	Eventually(closed).WithTimeout(time.Second).Should(BeClosed())
})

// Guards against statements that are missed because the body is lost or because
// nobody waits for the response any more, and against rubbish that has an effect.
var _ = DescribeTable("statements of an upstream are read from every response", func(status, header string, expected model.UpstreamStatement) {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nAttempt: %s\r\n%s\r\nContent-Length: 10\r\n\r\nabc", status, r.Header.Get("Attempt"), header)
		_ = conn.Close()
	}))
	server := startGateway(c)
	sendRequest(server, "POST", "a1", "x")
	var stated model.UpstreamStatement
	Eventually(c.reported).Should(Receive(WithTransform(func(b event.Body) bool {
		switch b := b.(type) {
		case event.UpstreamStated:
			Expect(b.Upstream).To(BeEquivalentTo("u"))
			stated = b.Statement
		case event.SendEnded:
			Expect(b.Responded).To(BeTrue())
			if b.Statement.RequestLimit > 0 {
				stated.RequestLimit = b.Statement.RequestLimit
			}
			return true
		}
		return false
	}, BeTrue())))
	Expect(stated).To(Equal(expected))
},
	Entry("leaving", "200", "Leaving: 1", model.UpstreamStatement{Leaving: true}),
	Entry("leaving with a failure", "500", "Leaving: 1", model.UpstreamStatement{Leaving: true}),
	Entry("another value of leaving", "200", "Leaving: yes", model.UpstreamStatement{}),
	Entry("pause in seconds", "503", "Retry-After: 2", model.UpstreamStatement{Pause: 2 * time.Second}),
	Entry("pause with a fraction", "503", "Retry-After: 0.25", model.UpstreamStatement{Pause: 250 * time.Millisecond}),
	Entry("pause until a date", "503", "Date: Sun, 06 Nov 1994 08:49:30 GMT\r\nRetry-After: Sun, 06 Nov 1994 08:49:37 GMT", model.UpstreamStatement{Pause: 7 * time.Second}),
	Entry("date without a date to compare", "503", "Retry-After: Sun, 06 Nov 1994 08:49:37 GMT", model.UpstreamStatement{}),
	Entry("negative pause", "503", "Retry-After: -3", model.UpstreamStatement{}),
	Entry("pause that is no number", "503", "Retry-After: soon", model.UpstreamStatement{}),
	Entry("pause of a year", "503", "Retry-After: 31536000", model.UpstreamStatement{Pause: model.MaxPause}),
	Entry("pause with another status", "500", "Retry-After: 3", model.UpstreamStatement{}),
	Entry("limit", "200", "Limit: 12.5", model.UpstreamStatement{RequestLimit: 12.5}),
	Entry("negative limit", "200", "Limit: -1", model.UpstreamStatement{}),
	Entry("limit that is no number", "200", "Limit: NaN", model.UpstreamStatement{}),
	Entry("limit above any rate", "200", "Limit: 1e12", model.UpstreamStatement{}),
)

// Guards against a late answer whose statement is lost with it.
var _ = It("statement in a late response to an earlier request is reported", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, number int) {
		if number == 2 {
			respond(conn, "a1", "late", "Leaving: 1\r\n")
		}
		respond(conn, r.Header.Get("Attempt"), "ok", "")
	}))
	server := startGateway(c)
	sendRequest(server, "GET", "a1", "")
	sendRequest(server, "GET", "a2", "")
	Eventually(c.reported).Should(Receive(Equal(event.UpstreamStated{Upstream: "u", Statement: model.UpstreamStatement{Leaving: true}})))
})

// Guards against a whole response that the caller loses, or gets with an error
// message in its body, because the process ends at the same moment.
var _ = DescribeTable("response is delivered as it is if the control goroutine ends meanwhile", func(bufferLimit int) {
	for range 20 {
		c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\nwhole", r.Header.Get("Attempt"))
			_ = conn.Close()
		}))
		c.bufferLimit = bufferLimit
		c.endAfterSend = true
		server := startGateway(c)
		resp, text := sendRequest(server, "GET", "a1", "")
		Expect(resp.StatusCode).To(Equal(200))
		Expect(text).To(Equal("whole"))
	}
},
	Entry("buffered", 1<<20),
	Entry("streamed", 1),
)

var _ = It("response to HEAD keeps its Content-Length", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 1234\r\n\r\n", r.Header.Get("Attempt"))
	}))
	resp, _ := sendRequest(startGateway(c), "HEAD", "a1", "")
	Expect(resp.ContentLength).To(BeEquivalentTo(1234))
})

// Guards against a request that ends with an unknown outcome because its upstream
// wrote several informational responses before the response.
var _ = It("informational responses do not count as stale ones", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		for range 5 {
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
		}
		respond(conn, r.Header.Get("Attempt"), "executed", "")
	}))
	resp, body := sendRequest(startGateway(c), "GET", "a1", "")
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(body).To(Equal("executed"))
})

// Guards against an upstream that writes informational responses without end.
var _ = It("endless informational responses end the send", func() {
	c := newFakeControl(startUpstream(func(conn net.Conn, _ *http.Request, _ string, _ int) {
		for {
			if _, err := fmt.Fprint(conn, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
				return
			}
		}
	}))
	sendRequest(startGateway(c), "GET", "a1", "")
	Expect(c.outcomes()).To(Equal([]string{"lost"}))
})

// Guards against a part of a streamed response that reaches the caller only with the
// next part, which the upstream may write much later.
var _ = It("parts of a streamed response are sent on at once", func() {
	release := make(chan struct{})
	c := newFakeControl(startUpstream(func(conn net.Conn, r *http.Request, _ string, _ int) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 40\r\n\r\n%s", r.Header.Get("Attempt"), strings.Repeat("a", 20))
		<-release
		fmt.Fprint(conn, strings.Repeat("b", 20))
	}))
	c.bufferLimit = 10
	server := startGateway(c)
	req, _ := http.NewRequest("GET", server.URL+"/x", nil)
	req.Header.Set("Attempt", "a1")
	received := make(chan string, 1)
	go func() {
		defer GinkgoRecover()
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		first := make([]byte, 20)
		_, err = io.ReadFull(resp.Body, first)
		Expect(err).NotTo(HaveOccurred())
		received <- string(first)
	}()
	Eventually(received).WithTimeout(time.Second).Should(Receive(Equal(strings.Repeat("a", 20))))
	close(release)
})
