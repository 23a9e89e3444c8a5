package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// ConnectionFault is what a proxy does to the connections through it.
type ConnectionFault int

// Connection faults.
const (
	NoFault ConnectionFault = iota
	// Delayed forwards bytes after a random delay.
	Delayed
	// Reset resets open and new connections.
	Reset
	// Blackholed drops the bytes of both directions; connections stay open.
	Blackholed
	// ResponsesDropped forwards requests and drops responses.
	ResponsesDropped
	// Held keeps new connections, bytes and ends of connections until the fault ends, and
	// then forwards them.
	Held
)

// errSilent means that one direction of a connection stays silent for good.
var errSilent = errors.New("bytes of the connection were dropped")

// endDelay is how long the end of a connection arrives after its last bytes.
const endDelay = 8 * time.Millisecond

// proxyDelay is the mean delay of the fault Delayed.
const proxyDelay = 80 * time.Millisecond

// Proxy forwards TCP connections to one upstream and injects faults into them.
type Proxy struct {
	listener net.Listener

	mu sync.Mutex
	// target is the address to which new connections are forwarded.
	target string
	fault  ConnectionFault
	// released is closed when the fault Held ends.
	released chan struct{}
	conns    map[net.Conn]bool
}

// StartProxy starts a proxy that listens on loopback and forwards to the target.
func StartProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault for all connections. Reset also resets the open ones.
func (p *Proxy) SetFault(fault ConnectionFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == Held {
		close(p.released)
	}
	if fault == Held {
		p.released = make(chan struct{})
	}
	p.fault = fault
	if fault == Reset {
		for conn := range p.conns {
			resetConnection(conn)
		}
	}
}

// SetTarget makes new connections go to another address.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetFault(Reset)
}

func resetConnection(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = conn.Close()
}

// awaitRelease waits until the fault is not Held, and reports whether it had to wait.
func (p *Proxy) awaitRelease() bool {
	p.mu.Lock()
	held, released := p.fault == Held, p.released
	p.mu.Unlock()
	if held {
		<-released
	}
	return held
}

func (p *Proxy) currentFault() ConnectionFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) acceptLoop() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(clientConn)
	}
}

func (p *Proxy) forward(clientConn net.Conn) {
	defer clientConn.Close()
	if p.currentFault() == Reset {
		resetConnection(clientConn)
		return
	}
	p.awaitRelease()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstreamConn, err := net.Dial("tcp", target)
	if err != nil {
		resetConnection(clientConn)
		return
	}
	defer upstreamConn.Close()
	p.mu.Lock()
	p.conns[clientConn], p.conns[upstreamConn] = true, true
	p.mu.Unlock()
	done := make(chan error, 2)
	go func() { done <- p.copyBytes(upstreamConn, clientConn, false) }()
	go func() { done <- p.copyBytes(clientConn, upstreamConn, true) }()
	err = <-done
	if errors.Is(err, errSilent) {
		err = <-done
	}
	if err != nil {
		// The end of the other connection must not look proper.
		resetConnection(clientConn)
		resetConnection(upstreamConn)
	}
	p.mu.Lock()
	delete(p.conns, clientConn)
	delete(p.conns, upstreamConn)
	p.mu.Unlock()
}

// copyBytes forwards bytes as the current fault allows. Dropped bytes are lost,
// like packets in a partition, and nothing after them arrives. fromUpstream is true
// if src is the upstream. copyBytes returns nil if src ended properly, and errSilent if
// it ended after bytes were dropped.
func (p *Proxy) copyBytes(dst io.Writer, src io.Reader, fromUpstream bool) error {
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buffer)
		if p.awaitRelease() {
			// The end of a connection is a packet of its own, behind the bytes.
			defer time.Sleep(endDelay)
		}
		switch {
		case err != nil && dropped:
			return errSilent
		case errors.Is(err, io.EOF):
			return nil
		}
		if err != nil {
			return err
		}
		switch fault := p.currentFault(); {
		case dropped:
			continue
		case fault == Delayed:
			time.Sleep(proxyDelay/2 + time.Duration(rand.Int64N(int64(proxyDelay))))
		case fault == Blackholed, fault == ResponsesDropped && fromUpstream:
			dropped = true
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return err
		}
	}
}
