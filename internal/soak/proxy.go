package soak

import (
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
)

// proxyDelay is the mean delay of the fault Delayed.
const proxyDelay = 80 * time.Millisecond

// Proxy forwards TCP connections to one upstream and injects faults into them.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault ConnectionFault
	conns map[net.Conn]bool
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
	p.fault = fault
	if fault == Reset {
		for conn := range p.conns {
			resetConnection(conn)
		}
	}
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
	upstreamConn, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConnection(clientConn)
		return
	}
	defer upstreamConn.Close()
	p.mu.Lock()
	p.conns[clientConn], p.conns[upstreamConn] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copyBytes(upstreamConn, clientConn, false); done <- struct{}{} }()
	go func() { p.copyBytes(clientConn, upstreamConn, true); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, clientConn)
	delete(p.conns, upstreamConn)
	p.mu.Unlock()
}

// copyBytes forwards bytes as the current fault allows. Dropped bytes are lost,
// like packets in a partition. fromUpstream is true if src is the upstream.
func (p *Proxy) copyBytes(dst io.Writer, src io.Reader, fromUpstream bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		switch fault := p.currentFault(); {
		case fault == Delayed:
			time.Sleep(proxyDelay/2 + time.Duration(rand.Int64N(int64(proxyDelay))))
		case fault == Blackholed, fault == ResponsesDropped && fromUpstream:
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}
