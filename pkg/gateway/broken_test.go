package gateway_test

import (
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
)

// attemptHeader returns the header line that names the attempt of a request.
func attemptHeader(r *http.Request) string { return "Attempt: " + r.Header.Get("Attempt") + "\r\n" }

// Guards against the start of an answer that is delivered as a whole one because the kernel
// tells the reset of its connection to the goroutine that writes the request only.
var _ = Describe("answer that breaks off never looks complete", func() {
	for _, c := range fake.BreakingCases() {
		for _, bufferLimit := range []int{1 << 20, 16 << 10} {
			It(fmt.Sprintf("%s, buffer limit %d", c.Name, bufferLimit), func() {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(l.Close)
				c.Answer.Header = attemptHeader
				go fake.ServeRaw(l, c.Answer.Respond)
				control := newFakeControl(l.Addr().String())
				control.bufferLimit = bufferLimit
				Expect(c.Check(startGateway(control).Listener.Addr().String(), "Attempt: a1\r\n")).To(Succeed())
			})
		}
	}
})
