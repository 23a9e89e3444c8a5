package latency_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/internal/latency"
)

// Guards against a connection that loses or reorders data, delivers it before the
// delay has passed, or drops data when it is closed directly after a write.
var _ = It("a connection delays data and keeps its order", func() {
	g := NewWithT(GinkgoTB())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	socket, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	const oneWay = 20 * time.Millisecond
	delayed := latency.NewConn(socket, latency.Path{OneWayDelay: oneWay})
	start := time.Now()
	for _, part := range []string{"one ", "two ", "three"} {
		_, err := delayed.Write([]byte(part))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(delayed.Close()).To(Succeed())
	data, err := io.ReadAll(peer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("one two three"))
	g.Expect(time.Since(start)).To(BeNumerically(">=", oneWay))
})

// Guards against a link that transfers queued data faster or slower than its rate,
// or that reports a wrong queue time.
var _ = It("a link limits the bytes per second", func() {
	g := NewWithT(GinkgoTB())
	l := latency.NewLink(1000)
	start := time.Now()
	g.Expect(l.Reserve(start, 500)).To(Equal(start.Add(500 * time.Millisecond)))
	g.Expect(l.Reserve(start, 500)).To(Equal(start.Add(time.Second)))
	g.Expect(l.MaxQueueTime()).To(Equal(500 * time.Millisecond))
})

// Guards against a scheduler that calls functions with the same due time in another
// order than that in which they were added.
var _ = It("a scheduler keeps the order of functions with the same due time", func() {
	g := NewWithT(GinkgoTB())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := latency.NewScheduler(ctx)
	got := make(chan int, 100)
	due := time.Now().Add(5 * time.Millisecond)
	for i := range 100 {
		s.At(due, func() { got <- i })
	}
	for i := range 100 {
		g.Eventually(got).Should(Receive(Equal(i)))
	}
})
