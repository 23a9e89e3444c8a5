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
	unansweredTimeout = 3 * time.Second
	// defaultIdle is how long an unused connection is kept if the upstream states
	// no time of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that an upstream states, so that a request
	// does not cross the upstream's close.
	idleMargin = 1500 * time.Millisecond
	// minIdle is the shortest time that a connection is kept.
	minIdle = 300 * time.Millisecond
	// sweepInterval is how often connections that nobody asks for are closed.
	sweepInterval = 5 * time.Second
)

// errConnections reports that an upstream has as many connections of this
// instance as it may have.
var errConnections = errors.New("too many connections to the upstream")

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
	host   *host
	// written counts the bytes of the present request.
	written atomic.Int64
	// idleSince is when the connection was last used, and idleUntil when it is no
	// longer used for new requests.
	idleSince, idleUntil time.Time
	closed               atomic.Bool
}

// Write implements io.Writer.
func (c *upstreamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// host holds the connections to one address.
type host struct {
	idle []*upstreamConn
	open int
}

// pool holds connections to upstreams.
type pool struct {
	mu       sync.Mutex
	hosts    map[string]*host
	sweeping bool
	dialer   net.Dialer
}

func newPool() *pool {
	return &pool{
		hosts: map[string]*host{},
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
			return setUnanswered(c)
		}},
	}
}

// setUnanswered makes the kernel end a connection whose peer is silent.
func setUnanswered(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unansweredTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// opening says how a connection was had: it was opened, which took a while, or
// had rested since its last use.
type opening struct{ took, rested time.Duration }

// get returns a connection that was used before and has not rested for too long,
// or opens one.
func (p *pool) get(ctx context.Context, f *event.Forward) (*upstreamConn, opening, error) {
	h, c := p.takeIdle(f.Address, f.MaxIdleTime)
	if c != nil {
		return c, opening{rested: max(time.Since(c.idleSince), 1)}, nil
	}
	if !p.reserve(h, f.MaxConnections) {
		return nil, opening{}, errConnections
	}
	start := time.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		p.release(h)
		return nil, opening{}, err
	}
	return &upstreamConn{Conn: conn, reader: bufio.NewReader(conn), host: h}, opening{took: max(time.Since(start), 1)}, nil
}

// takeIdle returns the connection that was used last, if one is alive. maxRest is
// how long it may have rested, 0 for no bound.
func (p *pool) takeIdle(address string, maxRest time.Duration) (*host, *upstreamConn) {
	p.mu.Lock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
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
		rested := maxRest > 0 && now.Sub(c.idleSince) > maxRest
		if !rested && now.Before(c.idleUntil) && isQuiet(c.Conn) {
			c.written.Store(0)
			return h, c
		}
		p.discard(c)
	}
}

func (p *pool) reserve(h *host, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && h.open >= limit {
		return false
	}
	h.open++
	return true
}

func (p *pool) release(h *host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.open--
}

// put keeps a connection for the next request.
func (p *pool) put(c *upstreamConn, stated time.Duration) {
	idle := defaultIdle
	if stated > 0 {
		idle = max(minIdle, stated-idleMargin)
	}
	if c.closed.Load() || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.host.idle = append(c.host.idle, c)
	if !p.sweeping {
		p.sweeping = true
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
	var old []*upstreamConn
	p.mu.Lock()
	left := 0
	for address, h := range p.hosts {
		keep := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleUntil) {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		h.idle = keep
		left += len(keep)
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.sweeping = left > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// isQuiet reports whether an unused connection is open and has nothing to read.
// Bytes that arrive without a request belong to none.
func isQuiet(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(errno, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
