package latency

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// queuedPackets bounds the data on its way in one direction of a connection.
	maxQueuedPackets = 64
	maxPacketBytes   = 32 << 10
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
	path     Path
	outbound chan packet
	inbound  chan packet
	// rest is what an earlier Read left of a packet.
	unread  []byte
	readErr error

	closeOnce sync.Once
	closed    chan struct{}
}

// NewConn returns a delayed connection over c.
func NewConn(c net.Conn, path Path) *Conn {
	d := &Conn{
		Conn:     c,
		path:     path,
		outbound: make(chan packet, maxQueuedPackets),
		inbound:  make(chan packet, maxQueuedPackets),
		closed:   make(chan struct{}),
	}
	go d.sendLoop()
	go d.receiveLoop()
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
	case d.outbound <- packet{data: data, due: due}:
		return len(p), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read returns data once its delay has passed.
func (d *Conn) Read(p []byte) (int, error) {
	if len(d.unread) == 0 && d.readErr == nil {
		if err := d.nextPacket(); err != nil {
			return 0, err
		}
	}
	if len(d.unread) == 0 {
		return 0, d.readErr
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// next waits for the next packet.
func (d *Conn) nextPacket() error {
	select {
	case pkt := <-d.inbound:
		if !d.waitUntil(pkt.due) {
			return net.ErrClosed
		}
		d.unread, d.readErr = pkt.data, pkt.err
		return nil
	case <-d.closed:
		return net.ErrClosed
	}
}

// Close ends the connection. Data that was written before still arrives, as it
// does after a close of a socket.
func (d *Conn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return nil
}

// pumpOut writes queued data when it is due, and closes the socket at the end.
func (d *Conn) sendLoop() {
	defer d.Conn.Close()
	for {
		select {
		case pkt := <-d.outbound:
			if !d.writeWhenDue(pkt) {
				return
			}
		case <-d.closed:
			d.sendQueued()
			return
		}
	}
}

// flush writes what was queued before the connection was closed.
func (d *Conn) sendQueued() {
	for {
		select {
		case pkt := <-d.outbound:
			if !d.writeWhenDue(pkt) {
				return
			}
		default:
			return
		}
	}
}

func (d *Conn) writeWhenDue(pkt packet) bool {
	time.Sleep(time.Until(pkt.due))
	_, err := d.Conn.Write(pkt.data)
	return err == nil
}

// pumpIn reads from the socket and stamps the data with the time it is due.
func (d *Conn) receiveLoop() {
	for {
		buf := make([]byte, maxPacketBytes)
		n, err := d.Conn.Read(buf)
		pkt := packet{data: buf[:n], due: d.path.Inbound.Reserve(time.Now(), n).Add(d.path.OneWayDelay), err: err}
		if err != nil && err != io.EOF {
			// A reset travels as fast as data.
			pkt.due = time.Now().Add(d.path.OneWayDelay)
		}
		select {
		case d.inbound <- pkt:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// wait reports whether the time came before the connection was closed.
func (d *Conn) waitUntil(due time.Time) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return true
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.closed:
		return false
	}
}
