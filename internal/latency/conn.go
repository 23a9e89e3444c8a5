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
	// Outbound and Inbound limit the bytes per second in each direction. A nil
	// Link sets no limit.
	Outbound, Inbound *Link
}

// packet is data in transit, or an error of a read from the socket. The receiver
// gets it at the due time.
type packet struct {
	data []byte
	due  time.Time
	err  error
}

// Conn is a connection that delays data in both directions and keeps the order of
// the data.
type Conn struct {
	net.Conn
	path     Path
	outbound chan packet
	inbound  chan packet
	// unread is the rest of a received packet that Read has not returned yet.
	unread  []byte
	readErr error

	closeOnce sync.Once
	closed    chan struct{}
}

// NewConn returns a connection that sends and receives through c and delays the
// data as path describes.
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

// Write queues the data for the other end of the connection. It blocks while the
// queue holds maxQueuedPackets packets.
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

// Read returns received data once the delay of the path has passed.
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

// nextPacket waits until a packet has been received and is due, and stores its data
// and its error for Read.
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

// Close closes the connection. As with a socket, data that was written before Close
// still arrives at the other end.
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

// receiveLoop reads data from the socket and queues it as packets for Read, each
// with the time when it is due.
func (d *Conn) receiveLoop() {
	for {
		buf := make([]byte, maxPacketBytes)
		n, err := d.Conn.Read(buf)
		pkt := packet{data: buf[:n], due: d.path.Inbound.Reserve(time.Now(), n).Add(d.path.OneWayDelay), err: err}
		if err != nil && err != io.EOF {
			// The error, such as a connection reset, is delayed like data but does
			// not use the link.
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
