package proxy

import (
	"errors"
	"net"
	"sync"
)

// errSealed reports a write to a connection whose attempt was declared not run.
var errWritesBlocked = errors.New("connection is sealed")

// countingConn counts written bytes, to prove that an attempt did not run:
// a request of which no byte was written cannot have reached the upstream.
type countingConn struct {
	net.Conn
	mu            sync.Mutex
	written       int64
	writesBlocked bool
}

// Write counts the bytes before it writes them.
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

// count returns the number of bytes written so far.
func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnwritten forbids writes if none came after the mark, and reports
// whether it did. After that the attempt provably never reaches the upstream.
func (c *countingConn) blockWritesIfUnwritten(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != writtenBefore {
		return false
	}
	c.writesBlocked = true
	return true
}
