package latency

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxQueuedPackets bounds the packets in transit in each direction of a
	// connection.
	maxQueuedPackets = 64
	maxPacketBytes   = 32 << 10
)

// Path describes the network path between the two ends of a connection.
type Path struct {
	// OneWayDelay is the delay in each direction.
	OneWayDelay time.Duration
	// Outbound and Inbound limit the rate in each direction; nil sets no limit.
	Outbound, Inbound *Link
}

// packet is data in transit or a read error. It arrives at the due time.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

// Conn is a connection that delays data in both directions and keeps its order.
type Conn struct {
	net.Conn
	path     Path
	outbound chan packet
	inbound  chan packet
	// unread is the part of a packet that earlier Reads did not return.
	unread  []byte
	readErr error

	closeOnce sync.Once
	closed    chan struct{}
}

// NewConn returns a connection that delays the data of c.
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

// Write queues the data for the other end. It blocks while maxQueuedPackets are
// in transit.
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

// Read returns received data once its delay has passed.
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

// nextPacket waits until the next packet arrives and is due.
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

// Close closes the connection. Data that was written before still arrives, as
// with a socket.
func (d *Conn) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return nil
}

// sendLoop writes queued packets to the socket when they are due, and closes the
// socket after the last one.
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

// sendQueued writes the packets that were queued before the connection was
// closed.
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

// writeWhenDue waits until the packet is due, writes it to the socket and reports
// whether that succeeded.
func (d *Conn) writeWhenDue(pkt packet) bool {
	time.Sleep(time.Until(pkt.due))
	_, err := d.Conn.Write(pkt.data)
	return err == nil
}

// receiveLoop reads packets from the socket and sets the time when each is due.
func (d *Conn) receiveLoop() {
	for {
		buf := make([]byte, maxPacketBytes)
		n, err := d.Conn.Read(buf)
		pkt := packet{data: buf[:n], due: d.path.Inbound.Reserve(time.Now(), n).Add(d.path.OneWayDelay), err: err}
		if err != nil && err != io.EOF {
			// A reset has the delay of the path and does not use the link.
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

// waitUntil waits for the due time. It returns false if the connection was closed
// first.
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
