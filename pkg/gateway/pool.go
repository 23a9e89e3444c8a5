package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/socket"
)

const (
	// connectTimeout is how long opening a connection may take. It allows for
	// the round trip between regions (110 ms) and one retransmitted packet.
	connectTimeout = 1300 * time.Millisecond
	// tcpUserTimeout is how long sent data may remain unacknowledged, for
	// example in a network partition, before the kernel closes the connection.
	tcpUserTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept open if the
	// upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's Keep-Alive timeout,
	// so that the upstream does not close a connection while a request is sent
	// on it.
	idleTimeoutMargin = 1500 * time.Millisecond
	// minIdleTimeout is the shortest idle timeout that is derived from the
	// upstream's Keep-Alive timeout.
	minIdleTimeout = 300 * time.Millisecond
	// sweepInterval is the time between two searches for expired idle
	// connections, which are then closed.
	sweepInterval = 5 * time.Second
)

// errTooManyConnections means that this instance already has the maximum number
// of connections to the upstream.
var errTooManyConnections = errors.New("too many connections to the upstream")

// upstreamConn is a connection to an upstream. At most one request is in
// progress on it at a time.
type upstreamConn struct {
	net.Conn
	// reader reads the connection through head.
	reader *bufio.Reader
	head   headLimit
	host   *hostConns
	// used is true if the connection has carried a request before the current one.
	used bool
	// upstream and upstreamStartMs identify the process that sent the latest
	// response on the connection, as far as this instance knows. They are empty
	// before the first response.
	upstream        model.UpstreamID
	upstreamStartMs int64
	// bytesWritten counts the bytes of the current request that were written.
	// As long as it is 0, the upstream cannot have executed the request.
	bytesWritten atomic.Int64
	// idleSince is when the connection became idle. After idleDeadline the
	// connection is not used for new requests.
	idleSince, idleDeadline time.Time
}

// Write implements io.Writer and counts the bytes.
func (c *upstreamConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// maxResponseHeadBytes is the largest size of the status line and header of a
// response.
const maxResponseHeadBytes = 64 << 10

// errHeadTooLarge means that the head of a response exceeds maxResponseHeadBytes.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headLimit limits how much is read of a connection while the head of a response
// is read, since an upstream may write one without end.
type headLimit struct {
	conn net.Conn
	// active is true while a head is read. remaining is the number of bytes that may
	// still be read of it.
	active    bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.active {
		return l.conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readHead reads the head of a response to a request.
func (c *upstreamConn) readHead(r *http.Request) (*http.Response, error) {
	c.head.active, c.head.remaining = true, maxResponseHeadBytes
	resp, err := http.ReadResponse(c.reader, r)
	c.head.active = false
	return resp, err
}

// hostConns holds the connections to one address.
type hostConns struct {
	// idle holds the idle connections, the most recently used one last.
	idle []*upstreamConn
	// openCount counts the open connections, idle ones and those in use.
	openCount int
	// usedAt is when a connection was last requested.
	usedAt time.Time
}

// pool keeps idle connections to upstreams for reuse and limits the number of
// open connections to each address.
type pool struct {
	// mu guards hosts, their connections and sweepScheduled.
	mu sync.Mutex
	// hosts maps the addresses of upstreams to their connections.
	hosts map[string]*hostConns
	// sweepScheduled is true while a timer is set that will call sweep.
	sweepScheduled bool
	dialer         net.Dialer
}

func newPool() *pool {
	return &pool{
		hosts:  map[string]*hostConns{},
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: socket.UserTimeout(tcpUserTimeout)},
	}
}

// connTiming holds how long a new connection took to open (connectTime) or how
// long a reused connection had been idle (idleTime). The field that does not
// apply is 0.
type connTiming struct{ connectTime, idleTime time.Duration }

// get returns an idle connection that may be reused, unless mustBeNew is true. If
// there is none, it opens a connection, unless this instance already has the
// maximum number of connections to the upstream.
func (p *pool) get(ctx context.Context, f *event.Forward, mustBeNew bool) (*upstreamConn, connTiming, error) {
	h := p.host(f.Address)
	if !mustBeNew {
		if c := p.takeIdle(h, f.MaxIdleTime); c != nil {
			return c, connTiming{idleTime: max(time.Since(c.idleSince), 1)}, nil
		}
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
	c := &upstreamConn{Conn: conn, host: h, head: headLimit{conn: conn}}
	c.reader = bufio.NewReader(&c.head)
	return c, connTiming{connectTime: max(time.Since(start), 1)}, nil
}

// host returns the hostConns of an address.
func (p *pool) host(address string) *hostConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	h.usedAt = time.Now()
	return h
}

// takeIdle removes the most recently used reusable connection from the pool. It
// returns nil if no connection is reusable. takeIdle closes the idle connections
// that it finds not reusable. maxIdleTime is how long a reusable connection may
// have been idle; 0 means no limit.
func (p *pool) takeIdle(h *hostConns, maxIdleTime time.Duration) *upstreamConn {
	for {
		p.mu.Lock()
		n := len(h.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		p.mu.Unlock()
		now := time.Now()
		idleTooLong := maxIdleTime > 0 && now.Sub(c.idleSince) > maxIdleTime
		if !idleTooLong && now.Before(c.idleDeadline) && isReusable(c.Conn) {
			c.bytesWritten.Store(0)
			return c
		}
		p.discard(c)
	}
}

// reserve counts a connection that is about to be opened. If the connection
// would exceed the limit, reserve does not count it and returns false. A limit
// of 0 allows any number of connections.
func (p *pool) reserve(h *hostConns, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && h.openCount >= limit {
		return false
	}
	h.openCount++
	return true
}

// release stops counting a connection that was closed or could not be opened.
func (p *pool) release(h *hostConns) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.openCount--
}

// put keeps an idle connection for later requests. keepAlive is the Keep-Alive
// timeout that the upstream sent, 0 for none.
func (p *pool) put(c *upstreamConn, keepAlive time.Duration) {
	idleTimeout := defaultIdleTimeout
	if keepAlive > 0 {
		idleTimeout = max(minIdleTimeout, keepAlive-idleTimeoutMargin)
	}
	if c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	c.used = true
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

// discard closes a connection that will not be reused.
func (p *pool) discard(c *upstreamConn) {
	_ = c.Close()
	p.release(c.host)
}

// sweep closes expired idle connections. It schedules itself again after
// sweepInterval while any idle connections remain.
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
		// A connection may be about to be opened.
		if h.openCount == 0 && now.Sub(h.usedAt) > sweepInterval {
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

// isReusable reports whether an idle connection is open and has no data to read.
// Data that arrives while no request is in progress cannot be the response to the
// next request.
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
