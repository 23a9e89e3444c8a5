package inbound

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/socket"
)

const (
	// idleTimeout is the idle timeout at servers that have none of their own.
	idleTimeout = 2 * time.Minute
	// reportInterval is the least time between two log events with the same reason.
	reportInterval = time.Second
	// futileInterval is the least time between two decisions of which the first made nothing
	// free.
	futileInterval = 10 * time.Millisecond
	// uncollectedShare is the share of the budget that large heads may be parsed into between
	// two collections of garbage.
	uncollectedShare = 0.25
)

// Reason is why connections were closed or refused.
type Reason uint8

// Reasons.
const (
	// ClosedForMemory and ClosedForDescriptors are connections that were closed to make room.
	ClosedForMemory Reason = iota
	ClosedForDescriptors
	// RefusedForMemory are connections whose head or whose buffers found no room,
	// RefusedForDescriptors those that were one too many.
	RefusedForMemory
	RefusedForDescriptors
	// ClosedUnread are connections whose clients took nothing of a response.
	ClosedUnread
	numReasons
)

// reasonNames are the names of the reasons in logs and metrics.
var reasonNames = [numReasons]string{"closed_memory", "closed_descriptors", "refused_memory", "refused_descriptors", "closed_unread"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Telemetry receives the numbers of connections that were closed or refused, and log events.
type Telemetry interface {
	CountConnections(reason string, n int)
	Log(event.Log)
}

// Table holds the accepted connections of a process. Its methods may be called from several
// goroutines.
type Table struct {
	budget    *memory.Budget
	max       int
	telemetry Telemetry
	startedAt time.Time
	nextID    atomic.Uint64
	// noMemoryAt and noDescriptorsAt are when the last decision was made that made nothing free.
	noMemoryAt, noDescriptorsAt atomic.Int64
	// uncollected is how many bytes large heads were parsed into since the last collection of
	// garbage for them, during which collecting is locked.
	uncollected atomic.Int64
	collecting  sync.Mutex

	// mu guards conns.
	mu    sync.Mutex
	conns map[*Conn]bool

	// reportMu guards the fields below. unreported counts, for each reason, the connections that
	// no log event reports yet; reportedAt is when the last one was written.
	reportMu   sync.Mutex
	unreported [numReasons]int
	reportedAt [numReasons]time.Time
}

// NewTable returns a table that accepts up to maxConnections connections, 0 for any number.
// What they hold is counted in the budget; nil means no limit.
func NewTable(budget *memory.Budget, maxConnections int, t Telemetry) *Table {
	table := &Table{budget: budget, max: maxConnections, telemetry: t, startedAt: time.Now(), conns: map[*Conn]bool{}}
	if budget != nil {
		budget.OnExhausted(table.reclaim)
	}
	return table
}

// elapsed returns the nanoseconds since the start of the table, which are never 0.
func (t *Table) elapsed() int64 { return int64(time.Since(t.startedAt)) + 1 }

// Attach prepares a server for connections of the table, and returns the listener on which it
// must serve. The server's header and idle timeouts apply unless timeouts returns others at the
// time; it may be nil.
func (t *Table) Attach(srv *http.Server, l net.Listener, timeouts func() Timeouts) net.Listener {
	fixed := Timeouts{Header: srv.ReadHeaderTimeout, Idle: srv.IdleTimeout}
	if fixed.Idle == 0 {
		fixed.Idle = idleTimeout
	}
	srv.ReadHeaderTimeout, srv.IdleTimeout = 0, 0
	if tcp, ok := l.(syscall.Conn); ok {
		// An error leaves the kernel's default.
		_ = socket.SetReceiveBuffer(tcp, memory.ReceiveBufferBytes)
	}
	srv.ConnState = changeStage
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) }
	srv.Handler = trackRequests(srv.Handler)
	return &listener{Listener: l, table: t, timeouts: func() Timeouts {
		if timeouts == nil {
			return fixed
		}
		configured := timeouts()
		return Timeouts{Header: cmp.Or(configured.Header, fixed.Header), Idle: cmp.Or(configured.Idle, fixed.Idle)}
	}}
}

// changeStage follows the states of net/http. The state is active from the end of a head on.
func changeStage(c net.Conn, s http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		conn.enter(serving)
	case http.StateIdle:
		conn.enter(idle)
	case http.StateHijacked:
		conn.enter(linked)
	case http.StateClosed:
		conn.end()
	}
}

// trackRequests makes reads of request bodies and the ends of handlers known to connections.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(contextKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		requestBody := &body{ReadCloser: r.Body, conn: conn}
		requestBody.ended.Store(r.Body == http.NoBody)
		r.Body = requestBody
		next.ServeHTTP(w, r)
		if stage(conn.stage.Load()) != serving {
			return
		}
		conn.enter(ending)
		if !requestBody.ended.Load() {
			conn.setTimeout(discardTimeout)
		}
	})
}

// body is a request body whose reads are waits for the client.
type body struct {
	io.ReadCloser
	conn *Conn
	// ended is set when the end of the body was read.
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.conn.bodyReads.Add(1)
	defer b.conn.bodyReads.Add(-1)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// listener accepts connections into a table.
type listener struct {
	net.Listener
	table    *Table
	timeouts func() Timeouts
}

// Accept implements net.Listener. Connections that the table has no room for are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.table.add(conn, l.timeouts); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// add adds a connection, and returns nil if there is no room for it.
func (t *Table) add(conn net.Conn, timeouts func() Timeouts) *Conn {
	c := &Conn{Conn: conn, id: t.nextID.Add(1), table: t, timeouts: timeouts}
	if !t.makeRoomFor(c) {
		t.report(RefusedForDescriptors, 1)
		return nil
	}
	c.own = t.budget.Hold(&c.held)
	if !c.own.Grow(memory.ConnectionBytes, memory.Heads) {
		t.remove(c)
		t.report(RefusedForMemory, 1)
		return nil
	}
	return c
}

// makeRoomFor adds a connection to the table. If there are too many, it closes others.
func (t *Table) makeRoomFor(c *Conn) bool {
	t.mu.Lock()
	closed := 0
	if t.max > 0 && len(t.conns) >= t.max && !t.wasFutile(&t.noDescriptorsAt) {
		excess := len(t.conns) - t.max + 1
		closed = t.close(chooseForDescriptors(t.candidates(), excess+int(float64(t.max)*reclaimedShare)))
		if closed == 0 {
			t.noDescriptorsAt.Store(t.elapsed())
		}
	}
	hasRoom := t.max == 0 || len(t.conns) < t.max
	if hasRoom {
		t.conns[c] = true
	}
	t.mu.Unlock()
	t.report(ClosedForDescriptors, closed)
	return hasRoom
}

// wasFutile reports whether a decision less than futileInterval ago made nothing free.
func (t *Table) wasFutile(at *atomic.Int64) bool {
	last := at.Load()
	return last != 0 && t.elapsed()-last < int64(futileInterval)
}

// candidates returns the connections for a decision. The mutex is held.
func (t *Table) candidates() []candidate {
	now := t.elapsed()
	candidates := make([]candidate, 0, len(t.conns))
	for c := range t.conns {
		candidates = append(candidates, c.candidate(now))
	}
	return candidates
}

// close closes connections and returns their number. What they hold counts as free at once: their
// goroutines end with the next read or write. The mutex is held.
func (t *Table) close(closings []closing) int {
	for _, d := range closings {
		d.conn.reclaimed = d.held
		t.budget.Reclaim(d.held)
		delete(t.conns, d.conn)
		_ = d.conn.Conn.Close() // only fails if it is closed already
	}
	return len(closings)
}

// reclaim closes connections so that the budget has room for the number of bytes under a limit.
func (t *Table) reclaim(bytes, limit int64) {
	if t.wasFutile(&t.noMemoryAt) {
		return
	}
	t.mu.Lock()
	closed := 0
	if missing := t.budget.Missing(bytes, limit); missing > 0 {
		closed = t.close(chooseForMemory(t.candidates(), missing+int64(float64(limit)*reclaimedShare)))
		if closed == 0 {
			t.noMemoryAt.Store(t.elapsed())
		}
	}
	t.mu.Unlock()
	t.report(ClosedForMemory, closed)
}

// paceLargeHeads counts bytes that a large head holds once they are parsed, and waits for a
// collection of garbage when there are many since the last one. The connections of such heads
// are closed soon, so that what they held becomes garbage faster than the collector, which runs
// beside the goroutines that parse, would take it away.
func (t *Table) paceLargeHeads(bytes int) {
	if t.budget == nil {
		return
	}
	limit := int64(float64(t.budget.Limit()) * uncollectedShare)
	if t.uncollected.Add(int64(bytes)) < limit {
		return
	}
	t.collecting.Lock()
	defer t.collecting.Unlock()
	if t.uncollected.Load() >= limit {
		runtime.GC()
		t.uncollected.Store(0)
	}
}

// remove takes a connection out of the table once its goroutine has ended.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	delete(t.conns, c)
	reclaimed := c.reclaimed
	c.reclaimed = 0
	t.mu.Unlock()
	c.own.Release()
	t.budget.Reclaim(-reclaimed)
}

// report counts connections that were closed or refused.
func (t *Table) report(reason Reason, n int) {
	if n == 0 {
		return
	}
	t.telemetry.CountConnections(reason.String(), n)
	if count := t.takeUnreported(reason, n); count > 0 {
		t.telemetry.Log(event.Log{Code: logevent.ConnectionsClosed, Fields: []logevent.Field{
			logevent.F("reason", reason.String()), logevent.F("count", count), logevent.F("open", t.Len()), logevent.F("held_bytes", t.heldBytes())}})
	}
}

// takeUnreported adds n connections and returns how many must be reported now: 0 if the last
// report was less than reportInterval ago.
func (t *Table) takeUnreported(reason Reason, n int) int {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	t.unreported[reason] += n
	now := time.Now()
	if now.Sub(t.reportedAt[reason]) < reportInterval {
		return 0
	}
	count := t.unreported[reason]
	t.unreported[reason], t.reportedAt[reason] = 0, now
	return count
}

// heldBytes returns what the process holds of its memory budget, 0 if it has none.
func (t *Table) heldBytes() int64 {
	if t.budget == nil {
		return 0
	}
	return t.budget.Used()
}

// Len returns the number of open connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}
