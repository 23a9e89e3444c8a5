package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
)

// Guards against the start of an answer that is delivered as a whole one because the kernel
// tells the reset of its connection to the goroutine that writes the request only.
var _ = Describe("answer that breaks off never looks complete", func() {
	for _, framing := range []fake.Framing{fake.FramingLength, fake.FramingChunked, fake.FramingNone} {
		for _, reset := range []bool{false, true} {
			for body, upload := range map[string]struct {
				bytes     int
				readBytes int64
			}{"no body": {0, -1}, "body read": {600_000, -1}, "body being sent": {16_000_000, 64_000}} {
				for _, bufferLimit := range []int{1 << 20, 16 << 10} {
					It(fmt.Sprintf("framing %s, reset %t, %s, buffer limit %d", framing, reset, body, bufferLimit), func() {
						answer := &fake.BreakingAnswer{Framing: framing, Reset: reset, WholeBytes: 90_000, WrittenBytes: 30_000, Pause: breakAfter, ReadBytes: upload.readBytes,
							Header: func(r *http.Request) string { return "Attempt: " + r.Header.Get("Attempt") + "\r\n" }}
						expectBrokenOrWhole(answer, upload.bytes, bufferLimit)
					})
				}
			}
		}
	}
})

// breakAfter lets the buffers between the gateway and the upstream fill before the break, so
// that the upload waits in a write.
const breakAfter = 100 * time.Millisecond

// expectBrokenOrWhole sends requests to an upstream that breaks off its answers and checks
// what the caller gets.
func expectBrokenOrWhole(answer *fake.BreakingAnswer, bodyBytes, bufferLimit int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go fake.ServeRaw(l, answer.Respond)
	c := newFakeControl(l.Addr().String())
	c.bufferLimit = bufferLimit
	server := startGateway(c)
	upload := fake.Upload{Header: "Attempt: a1\r\n", Path: "/x", Body: fake.Pattern(bodyBytes), PieceBytes: 64_000}
	for range 5 {
		resp, got, err := upload.Send(server.Listener.Addr().String())
		looksComplete := err == nil && resp.StatusCode == http.StatusOK
		if answer.EndsProperly() {
			Expect(looksComplete).To(BeTrue(), "%v", err)
			Expect(got).To(HaveLen(answer.WrittenBytes))
			continue
		}
		Expect(looksComplete).To(BeFalse(), "%d bytes", len(got))
	}
}
