package proxy

import (
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is returned by Write after the attempt that uses the
// connection was reported as not executed, or after Close.
var errWritesBlocked = errors.New("writes to the connection are blocked")

// countingConn counts the bytes written to a connection. The count can prove
// that an attempt was not executed: an upstream cannot execute a request of
// which no byte was written.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	written       int64
	writesBlocked bool
	closed        bool
}

// Write implements io.Writer. It counts the bytes before it writes them, so that a
// write in progress is counted too.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements io.Closer. Later writes are not counted: http.Transport may
// already have assigned the connection to another attempt, which then provably
// sent nothing on it.
func (c *countingConn) Close() error {
	c.mu.Lock()
	c.writesBlocked, c.closed = true, true
	c.mu.Unlock()
	return c.Conn.Close()
}

// closedUnused reports whether the connection was closed before any byte of the
// attempt's request was passed to Write.
func (c *countingConn) closedUnused(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed && c.written == writtenBefore
}

// bytesWritten returns the number of bytes that were passed to Write.
func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// blockWritesIfUnstarted blocks all later writes if no byte of the attempt's
// request was passed to Write, and returns true if it has blocked them. In that
// case the upstream never receives any part of the request. writtenBefore is
// the value that bytesWritten returned before the attempt used the connection.
func (c *countingConn) blockWritesIfUnstarted(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != writtenBefore {
		return false
	}
	c.writesBlocked = true
	return true
}
