package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Fault is what a proxy does to the connections through it.
type Fault int

// Faults of connections.
const (
	NoFault Fault = iota
	// Delayed passes bytes on after a while.
	Delayed
	// Reset ends connections, new ones too.
	Reset
	// Silenced passes nothing on and answers nothing.
	Silenced
	// OneWay passes requests on and no answers.
	OneWay
)

// proxyDelay is the delay of bytes under the fault Delayed.
const proxyDelay = 80 * time.Millisecond

// Proxy carries connections to one upstream.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// StartProxy listens on loopback for connections to the target.
func StartProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault. Reset ends the open connections.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == Reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Reset)
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) present() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(in)
	}
}

func (p *Proxy) carry(in net.Conn) {
	defer in.Close()
	if p.present() == Reset {
		abort(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(in)
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, false); done <- struct{}{} }()
	go func() { p.copy(in, out, true); done <- struct{}{} }()
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy passes bytes on as the present fault allows. Bytes under a fault that
// holds them are lost, as behind a partition.
func (p *Proxy) copy(to io.Writer, from io.Reader, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch f := p.present(); {
		case f == Delayed:
			time.Sleep(proxyDelay/2 + time.Duration(rand.Int64N(int64(proxyDelay))))
		case f == Silenced, f == OneWay && answers:
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
