package latency

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// queuedPackets bounds the data on its way in one direction of a connection.
	queuedPackets = 64
	packetSize    = 32 << 10
)

// Path describes the way between the two ends of a connection.
type Path struct {
	// OneWay is the delay of each direction.
	OneWayDelay time.Duration
	// Out and In limit the rate of the directions; nil sets no limit.
	Outbound, Inbound *Link
}

type packet struct {
	data []byte
	due  time.Time
	err  error
}

// Conn delays the data of a connection in both directions and keeps its order.
type Conn struct {
	net.Conn
	path Path
	out  chan packet
	in   chan packet
	// rest is what an earlier Read left of a packet.
	rest    []byte
	readErr error

	closing sync.Once
	closed  chan struct{}
}

// NewConn returns a delayed connection over c.
func NewConn(c net.Conn, path Path) *Conn {
	d := &Conn{
		Conn:   c,
		path:   path,
		out:    make(chan packet, queuedPackets),
		in:     make(chan packet, queuedPackets),
		closed: make(chan struct{}),
	}
	go d.pumpOut()
	go d.pumpIn()
	return d
}

// Write queues the data for the other end.
func (d *Conn) Write(p []byte) (int, error) {
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	default:
	}
	data := append([]byte(nil), p...)
	due := d.path.Outbound.Reserve(time.Now(), len(p)).Add(d.path.OneWayDelay)
	select {
	case d.out <- packet{data: data, due: due}:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read returns data once its delay has passed.
func (d *Conn) Read(p []byte) (int, error) {
	if len(d.rest) == 0 && d.readErr == nil {
		if err := d.next(); err != nil {
			return 0, err
		}
	}
	if len(d.rest) == 0 {
		return 0, d.readErr
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

// next waits for the next packet.
func (d *Conn) next() error {
	select {
	case k := <-d.in:
		if !d.wait(k.due) {
			return net.ErrClosed
		}
		d.rest, d.readErr = k.data, k.err
		return nil
	case <-d.closed:
		return net.ErrClosed
	}
}

// Close ends the connection. Data that was written before still arrives, as it
// does after a close of a socket.
func (d *Conn) Close() error {
	d.closing.Do(func() { close(d.closed) })
	return nil
}

// pumpOut writes queued data when it is due, and closes the socket at the end.
func (d *Conn) pumpOut() {
	defer d.Conn.Close()
	for {
		select {
		case k := <-d.out:
			if !d.writeDue(k) {
				return
			}
		case <-d.closed:
			d.flush()
			return
		}
	}
}

// flush writes what was queued before the connection was closed.
func (d *Conn) flush() {
	for {
		select {
		case k := <-d.out:
			if !d.writeDue(k) {
				return
			}
		default:
			return
		}
	}
}

func (d *Conn) writeDue(k packet) bool {
	time.Sleep(time.Until(k.due))
	_, err := d.Conn.Write(k.data)
	return err == nil
}

// pumpIn reads from the socket and stamps the data with the time it is due.
func (d *Conn) pumpIn() {
	for {
		buf := make([]byte, packetSize)
		n, err := d.Conn.Read(buf)
		k := packet{data: buf[:n], due: d.path.Inbound.Reserve(time.Now(), n).Add(d.path.OneWayDelay), err: err}
		if err != nil && err != io.EOF {
			// A reset travels as fast as data.
			k.due = time.Now().Add(d.path.OneWayDelay)
		}
		select {
		case d.in <- k:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// wait reports whether the time came before the connection was closed.
func (d *Conn) wait(due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return true
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.closed:
		return false
	}
}
