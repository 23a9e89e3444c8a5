package inbound

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/socket"
)

const (
	// writePieceBytes is the size of the pieces in which a response is written, so that the
	// progress of its reader is seen.
	writePieceBytes = 64 << 10
	// discardTimeout is how long a client may take to send the rest of a request that was
	// answered before its end.
	discardTimeout = 5 * time.Second
	// writeStallTimeout is how long a client may take no byte of a response that waits for it.
	// The response may hold a slot of an upstream.
	writeStallTimeout = 10 * time.Second
	// timeoutSlack is added to the timeouts, for delays in the network and in this process.
	timeoutSlack = 2 * time.Second
)

// Timeouts are the limits on a client's time.
type Timeouts struct {
	// Header is the time from the first byte of a request to the end of its head, Idle the time
	// for which a connection may stay open without a request.
	Header, Idle time.Duration
}

// stage is what a connection is used for.
type stage int32

const (
	// idle is the stage before the first byte of a request.
	idle stage = iota
	// readingHead is the stage from that byte to the end of the head.
	readingHead
	// serving is the stage in which the handler runs.
	serving
	// ending is the stage from the end of the handler to the next request or the end of the
	// connection. net/http writes the rest of the response and discards that of the request.
	ending
	// linked is the stage of a connection that was upgraded for the messages of another
	// instance.
	linked
)

// errNoRoom ends a connection whose head finds no room in the memory budget.
var errNoRoom = errors.New("no room in the memory budget")

// Conn is an accepted connection. It is written for net/http, which reads on one goroutine at a
// time, and writes on one.
type Conn struct {
	net.Conn
	id       uint64
	table    *Table
	timeouts func() Timeouts

	stage atomic.Int32
	// held is what the connection and its request hold of the memory budget, in bytes.
	held atomic.Int64
	// own is the part of held that belongs to the connection itself: its buffers, the kernel's
	// ones included, and the head. Only the goroutine that serves the connection uses it.
	own memory.Holding
	// bodyReads is the number of reads of a request body in progress.
	bodyReads atomic.Int32
	// waitingSince is when the process began to wait for the client, in nanoseconds since the
	// start of the table, 0 if it does not wait. stalled is for how many nanoseconds the client
	// has stalled before in this stage.
	waitingSince, stalled atomic.Int64
	// wide is true while the receive buffer is wide.
	wide atomic.Bool
	// endingSince is when the handler ended, in the same unit.
	endingSince atomic.Int64

	endOnce sync.Once
	// reclaimed is what a decision to close the connection made free ahead of its end, in
	// bytes. The table's mutex guards it.
	reclaimed int64
}

// enter begins a stage. What the head held is released when the next request may begin.
func (c *Conn) enter(s stage) {
	c.stage.Store(int32(s))
	c.stalled.Store(0)
	switch s {
	case idle:
		c.own.ShrinkTo(memory.ConnectionBytes)
	case serving:
		c.setTimeout(0)
	case ending:
		if tcp, ok := c.Conn.(syscall.Conn); ok && c.wide.Swap(false) {
			_ = socket.SetReceiveBuffer(tcp, memory.ReceiveBufferBytes)
		}
		c.own.ShrinkTo(memory.ConnectionBytes + memory.UnreadBytes)
		c.endingSince.Store(c.table.elapsed())
	}
}

// Read implements net.Conn. While it waits for a request, it applies the timeouts, and it counts
// what the head will hold once it is parsed.
func (c *Conn) Read(p []byte) (int, error) {
	s := stage(c.stage.Load())
	if s == serving && (c.bodyReads.Load() == 0 || len(p) == 1) {
		// net/http reads one byte ahead while a request is served, to notice that the client
		// has left.
		return c.Conn.Read(p)
	}
	if s == idle {
		c.setTimeout(c.timeouts().Idle)
	}
	c.beginWait()
	n, err := c.Conn.Read(p)
	c.endWait(n)
	if n == 0 || s != idle && s != readingHead {
		return n, err
	}
	if s == idle {
		c.enter(readingHead)
		c.setTimeout(c.timeouts().Header)
	}
	held := memory.HeadBytes(p[:n])
	if s == idle {
		held += memory.UnreadBytes
	}
	if !c.own.Grow(held, memory.Heads) {
		c.table.report(RefusedForMemory, 1)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoRoom}
	}
	if c.held.Load() >= largeHeadBytes {
		c.table.paceLargeHeads(held)
	}
	return n, err
}

// setTimeout makes reads fail after the timeout; 0 means no limit.
func (c *Conn) setTimeout(timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout + timeoutSlack)
	}
	// An error means that the connection is closed, which the next read reports.
	_ = c.Conn.SetReadDeadline(deadline)
}

// Write implements net.Conn. It fails if the client of a request takes no byte for
// writeStallTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		if stage(c.stage.Load()) != linked {
			// An error means that the connection is closed, which the write reports.
			_ = c.Conn.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		}
		c.beginWait()
		n, err := c.Conn.Write(piece)
		c.endWait(n)
		written += n
		switch timedOut := errors.Is(err, os.ErrDeadlineExceeded); {
		case timedOut && n == 0:
			c.table.report(ClosedUnread, 1)
			return written, err
		case err != nil && !timedOut || written == len(p):
			return written, err
		}
	}
}

// beginWait notes that the process waits for the client. A read and a write may wait at the same
// time; the connection then counts as waiting until one of them ends.
func (c *Conn) beginWait() { c.waitingSince.CompareAndSwap(0, c.table.elapsed()) }

// endWait notes that the client has sent or taken n bytes. On a link, any byte ends a stall.
func (c *Conn) endWait(n int) {
	since := c.waitingSince.Swap(0)
	if since == 0 {
		return
	}
	stalled := c.stalled.Load() + c.table.elapsed() - since - int64(float64(n)/referenceRate*float64(time.Second))
	if stalled < 0 || stage(c.stage.Load()) == linked {
		stalled = 0
	}
	c.stalled.Store(stalled)
}

// candidate returns the connection as a decision sees it.
func (c *Conn) candidate(now int64) candidate {
	since := c.waitingSince.Load()
	stall := c.stalled.Load()
	if since != 0 {
		stall += max(0, now-since)
	}
	s := stage(c.stage.Load())
	if s == ending {
		stall = now - c.endingSince.Load()
	}
	return candidate{conn: c, held: c.held.Load(), stall: time.Duration(stall), waiting: since != 0, stage: s}
}

// Close implements net.Conn. Except for links, the goroutine that serves the connection calls
// end afterwards.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if stage(c.stage.Load()) == linked {
		c.end()
	}
	return err
}

// end takes the connection out of the table.
func (c *Conn) end() { c.endOnce.Do(func() { c.table.remove(c) }) }

// CloseWrite ends the sending direction, so that a client that still sends can read a response
// before the connection is reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// WidenReceiveBuffer makes the kernel keep more bytes of the connection of a request, so that a
// long body is not received in small parts, if the budget has room for them. It ends with the
// request.
func WidenReceiveBuffer(ctx context.Context, held *memory.Holding) {
	c, ok := ctx.Value(contextKey{}).(*Conn)
	if !ok || !held.Grow(memory.WideUnreadBytes, memory.Requests) {
		return
	}
	if tcp, ok := c.Conn.(syscall.Conn); ok {
		// An error leaves the buffer as it is.
		_ = socket.SetReceiveBuffer(tcp, memory.WideReceiveBufferBytes)
		c.wide.Store(true)
	}
}

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// Account returns where the connection of a request counts what it holds, nil if the
// connection belongs to no Table.
func Account(ctx context.Context) *atomic.Int64 {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		return &c.held
	}
	return nil
}
