package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/socket"
)

const (
	// sendQueueSize is how many messages can wait to be sent on one connection.
	// Messages are dropped while the queue is full.
	sendQueueSize = 1024
	// writeTimeout is how long the write of one message may take before the
	// connection is closed.
	writeTimeout = 5 * time.Second
	// dialTimeout is how long opening a connection may take, including the
	// exchange of Hello messages. On accepted connections, dialTimeout limits
	// only the exchange of Hello messages.
	dialTimeout = 2 * time.Second
	// pingInterval is the time between two pings on a connection to a peer that sends
	// nothing.
	pingInterval = time.Second
	// recentMessage is the age up to which a received message shows that the peer and
	// the network are well, so that no ping is needed. It exceeds the time between two
	// heartbeats of a peer. The loss of a peer without a TCP reset is detected after at
	// most recentMessage plus pingTimeout. That only the outbound connection is dead is
	// not detected by pings, since messages of the peer arrive on another one; the peer
	// says so in its heartbeats.
	recentMessage = 1700 * time.Millisecond
	// pingTimeout is how long to wait for the pong before the connection is closed.
	// It allows for one retransmitted packet between regions.
	pingTimeout = 1500 * time.Millisecond
	// maxHelloBytes is the largest message that is read from an instance that has not sent its
	// Hello.
	maxHelloBytes = 16 << 10
	// tcpUserTimeout is how long sent data may remain unacknowledged before the kernel
	// closes a connection.
	tcpUserTimeout = 3 * time.Second
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect,
	// which doubles with each failed attempt.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// Path is the HTTP path at which instances accept WebSocket connections.
const Path = "/v1/peer"

// Sink receives the events that a Manager reports: connected peers, lost peers
// and received messages.
type Sink interface {
	Report(event.Body)
}

// Logger writes log events.
type Logger interface {
	Log(event.Log)
}

// Network delays or drops messages before they are sent. Tests and benchmarks use
// it to simulate latency, loss and partitions.
type Network interface {
	// Deliver calls send to send the message: at once, later, or never if the
	// message is to be lost.
	Deliver(from, to model.InstanceID, send func())
}

// Manager keeps the connections of an instance to the other instances.
type Manager struct {
	hello   message.Hello
	sink    Sink
	logger  Logger
	network Network
	client  *http.Client
	memory  *memory.Budget
	scheme  string

	// sentBytes counts the bytes of the encoded messages that were sent.
	sentBytes atomic.Uint64
	// mu guards the fields below, except for wg.
	mu sync.Mutex
	// lastMessage is the message that was encoded last, and lastData its encoded
	// form.
	lastMessage message.Message
	lastData    []byte
	// connections holds the established outbound connections.
	connections map[model.InstanceID]*outboundConn
	// receivedAt holds for each peer when the latest message arrived, in nanoseconds
	// since startedAt by the steady clock.
	receivedAt map[model.InstanceID]*atomic.Int64
	startedAt  time.Time
	// dialed holds the addresses for which maintainConnection was started.
	dialed map[string]bool
	// ctx is the context of Run, nil before Run.
	ctx context.Context
	wg  sync.WaitGroup
}

// outboundConn is a connection that this instance dialed.
type outboundConn struct {
	// queue holds the encoded messages to send.
	queue chan []byte
	// close closes the connection.
	close func()
}

// Options are the optional settings of a manager.
type Options struct {
	// Network may delay or drop messages. If it is nil, messages are sent at once.
	Network Network
	// Client dials connections. If it is nil, a plain HTTP client is used.
	Client *http.Client
	// Memory is the budget in which received messages are counted; nil means no limit.
	Memory *memory.Budget
	// TLS selects the URL scheme wss instead of ws.
	TLS bool
}

// NewManager returns a manager that sends hello as the first message on each
// connection. Run must be called before Connect, which does nothing until then.
func NewManager(hello message.Hello, sink Sink, logger Logger, o Options) *Manager {
	m := &Manager{
		hello:       hello,
		sink:        sink,
		logger:      logger,
		network:     o.Network,
		client:      o.Client,
		memory:      o.Memory,
		scheme:      "ws",
		connections: map[model.InstanceID]*outboundConn{},
		receivedAt:  map[model.InstanceID]*atomic.Int64{},
		startedAt:   time.Now(),
		dialed:      map[string]bool{},
	}
	if o.TLS {
		m.scheme = "wss"
	}
	if m.client == nil {
		dialer := &net.Dialer{Control: socket.UserTimeout(tcpUserTimeout)}
		m.client = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	}
	return m
}

// Run keeps connections to the addresses open until the context ends, and waits
// until all dialed connections are closed.
func (m *Manager) Run(ctx context.Context, addresses []string) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	for _, a := range addresses {
		m.Connect(a)
	}
	<-ctx.Done()
	m.wg.Wait()
	return ctx.Err()
}

// Connect keeps a connection to the address open until the context of Run ends.
// It does nothing for the address of this instance or for an address that was
// passed to Connect before.
func (m *Manager) Connect(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == m.hello.PeerAddress || m.dialed[address] || m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	m.dialed[address] = true
	m.wg.Add(1)
	go m.maintainConnection(m.ctx, address)
}

// maintainConnection dials the address again whenever the connection is closed or
// could not be opened.
func (m *Manager) maintainConnection(ctx context.Context, address string) {
	defer m.wg.Done()
	delay := minRedialDelay
	for ctx.Err() == nil {
		if m.runOutbound(ctx, address) {
			delay = minRedialDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// runOutbound dials once and sends queued messages until the connection closes. It
// reports whether the connection was established.
func (m *Manager) runOutbound(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s%s", m.scheme, address, Path)
	conn, _, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	conn.SetReadLimit(codec.MaxMessageBytes)
	remote, err := m.exchangeHello(dialCtx, conn)
	if err != nil || remote.From == m.hello.From {
		return false
	}
	connCtx, closeConn := context.WithCancel(conn.CloseRead(ctx))
	outbound := &outboundConn{queue: make(chan []byte, sendQueueSize), close: closeConn}
	m.mu.Lock()
	m.connections[remote.From] = outbound
	m.mu.Unlock()
	m.sink.Report(event.PeerConnected{
		Peer: remote.From, Incarnation: remote.Incarnation, Zone: remote.Zone,
		Address: remote.Address, PeerAddress: remote.PeerAddress})
	m.logger.Log(event.Log{Code: logevent.PeerConnected, Fields: []logevent.Field{logevent.F("peer", remote.From)}})
	go m.checkConnection(connCtx, conn, m.receivedFrom(remote.From), closeConn)
	m.writeQueued(connCtx, conn, outbound)
	closeConn()
	m.mu.Lock()
	if m.connections[remote.From] == outbound {
		delete(m.connections, remote.From)
	}
	m.mu.Unlock()
	m.sink.Report(event.PeerLost{Peer: remote.From})
	m.logger.Log(event.Log{Code: logevent.PeerLost, Fields: []logevent.Field{logevent.F("peer", remote.From)}})
	return true
}

// exchangeHello sends a Hello message on a dialed connection and returns the
// Hello message of the peer.
func (m *Manager) exchangeHello(ctx context.Context, conn *websocket.Conn) (*message.Hello, error) {
	if err := writeMessage(ctx, conn, &m.hello); err != nil {
		return nil, err
	}
	return readHello(ctx, conn)
}

// readHello reads the first message of a connection, which must be a Hello.
func readHello(ctx context.Context, conn *websocket.Conn) (*message.Hello, error) {
	msg, err := readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	hello, ok := msg.(*message.Hello)
	if !ok {
		return nil, fmt.Errorf("first message has kind %d, not hello", msg.Kind())
	}
	return hello, nil
}

// writeQueued writes queued messages until the context ends or a write fails.
func (m *Manager) writeQueued(ctx context.Context, conn *websocket.Conn, outbound *outboundConn) {
	for {
		select {
		case data := <-outbound.queue:
			if err := writeData(ctx, conn, data); err != nil {
				return
			}
			m.sentBytes.Add(uint64(len(data)))
		case <-ctx.Done():
			return
		}
	}
}

// receivedFrom returns when the latest message of a peer arrived.
func (m *Manager) receivedFrom(peer model.InstanceID) *atomic.Int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.receivedAt[peer]
	if at == nil {
		at = &atomic.Int64{}
		m.receivedAt[peer] = at
	}
	return at
}

// checkConnection pings the peer until the context ends, and closes the
// connection when the peer does not answer. Pings do not delay queued messages. No
// ping is sent while messages of the peer arrive.
func (m *Manager) checkConnection(ctx context.Context, conn *websocket.Conn, receivedAt *atomic.Int64, closeConn func()) {
	check := time.NewTimer(pingInterval)
	defer check.Stop()
	for {
		select {
		case <-check.C:
			if last := receivedAt.Load(); last != 0 {
				if age := time.Since(m.startedAt) - time.Duration(last); age < recentMessage {
					check.Reset(recentMessage - age)
					continue
				}
			}
			pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
			err := conn.Ping(pingCtx)
			cancel()
			if err != nil {
				closeConn()
				return
			}
			check.Reset(pingInterval)
		case <-ctx.Done():
			return
		}
	}
}

// Reconnect closes the outbound connection to an instance, which is then opened again.
func (m *Manager) Reconnect(peer model.InstanceID) {
	m.mu.Lock()
	outbound := m.connections[peer]
	m.mu.Unlock()
	if outbound != nil {
		outbound.close()
	}
}

// Send queues a message to the instance. The message is dropped if there is no
// connection to the instance or the queue is full.
func (m *Manager) Send(to model.InstanceID, msg message.Message) {
	if m.network != nil {
		m.network.Deliver(m.hello.From, to, func() { m.enqueue(to, msg) })
		return
	}
	m.enqueue(to, msg)
}

// enqueue encodes a message and queues it on the connection to the instance.
func (m *Manager) enqueue(to model.InstanceID, msg message.Message) {
	m.mu.Lock()
	outbound := m.connections[to]
	m.mu.Unlock()
	if outbound == nil {
		return
	}
	data, err := m.encode(msg)
	if err != nil {
		m.logBadMessage(to, err)
		return
	}
	select {
	case outbound.queue <- data:
	default:
		m.logger.Log(event.Log{Code: logevent.PeerQueueFull, Fields: []logevent.Field{logevent.F("peer", to)}})
	}
}

// encode encodes a message. A message that is sent to several instances in a row is
// encoded only once.
func (m *Manager) encode(msg message.Message) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if msg == m.lastMessage {
		return m.lastData, nil
	}
	data, err := codec.EncodeMessage(msg)
	if err != nil {
		return nil, err
	}
	m.lastMessage, m.lastData = msg, data
	return data, nil
}

// SentBytes returns the total size of the messages sent, without Hello messages.
func (m *Manager) SentBytes() uint64 { return m.sentBytes.Load() }

// ServeHTTP implements http.Handler. It accepts a connection from another instance
// and receives messages until the connection closes.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(maxHelloBytes)
	m.mu.Lock()
	ctx := m.ctx
	m.mu.Unlock()
	if ctx == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	helloCtx, cancelHello := context.WithTimeout(ctx, dialTimeout)
	defer cancelHello()
	remote, err := readHello(helloCtx, conn)
	if err != nil {
		m.logBadMessage("", err)
		return
	}
	if err := writeMessage(helloCtx, conn, &m.hello); err != nil {
		return
	}
	if remote.PeerAddress != "" {
		m.Connect(remote.PeerAddress)
	}
	conn.SetReadLimit(codec.MaxMessageBytes)
	m.receive(ctx, conn, remote, inbound.Account(r.Context()))
}

// receive reports the messages from an accepted connection to the control
// goroutine, until the connection closes. A message that cannot be decoded is
// logged and skipped: the peer would send it again on a new connection, and later
// messages would not arrive.
func (m *Manager) receive(ctx context.Context, conn *websocket.Conn, remote *message.Hello, account *atomic.Int64) {
	receivedAt := m.receivedFrom(remote.From)
	for {
		held := m.memory.Hold(account)
		data, err := readCounted(ctx, conn, &held)
		if err != nil {
			held.Release()
			return
		}
		receivedAt.Store(int64(time.Since(m.startedAt)))
		msg, err := codec.DecodeMessage(data)
		held.Release()
		if err != nil {
			m.logBadMessage(remote.From, err)
			continue
		}
		m.sink.Report(event.PeerReceived{From: remote.From, Incarnation: remote.Incarnation, Message: msg})
	}
}

// readCounted reads a message and counts it in the holding.
func readCounted(ctx context.Context, conn *websocket.Conn, held *memory.Holding) ([]byte, error) {
	_, r, err := conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return held.ReadUpTo(r, memory.Heads, codec.MaxMessageBytes, -1)
}

// logBadMessage logs a message that cannot be encoded or decoded.
func (m *Manager) logBadMessage(from model.InstanceID, err error) {
	m.logger.Log(event.Log{Code: logevent.PeerBadMessage, Fields: []logevent.Field{
		logevent.F("peer", from), logevent.F("error", err.Error())}})
}

func writeMessage(ctx context.Context, conn *websocket.Conn, msg message.Message) error {
	data, err := codec.EncodeMessage(msg)
	if err != nil {
		return err
	}
	return writeData(ctx, conn, data)
}

func writeData(ctx context.Context, conn *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func readMessage(ctx context.Context, conn *websocket.Conn) (message.Message, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	return codec.DecodeMessage(data)
}
