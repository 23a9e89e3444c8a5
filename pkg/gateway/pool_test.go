package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Guards against connections that are never reused, swept or counted, because a
// sweep removed their address between the search for an idle connection and the
// opening of a new one.
func TestSweepKeepsTheAddressOfAConnectionThatIsBeingOpened(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	p := newPool()
	address := l.Addr().String()
	host := p.host(address)
	p.sweep()
	g.Expect(p.reserve(host, 1)).To(BeTrue())
	_, _, err = p.get(t.Context(), &event.Forward{Address: address, MaxConnections: 1}, false)
	g.Expect(err).To(Equal(errTooManyConnections), "the reserved connection is counted")
	p.release(host)
	host.usedAt = time.Now().Add(-2 * sweepInterval)
	p.sweep()
	g.Expect(p.hosts).To(BeEmpty())
}

// cancelOnReturnConn is a connection that cancels the send of its exchange while
// it is returned to the pool, when its deadline is removed.
type cancelOnReturnConn struct {
	net.Conn
	exchange *exchange
	closed   bool
}

func (c *cancelOnReturnConn) Close() error { c.closed = true; return nil }
func (c *cancelOnReturnConn) SetDeadline(t time.Time) error {
	if t.IsZero() {
		c.exchange.cancelSend()
	}
	return nil
}

type discardTelemetry struct{}

func (discardTelemetry) ObserveRoutedRequest(string, string, result.Code, time.Duration) {}
func (discardTelemetry) Log(event.Log)                                                   {}

// Guards against cutting a request because an earlier request on the connection
// was canceled after its response had arrived.
func TestCanceledSendDoesNotCloseAPooledConnection(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 2\r\n\r\nok")
	}()
	now := func() model.Time { return model.Time(time.Now().UnixNano()) }
	gateway := New(Headers{AttemptID: "Attempt", Remaining: "Remaining", TargetUpstream: "Upstream"}, discardTelemetry{}, now, nil)
	request := httptest.NewRequest("GET", "http://h/x", nil)
	request.Header.Set("Attempt", "1")
	e := &exchange{gateway: gateway, writer: httptest.NewRecorder(), request: request}
	conn := &cancelOnReturnConn{Conn: near, exchange: e}
	pooled := &upstreamConn{Conn: conn, head: headLimit{conn: conn}, host: gateway.pool.host("u:1"), idleDeadline: time.Now().Add(time.Minute)}
	pooled.reader = bufio.NewReader(&pooled.head)
	pooled.host.idle = append(pooled.host.idle, pooled)
	ended := e.send(&event.Forward{Upstream: "u", Address: "u:1", Deadline: now().Add(time.Minute), BufferLimit: 100})
	g.Expect(ended.Outcome).To(Equal(event.SendAnswered))
	g.Expect(pooled.host.idle).To(HaveLen(1))
	g.Expect(conn.closed).To(BeFalse())
}
