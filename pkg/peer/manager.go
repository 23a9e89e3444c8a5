package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// sendQueue bounds the messages that wait on one link.
	sendQueueSize = 1024
	// writeTimeout ends a link whose peer does not take data.
	writeTimeout = 5 * time.Second
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// pingInterval is how often a link is checked. A peer that was cut off without
	// a reset is noticed after pingInterval plus pingTimeout.
	pingInterval = time.Second
	// pingTimeout ends a link whose peer does not answer a check. It allows for
	// one repeated packet between regions.
	pingTimeout = 2 * time.Second
	// minRedial and maxRedial bound the pause between attempts to connect.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
)

// Path is the HTTP path of links.
const Path = "/v1/peer"

// Sink takes events of links.
type Sink interface {
	Report(event.Body)
}

// Logger takes log events.
type Logger interface {
	Log(event.Log)
}

// Network decides what happens to a message before it is sent. Tests and
// benches use it for latency, loss and partitions.
type Network interface {
	// Deliver calls send, now, later or never.
	Deliver(from, to model.InstanceID, send func())
}

// Manager holds the links of an instance.
type Manager struct {
	hello   message.Hello
	sink    Sink
	logger  Logger
	network Network
	client  *http.Client
	scheme  string

	// sent counts the bytes of encoded messages.
	sentBytes atomic.Uint64
	mu        sync.Mutex
	// lastData is the encoded form of lastMessage.
	lastMessage message.Message
	lastData    []byte
	connections map[model.InstanceID]*outboundConn
	dialed      map[string]bool
	ctx         context.Context
	wg          sync.WaitGroup
}

type outboundConn struct {
	// queue holds encoded messages.
	queue chan []byte
}

// Options are the optional parts of a manager.
type Options struct {
	// Network may delay or drop messages; nil sends at once.
	Network Network
	// Client dials; nil stands for a plain HTTP client.
	Client *http.Client
	// TLS selects wss instead of ws.
	TLS bool
}

// NewManager returns a manager that presents itself with hello. Run must be
// called before Connect.
func NewManager(hello message.Hello, sink Sink, logger Logger, o Options) *Manager {
	m := &Manager{
		hello:       hello,
		sink:        sink,
		logger:      logger,
		network:     o.Network,
		client:      o.Client,
		scheme:      "ws",
		connections: map[model.InstanceID]*outboundConn{},
		dialed:      map[string]bool{},
	}
	if o.TLS {
		m.scheme = "wss"
	}
	if m.client == nil {
		m.client = &http.Client{Transport: &http.Transport{}}
	}
	return m
}

// Run keeps links to the addresses until the context ends.
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

// Connect keeps a link to the address from now on.
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

// keep dials the address again and again.
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

// serveOutbound dials once and sends until the link breaks. It reports whether
// a link stood.
func (m *Manager) runOutbound(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s%s", m.scheme, address, Path)
	conn, _, err := websocket.Dial(dialCtx, url, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	conn.SetReadLimit(codec.MaxMessage)
	remote, err := m.exchangeHello(dialCtx, conn)
	if err != nil || remote.From == m.hello.From {
		return false
	}
	outbound := &outboundConn{queue: make(chan []byte, sendQueueSize)}
	m.mu.Lock()
	m.connections[remote.From] = outbound
	m.mu.Unlock()
	m.sink.Report(event.PeerConnected{
		Peer: remote.From, Incarnation: remote.Incarnation, Zone: remote.Zone,
		Address: remote.Address, PeerAddress: remote.PeerAddress})
	m.logger.Log(event.Log{Code: logevent.PeerConnected, Fields: []logevent.Field{logevent.F("peer", remote.From)}})
	connCtx, closeConn := context.WithCancel(conn.CloseRead(ctx))
	go checkConnection(connCtx, conn, closeConn)
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

// greet exchanges Hello messages on a connection this side dialed.
func (m *Manager) exchangeHello(ctx context.Context, conn *websocket.Conn) (*message.Hello, error) {
	if err := writeMessage(ctx, conn, &m.hello); err != nil {
		return nil, err
	}
	return readHello(ctx, conn)
}

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

// send writes queued messages until the context ends or a write fails.
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

// checkLink pings the peer until the context ends, and closes the link when the
// peer does not answer. Messages go on meanwhile.
func checkConnection(ctx context.Context, conn *websocket.Conn, closeConn func()) {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		select {
		case <-ping.C:
			pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
			err := conn.Ping(pingCtx)
			cancel()
			if err != nil {
				closeConn()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// Send queues a message for the instance. It is dropped if no link stands or
// the queue is full.
func (m *Manager) Send(to model.InstanceID, msg message.Message) {
	if m.network != nil {
		m.network.Deliver(m.hello.From, to, func() { m.enqueue(to, msg) })
		return
	}
	m.enqueue(to, msg)
}

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

// encode encodes a message. One that goes to many instances is encoded once.
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

// SentBytes returns the size of all messages sent on links, without greetings.
func (m *Manager) SentBytes() uint64 { return m.sentBytes.Load() }

// ServeHTTP takes links from other instances.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(codec.MaxMessage)
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
	m.receive(ctx, conn, remote)
}

func (m *Manager) receive(ctx context.Context, conn *websocket.Conn, remote *message.Hello) {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		msg, err := codec.DecodeMessage(data)
		if err != nil {
			m.logBadMessage(remote.From, err)
			return
		}
		m.sink.Report(event.PeerReceived{From: remote.From, Incarnation: remote.Incarnation, Message: msg})
	}
}

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
