package soak

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a proxy that drops the rest of a response and then passes its end on, so that
// a response without a length seems to have ended properly.
func TestEndOfAConnectionDoesNotArriveAfterDroppedBytes(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	silenced := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "first")
		<-silenced
		_, _ = io.WriteString(conn, "second")
		_ = conn.Close()
	}()
	proxy, err := StartProxy(l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	first := make([]byte, 5)
	_, err = io.ReadFull(conn, first)
	g.Expect(err).NotTo(HaveOccurred())
	proxy.SetFault(Blackholed)
	close(silenced)
	g.Expect(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	_, err = conn.Read(first)
	g.Expect(err).To(BeAssignableToTypeOf(&net.OpError{}), "the connection is silent")
	g.Expect(err).To(MatchError(ContainSubstring("timeout")))
}
