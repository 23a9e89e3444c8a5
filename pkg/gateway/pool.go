package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/anvilcrank/anvilcrank/pkg/event"
)

const (
	// connectTimeout bounds the opening of a connection: the round trip between
	// regions (110 ms) and one repeated packet.
	connectTimeout = 1300 * time.Millisecond
	// unansweredTimeout ends a connection whose peer acknowledges nothing, as
	// behind a partition.
	tcpUserTimeout = 3 * time.Second
	// defaultIdle is how long an unused connection is kept if the upstream states
	// no time of its own.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the time that an upstream states, so that a request
	// does not cross the upstream's close.
	idleTimeoutMargin = 1500 * time.Millisecond
	// minIdle is the shortest time that a connection is kept.
	minIdleTimeout = 300 * time.Millisecond
	// sweepInterval is how often connections that nobody asks for are closed.
	sweepInterval = 5 * time.Second
)

// errConnections reports that an upstream has as many connections of this
// instance as it may have.
var errTooManyConnections = errors.New("too many connections to the upstream")

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	host   *hostConns
	// written counts the bytes of the present request.
	bytesWritten atomic.Int64
	// idleSince is when the connection was last used, and idleUntil when it is no
	// longer used for new requests.
	idleSince, idleDeadline time.Time
	closed                  atomic.Bool
}

// Write implements io.Writer.
func (c *upstreamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// host holds the connections to one address.
type hostConns struct {
	idle      []*upstreamConn
	openCount int
}

// pool holds connections to upstreams.
type pool struct {
	mu             sync.Mutex
	hosts          map[string]*hostConns
	sweepScheduled bool
	dialer         net.Dialer
}

func newPool() *pool {
	return &pool{
		hosts: map[string]*hostConns{},
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
			return setTCPUserTimeout(c)
		}},
	}
}

// setUnanswered makes the kernel end a connection whose peer is silent.
func setTCPUserTimeout(c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// opening says how a connection was had: it was opened, which took a while, or
// had rested since its last use.
type connTiming struct{ connectTime, idleTime time.Duration }

// get returns a connection that was used before and has not rested for too long,
// or opens one.
func (p *pool) get(ctx context.Context, f *event.Forward) (*upstreamConn, connTiming, error) {
	h, c := p.takeIdle(f.Address, f.MaxIdleTime)
	if c != nil {
		return c, connTiming{idleTime: max(time.Since(c.idleSince), 1)}, nil
	}
	if !p.reserve(h, f.MaxConnections) {
		return nil, connTiming{}, errTooManyConnections
	}
	start := time.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		p.release(h)
		return nil, connTiming{}, err
	}
	return &upstreamConn{Conn: conn, reader: bufio.NewReader(conn), host: h}, connTiming{connectTime: max(time.Since(start), 1)}, nil
}

// takeIdle returns the connection that was used last, if one is alive. maxRest is
// how long it may have rested, 0 for no bound.
func (p *pool) takeIdle(address string, maxIdleTime time.Duration) (*hostConns, *upstreamConn) {
	p.mu.Lock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	p.mu.Unlock()
	for {
		p.mu.Lock()
		n := len(h.idle)
		if n == 0 {
			p.mu.Unlock()
			return h, nil
		}
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		p.mu.Unlock()
		now := time.Now()
		idleTooLong := maxIdleTime > 0 && now.Sub(c.idleSince) > maxIdleTime
		if !idleTooLong && now.Before(c.idleDeadline) && isReusable(c.Conn) {
			c.bytesWritten.Store(0)
			return h, c
		}
		p.discard(c)
	}
}

func (p *pool) reserve(h *hostConns, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && h.openCount >= limit {
		return false
	}
	h.openCount++
	return true
}

func (p *pool) release(h *hostConns) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.openCount--
}

// put keeps a connection for the next request.
func (p *pool) put(c *upstreamConn, keepAlive time.Duration) {
	idleTimeout := defaultIdleTimeout
	if keepAlive > 0 {
		idleTimeout = max(minIdleTimeout, keepAlive-idleTimeoutMargin)
	}
	if c.closed.Load() || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	c.idleDeadline = c.idleSince.Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.host.idle = append(c.host.idle, c)
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// discard closes a connection for good.
func (p *pool) discard(c *upstreamConn) {
	_ = c.Close()
	p.release(c.host)
}

// sweep closes connections that were idle for too long, and comes again while
// there are any.
func (p *pool) sweep() {
	now := time.Now()
	var expired []*upstreamConn
	p.mu.Lock()
	idleCount := 0
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		h.idle = kept
		idleCount += len(kept)
		if h.openCount == 0 {
			delete(p.hosts, address)
		}
	}
	p.sweepScheduled = idleCount > 0
	if p.sweepScheduled {
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// isQuiet reports whether an unused connection is open and has nothing to read.
// Bytes that arrive without a request belong to none.
func isReusable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(errno, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}
