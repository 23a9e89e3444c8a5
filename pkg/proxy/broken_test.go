package proxy_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/fake"
)

// Guards against the start of an answer that is delivered as a whole one because the kernel
// tells the reset of its connection to the goroutine that writes the request only.
var _ = Describe("answer that breaks off never looks complete", func() {
	for _, c := range fake.BreakingCases() {
		for _, bufferLimit := range []int{1 << 20, 0} {
			It(fmt.Sprintf("%s, buffer limit %d", c.Name, bufferLimit), func() {
				c.Answer.Header = attemptHeader
				control := newForwardingControl(startRawUpstream(c.Answer.Respond), bufferLimit)
				Expect(c.Check(control.start().Listener.Addr().String(), "")).To(Succeed())
			})
		}
	}
})
