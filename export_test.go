package anvilcrank

import "net"

// LimitWriteBuffers makes the connections of callers keep at most about this many bytes of an
// answer in the kernel. It must be called before Run.
func (n *Node) LimitWriteBuffers(bytes int) { n.listener = smallBufferListener{n.listener, bytes} }

type smallBufferListener struct {
	net.Listener
	bytes int
}

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(l.bytes)
}
