package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// startEarlyAnswer starts an upstream that answers early. The bodies that it receives are
// passed on in the channel.
func startEarlyAnswer(a *fake.EarlyAnswer) (*fakeControl, <-chan fake.Received) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	a.Header = attemptHeader
	received := make(chan fake.Received, 16)
	go a.Serve(l, received)
	c := newFakeControl(l.Addr().String())
	c.bufferLimit, c.timeout = 16<<10, 10*time.Second
	return c, received
}

// Guards against an upstream that answers early and gets a part of the body only, with a
// proper end: two readers shared the caller's body once the response began.
var _ = Describe("upstream that answers before the end of the body gets the whole body", func() {
	for _, u := range slices.Concat(fake.UploadCases, fake.WholeAnswerCases) {
		It(u.Name, func() {
			c, received := startEarlyAnswer(u.Answer(attemptHeader))
			address := startGateway(c).Listener.Addr().String()
			for range 3 {
				Expect(u.Check(address, "Attempt: a1\r\n", received)).To(Succeed())
			}
		})
	}
})

// Guards against an upstream that works on a request until its deadline although the
// caller left in the middle of the body.
var _ = DescribeTable("connection to the upstream is closed when the caller leaves in the middle of the body", func(chunked bool, readBefore int) {
	c, received := startEarlyAnswer(&fake.EarlyAnswer{Answer: fake.Pattern(90_000), ReadBefore: readBefore, EarlyBytes: 30_000})
	server := startGateway(c)
	upload := fake.Upload{Header: "Attempt: a1\r\n", Path: "/x", Body: fake.Pattern(1 << 20), Chunked: chunked, PieceBytes: 32_000, EndAfter: 600_000}
	_, _, err := upload.Send(server.Listener.Addr().String())
	Expect(err).To(HaveOccurred())
	var got fake.Received
	Eventually(received).WithTimeout(500 * time.Millisecond).Should(Receive(&got))
	Expect(got.Err).To(HaveOccurred(), "the body did not end properly")
},
	Entry("with a length, before the response", false, 1<<20),
	Entry("in chunks, before the response", true, 1<<20),
	Entry("with a length, in the response", false, 64_000),
	Entry("in chunks, in the response", true, 64_000),
)

// Guards against a request that is open until its deadline, at the caller and at the
// upstream, because the rest of its body cannot be passed on.
var _ = DescribeTable("body that breaks a rule in its streamed part ends the request", func(limit int64, end string, status int) {
	c, received := startEarlyAnswer(&fake.EarlyAnswer{ReadBefore: 1 << 20})
	c.catalog.Merge(model.Item{Key: model.ItemKey{Kind: model.LimitsItem, Name: "limits"}, Version: 1,
		Limits: &model.ClientLimits{MaxHeaderBytes: 4000, MaxBodyBytes: limit}})
	server := startGateway(c)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	piece := fake.Pattern(32_000)
	fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 20 {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
	}
	fmt.Fprint(conn, end)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(status))
	Expect(resp.Close).To(BeTrue(), "what is left of the body is no request")
	var got fake.Received
	Eventually(received).WithTimeout(500 * time.Millisecond).Should(Receive(&got))
	Expect(got.Err).To(HaveOccurred(), "the body did not end properly")
},
	Entry("more bytes than the limit", int64(500_000), "", http.StatusRequestEntityTooLarge),
	Entry("malformed chunk", int64(1<<20), "zz\r\nabc\r\n", http.StatusBadRequest),
)
