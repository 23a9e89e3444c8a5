package gateway_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
)

// startEarlyAnswer starts an upstream that answers early. The bodies that it receives are
// passed on in the channel.
func startEarlyAnswer(a *fake.EarlyAnswer) (*fakeControl, <-chan fake.Received) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	a.Header = func(r *http.Request) string { return "Attempt: " + r.Header.Get("Attempt") + "\r\n" }
	received := make(chan fake.Received, 16)
	go a.Serve(l, received)
	c := newFakeControl(l.Addr().String())
	c.bufferLimit, c.timeout = 16<<10, 10*time.Second
	return c, received
}

// Guards against an upstream that answers early and gets a part of the body only, with a
// proper end: two readers shared the caller's body once the response began.
var _ = DescribeTable("upstream that answers before the end of the body gets the whole body", func(chunked bool, bodyBytes, pieceBytes, answerBytes, earlyBytes int) {
	c, received := startEarlyAnswer(&fake.EarlyAnswer{Answer: fake.Pattern(answerBytes), ReadBefore: 64_000, EarlyBytes: earlyBytes})
	server := startGateway(c)
	upload := fake.Upload{Header: "Attempt: a1\r\n", Path: "/x", Body: fake.Pattern(bodyBytes), Chunked: chunked, PieceBytes: pieceBytes,
		Pause: 300 * time.Millisecond * time.Duration(pieceBytes) / time.Duration(bodyBytes)}
	for range 3 {
		resp, answer, err := upload.Send(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(answer).To(Equal(fake.Pattern(answerBytes)))
		var got fake.Received
		Eventually(received).WithTimeout(5 * time.Second).Should(Receive(&got))
		Expect(got.Is(upload.Body)).To(BeTrue(), "%d of %d bytes, %v", len(got.Body), bodyBytes, got.Err)
	}
},
	Entry("chunked, answer streamed", true, 640_000, 32_000, 90_000, 30_000),
	Entry("chunked, in small pieces", true, 640_000, 4_000, 90_000, 30_000),
	Entry("chunked, long", true, 6_400_000, 64_000, 90_000, 30_000),
	Entry("chunked, long answer", true, 640_000, 32_000, 2_000_000, 1_500_000),
	Entry("chunked, answer buffered", true, 640_000, 32_000, 8_000, 3_000),
	Entry("chunked, answer whole before the body", true, 640_000, 32_000, 8_000, 8_000),
	Entry("chunked, streamed answer whole before the body", true, 640_000, 32_000, 90_000, 90_000),
	Entry("480 kB with a length, answer whole before the body", false, 480_000, 32_000, 8_000, 8_000),
	Entry("320 kB with a length", false, 320_000, 32_000, 90_000, 30_000),
	Entry("480 kB with a length", false, 480_000, 32_000, 90_000, 30_000),
	Entry("640 kB with a length", false, 640_000, 32_000, 90_000, 30_000),
	Entry("3 MB with a length, long answer", false, 3_000_000, 32_000, 2_000_000, 1_500_000),
)
