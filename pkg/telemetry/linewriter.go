package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines is how many log lines can wait until the output accepts them.
const maxQueuedLines = 2048

// LineWriter writes log lines on a separate goroutine, so that a blocked output
// does not block callers. Lines that arrive while the queue is full are dropped
// and counted.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewLineWriter returns a LineWriter that writes to out. The caller must call
// Run.
func NewLineWriter(out io.Writer) *LineWriter {
	return &LineWriter{out: out, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a line. It never blocks and never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *LineWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then the lines still queued.
func (w *LineWriter) Run(ctx context.Context) error {
	var reported uint64
	for {
		select {
		case line := <-w.lines:
			w.write(line, &reported)
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					w.write(line, &reported)
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// write writes a line. If lines were dropped since the last report, it first
// writes their number. Write errors are ignored, since there is no other output
// to report them to.
func (w *LineWriter) write(line []byte, reported *uint64) {
	if n := w.dropped.Load(); n > *reported {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"dropped\":%d}}\n", n-*reported)
		*reported = n
	}
	_, _ = w.out.Write(line)
}
