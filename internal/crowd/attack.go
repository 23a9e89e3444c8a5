package crowd

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/peer"
)

const (
	// ioTimeout is how long a client waits for the server to accept a connection or to take
	// the next bytes.
	ioTimeout = 3 * time.Second
	// maxRounds is how often a client opens its connection again.
	maxRounds = 20
	// pieceBytes is the size of the pieces that a client sends one by one.
	pieceBytes = 1 << 10
)

// Attack is what each client of a crowd sends. It sends the payload and leaves the connection
// open; when the server closes it, the client opens the next one.
type Attack struct {
	Payload []byte
	// Each, if set, returns the payload of one client for one of its connections, instead of
	// Payload.
	Each func(client, round int) []byte
	// InPieces sends the payload in small pieces.
	InPieces bool
	// Unread leaves all responses unread.
	Unread bool
	// Reset resets the connection once the payload is sent, and opens the next one at once.
	Reset bool
}

// Crowd is a number of clients that run one attack.
type Crowd struct {
	attack  Attack
	address string
	closed  chan struct{}
	clients sync.WaitGroup
	// settled counts down to the moment at which every client has once sent its payload or
	// was refused.
	settled sync.WaitGroup
}

// Start starts the clients of a crowd.
func Start(address string, clients int, a Attack) *Crowd {
	c := &Crowd{attack: a, address: address, closed: make(chan struct{})}
	c.settled.Add(clients)
	for client := range clients {
		c.clients.Go(func() { c.run(client) })
	}
	return c
}

// Settle waits until every client has once sent its payload or was refused.
func (c *Crowd) Settle() { c.settled.Wait() }

// Close closes all connections of the crowd and waits for its clients.
func (c *Crowd) Close() {
	close(c.closed)
	c.clients.Wait()
}

func (c *Crowd) run(client int) {
	settled := false
	for round := range maxRounds {
		payload := c.attack.Payload
		if c.attack.Each != nil {
			payload = c.attack.Each(client, round)
		}
		conn, err := net.DialTimeout("tcp", c.address, ioTimeout)
		if err == nil {
			c.play(conn, payload)
		}
		if !settled {
			c.settled.Done()
			settled = true
		}
		if err == nil && !c.attack.Reset {
			c.hold(conn)
		}
		if err == nil {
			_ = conn.Close()
		}
		select {
		case <-c.closed:
			return
		default:
		}
	}
}

// play sends the payload. It returns at an error, which means that the server takes no more.
func (c *Crowd) play(conn net.Conn, payload []byte) {
	size := len(payload)
	if c.attack.InPieces {
		size = pieceBytes
	}
	for rest := payload; len(rest) > 0; {
		n := min(size, len(rest))
		_ = conn.SetWriteDeadline(time.Now().Add(ioTimeout))
		if _, err := conn.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	if c.attack.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// hold keeps the connection open until the server or the crowd closes it.
func (c *Crowd) hold(conn net.Conn) {
	ended := make(chan struct{})
	if c.attack.Unread {
		// A client that reads nothing does not notice that the server has closed.
		<-c.closed
		return
	}
	go func() {
		defer close(ended)
		buffer := make([]byte, pieceBytes)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-c.closed:
	}
	_ = conn.Close()
	<-ended
}

// Head returns a request head without the empty line that ends it.
func Head(requestLine string, lines ...string) string {
	return requestLine + " HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Join(lines, "")
}

// ShortLines returns header lines of 7 bytes with different names, about size bytes.
func ShortLines(size int) string {
	const (
		lineBytes = 7
		letters   = "abcdefghijklmnopqrstuvwxyz"
	)
	var b strings.Builder
	for i := 0; b.Len()+lineBytes <= size; i++ {
		fmt.Fprintf(&b, "%c%c%c:v\r\n", letters[i%26], letters[i/26%26], letters[i/676%26])
	}
	return b.String()
}

// BlankLines returns header lines of different names without values, about size bytes.
func BlankLines(size int) string {
	return strings.ReplaceAll(ShortLines(size*7/6), ":v", ":")
}

// RepeatedLine returns one header line again and again, about size bytes.
func RepeatedLine(size int) string { return strings.Repeat("a:\r\n", size/4) }

// Body returns the end of a head that announces a body, and the body without its last byte.
func Body(size int) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-1)
}

// SmallChunks returns the end of a head that announces chunks, and count chunks of one byte
// without the last one.
func SmallChunks(count int) string {
	return "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", count)
}

// ChunkExtension returns the end of a head that announces chunks, and one chunk with an
// extension of size bytes that does not end.
func ChunkExtension(size int) string {
	return "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", size)
}

// Trailers returns the end of a head that announces chunks, one chunk, and a trailer of size
// bytes that does not end.
func Trailers(size int) string {
	return "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + ShortLines(size)
}

// Pipelined returns count whole requests.
func Pipelined(requestLine string, count int) []byte {
	return bytes.Repeat([]byte(Head(requestLine)+"\r\n"), count)
}

// Endless returns text repeated to about size bytes.
func Endless(text string, size int) string { return strings.Repeat(text, size/len(text)) }

// Upgrade returns a request that turns the connection into one for the messages of another
// instance, and a first message of size bytes without its last byte.
func Upgrade(size int) []byte {
	const binaryFrame, masked, longSize = 0x82, 0x80, 127
	request := Head("GET "+peer.Path, "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
		"Sec-WebSocket-Key: "+base64.StdEncoding.EncodeToString(make([]byte, 16))+"\r\n") + "\r\n"
	frame := binary.BigEndian.AppendUint64([]byte{binaryFrame, masked | longSize}, uint64(size))
	const maskBytes = 4
	return append(append([]byte(request), frame...), make([]byte, maskBytes+size-1)...)
}
