package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// maxWaitingLines bounds the log lines that wait for the output.
const maxQueuedLines = 2048

// LineWriter writes log lines on a goroutine of its own, so that an output that
// nobody reads holds up nothing. Lines beyond the bound are dropped and counted.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewLineWriter returns a writer of lines to out. Run must be called.
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

// Dropped returns the number of lines that were not written.
func (w *LineWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that wait.
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

// write writes a line, preceded by the number of lines that were lost since the
// last one. An output that fails cannot be told of its failure.
func (w *LineWriter) write(line []byte, reported *uint64) {
	if n := w.dropped.Load(); n > *reported {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"dropped\":%d}}\n", n-*reported)
		*reported = n
	}
	_, _ = w.out.Write(line)
}
