package gateway

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
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
