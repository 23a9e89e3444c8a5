package telemetry

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a process that blocks in a log call because nobody reads its
// standard output.
var _ = It("Write does not block while the output is blocked", func() {
	reader, writer := io.Pipe()
	w := NewLineWriter(writer)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for range 3 * maxQueuedLines {
		n, err := w.Write([]byte("line\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(5))
	}
	Expect(w.Dropped()).To(BeNumerically(">=", maxQueuedLines))
	cancel()
	text := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(reader)
		text <- string(data)
	}()
	Expect(errors.Is(<-done, context.Canceled)).To(BeTrue())
	Expect(writer.Close()).To(Succeed())
	Expect(strings.Count(<-text, "dropped")).To(BeNumerically(">=", 1))
})

// Guards against a log volume per second that grows with the load.
var _ = It("line limiter limits the lines per second and counts skipped lines", func() {
	var l lineLimiter
	now := time.Unix(1000, 0)
	written, reported, skipped := 0, 0, 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		n, ok := l.allow(now)
		if ok {
			written++
		} else {
			skipped++
		}
		reported += n
	}
	Expect(written).To(BeNumerically("<=", lineBurst+10*maxLinesPerSecond))
	now = now.Add(time.Second)
	n, ok := l.allow(now)
	Expect(ok).To(BeTrue())
	Expect(reported + n).To(Equal(skipped))
})
