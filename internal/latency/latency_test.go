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

// Data must come whole, in order, late by the delay, and also after a close.
var _ = It("conn delays and keeps order", func() {
	g := NewWithT(GinkgoTB())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	far, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	const oneWay = 20 * time.Millisecond
	near := latency.NewConn(raw, latency.Path{OneWayDelay: oneWay})
	start := time.Now()
	for _, part := range []string{"one ", "two ", "three"} {
		_, err := near.Write([]byte(part))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(near.Close()).To(Succeed())
	data, err := io.ReadAll(far)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("one two three"))
	g.Expect(time.Since(start)).To(BeNumerically(">=", oneWay))
})

var _ = It("link limits the rate", func() {
	g := NewWithT(GinkgoTB())
	l := latency.NewLink(1000)
	start := time.Now()
	g.Expect(l.Reserve(start, 500)).To(Equal(start.Add(500 * time.Millisecond)))
	g.Expect(l.Reserve(start, 500)).To(Equal(start.Add(time.Second)))
	g.Expect(l.MaxQueueTime()).To(Equal(500 * time.Millisecond))
})

// Messages of a link must not overtake each other.
var _ = It("scheduler keeps order", func() {
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
