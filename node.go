package anvilcrank

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/oklog/run"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/directory"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/fleet"
	"github.com/anvilcrank/anvilcrank/pkg/gateway"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/peer"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

const (
	// entryHeaderTimeout and entryIdleTimeout apply as long as no model.ClientLimits are
	// configured. A connection that sends no header would stay open without them.
	entryHeaderTimeout = 10 * time.Second
	entryIdleTimeout   = 2 * time.Minute
	// nodeCloseTimeout is how long the HTTP servers of a node that exits may take
	// at least to write their last responses. It is within the margin that package
	// fleet leaves at the end of the grace period of a graceful stop.
	nodeCloseTimeout = 300 * time.Millisecond
	// exitMargin is how long before the end of the grace period of a graceful stop
	// the last connections are closed, also in the middle of a response.
	exitMargin = 300 * time.Millisecond
)

// NodeConfig is the configuration of a Node.
type NodeConfig struct {
	// ID identifies the instance to other instances; Name is its name in logs.
	ID   model.InstanceID
	Name string
	// Control is true for a control instance and false for an entry instance.
	Control bool
	Zone    model.Zone
	// Regions maps each zone to its region.
	Regions map[model.Zone]model.Region
	// Listen is the address at which an entry instance accepts requests of callers.
	Listen string
	// PeerListen is the address for connections from other instances.
	PeerListen string
	// Peers are the addresses of control instances to connect to at the start.
	Peers []string
	// BootstrapMembers are the control instances that found the control group of a
	// new deployment.
	BootstrapMembers []model.InstanceID
	// ToleratedLosses is how many control instances may lose their disks at the
	// same time without the loss of an acknowledged change.
	ToleratedLosses int
	// Data is the path of the data folder of a control instance.
	Data string
	// HeartbeatInterval is the interval between two heartbeats of an upstream.
	HeartbeatInterval time.Duration
	// RetryBudget limits the retries that all entry instances together send to a
	// service, in relation to the number of requests to the service.
	RetryBudget routed.RetryBudgetLimits
	// NetworkBytesPerSecond is the network bandwidth of the instance, 0 if it is
	// not known.
	NetworkBytesPerSecond int64
	// MemoryBytes is the memory that the process may use, 0 for that of the machine. A
	// share of it bounds what is held for requests, see package memory.
	MemoryBytes int64
	// Descriptors is how many descriptors the process may have open, 0 for the limit that the
	// kernel enforces. About half of them may be accepted connections.
	Descriptors int
	// StopGracePeriod is the maximum duration of a graceful stop.
	StopGracePeriod time.Duration
	// LogLevel is the lowest level of log lines that are written, such as "info".
	LogLevel string
	// LogOutput receives the log lines; nil means standard output.
	LogOutput io.Writer
	// Headers are the names of the HTTP headers that callers, entry instances and
	// upstreams exchange.
	Headers gateway.Headers
}

// Node is an instance with the entry or the control role.
type Node struct {
	config     NodeConfig
	telemetry  *telemetry.Telemetry
	lineWriter *telemetry.LineWriter
	loop       *control.Loop
	gateway    *gateway.Gateway
	peers      *peer.Manager
	memory     *memory.Budget
	// connections holds the accepted connections of all listeners.
	connections *inbound.Table
	storage     *control.StorageWriter
	// registrations is nil at entry instances.
	registrations *control.RegistrationFile

	listener     net.Listener
	peerListener net.Listener
	// stopRequestedAt is when Stop was first called, nil before.
	stopRequestedAt atomic.Pointer[time.Time]
}

// NewNode creates a node and opens its listeners. The caller must then call Run.
func NewNode(c NodeConfig) (*Node, error) {
	if c.LogOutput == nil {
		c.LogOutput = os.Stdout
	}
	n := &Node{config: c, lineWriter: telemetry.NewLineWriter(c.LogOutput)}
	level, err := log.ParseLevel(c.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", c.LogLevel, err)
	}
	n.telemetry = telemetry.New(model.InstanceID(c.Name), &log.Logger{Handler: jsonlog.New(n.lineWriter), Level: level})
	if err := n.open(); err != nil {
		return nil, err
	}
	clock := control.NewClock()
	identity := fleet.Identity{
		ID: c.ID, Incarnation: model.Incarnation(clock.Now()), Control: c.Control,
		Zone: c.Zone, Regions: c.Regions, BootstrapMembers: c.BootstrapMembers, MinVoters: minVoters(c.ToleratedLosses), Seed: uint64(clock.Now()),
		HeartbeatInterval: c.HeartbeatInterval, RetryBudget: c.RetryBudget, NetworkBytesPerSecond: c.NetworkBytesPerSecond, StopGracePeriod: c.StopGracePeriod,
	}
	n.memory = newMemoryBudget(c.MemoryBytes, n.telemetry)
	n.connections = newConnectionTable(n.memory, c.Descriptors, n.telemetry)
	sink := &loopSink{}
	n.peers = peer.NewManager(message.Hello{
		From: c.ID, Incarnation: identity.Incarnation, Zone: c.Zone,
		Address: c.Listen, PeerAddress: c.PeerListen,
	}, sink, n.telemetry, peer.Options{Memory: n.memory})
	n.gateway = gateway.New(c.Headers, n.telemetry, clock.Now, n.memory)
	handlers := control.Handlers{
		Forwarder: n.gateway, Peers: n.peers, Telemetry: n.telemetry, OnInvariantFailed: n.invariantFailed}
	if n.storage != nil {
		handlers.Storage = n.storage
		n.registrations = control.NewRegistrationFile(c.Data, n.telemetry)
		handlers.RegistrationStore = n.registrations
	}
	n.loop = control.NewLoop(fleet.New(identity, codec.CommandCodec{}), clock, nil, handlers)
	sink.loop = n.loop
	n.gateway.SetControl(n.loop)
	return n, nil
}

// minVoters returns the least number of voters with which the control group
// loses nothing and remains available if as many disks are lost as tolerated.
// Without a setting, the control group keeps all voters.
func minVoters(toleratedLosses int) int {
	if toleratedLosses <= 0 {
		return 0
	}
	return 2*toleratedLosses + 1
}

// open opens the listeners and, on a control instance, the data folder.
func (n *Node) open() error {
	var err error
	if n.peerListener, err = net.Listen("tcp", n.config.PeerListen); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if !n.config.Control {
		if n.listener, err = net.Listen("tcp", n.config.Listen); err != nil {
			_ = n.peerListener.Close()
			return fmt.Errorf("listen for callers: %w", err)
		}
		return nil
	}
	folder, err := storage.OpenFolder(n.config.Data)
	if err != nil {
		_ = n.peerListener.Close()
		return err
	}
	if n.storage, err = control.OpenStorageWriter(folder); err != nil {
		_ = n.peerListener.Close()
	}
	return err
}

// Run serves until a graceful stop that Stop began has completed, or until the
// context is canceled. It returns nil in both cases.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	background := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	background(n.loop.Run)
	background(n.lineWriter.Run)
	background(func(ctx context.Context) error { return n.peers.Run(ctx, n.config.Peers) })
	if n.storage != nil {
		background(func(ctx context.Context) error { return n.storage.Run(ctx, n.loop) })
		background(func(ctx context.Context) error { return n.registrations.Run(ctx, n.loop) })
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.peers)
	n.addServer(&g, &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout, MaxHeaderBytes: memory.MaxRequestHeadBytes}, n.peerListener)
	if n.listener != nil {
		n.addServerWithTimeouts(&g, &http.Server{
			Handler: n.gateway, ReadHeaderTimeout: entryHeaderTimeout, IdleTimeout: entryIdleTimeout, MaxHeaderBytes: memory.MaxRequestHeadBytes,
		}, n.listener, n.callerTimeouts)
	}
	err := g.Run()
	if n.storage != nil {
		n.storage.Close()
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addServer adds an HTTP server to the run group. When the group ends, the server
// has the closeTimeout to complete the responses that it is writing.
func (n *Node) addServer(g *run.Group, srv *http.Server, l net.Listener) {
	n.addServerWithTimeouts(g, srv, l, nil)
}

// addServerWithTimeouts is addServer with timeouts that may change; nil means those of the server.
func (n *Node) addServerWithTimeouts(g *run.Group, srv *http.Server, l net.Listener, timeouts func() inbound.Timeouts) {
	l = n.connections.Attach(srv, l, timeouts)
	g.Add(func() error { return serveHTTP(n.telemetry, srv, l) }, func(error) { shutDownServer(srv, n.closeTimeout()) })
}

// callerTimeouts returns the timeouts that the operator has configured for callers, 0 for those
// that are not configured.
func (n *Node) callerTimeouts() inbound.Timeouts {
	view := n.Directory()
	if view.Table == nil || view.Table.Limits() == nil {
		return inbound.Timeouts{}
	}
	return inbound.Timeouts{Header: view.Table.Limits().HeaderTimeout, Idle: view.Table.Limits().IdleTimeout}
}

// closeTimeout returns how long responses may still take to be written when the control
// goroutine has ended. The reducer has no open request then, but callers may read slowly. In
// a graceful stop they have what is left of the grace period.
func (n *Node) closeTimeout() time.Duration {
	at := n.stopRequestedAt.Load()
	if at == nil {
		return nodeCloseTimeout
	}
	return max(nodeCloseTimeout, time.Until(at.Add(n.config.StopGracePeriod))-exitMargin)
}

// Admit returns a handler that serves a request only if the memory budget has room for it.
func (n *Node) Admit(next http.Handler) http.Handler {
	return inbound.Admit(n.memory, next, proxy.WriteMemoryFull)
}

// Serve serves on the listener until the server is shut down, and then returns
// nil. If serving fails for any other reason, it logs and returns the error. What the
// connections hold is counted like that of the node's own listeners.
func (n *Node) Serve(srv *http.Server, l net.Listener) error {
	return serveHTTP(n.telemetry, srv, n.connections.Attach(srv, l, nil))
}

// Stop begins a graceful stop: Run returns once all requests in flight have
// ended.
func (n *Node) Stop() {
	now := time.Now()
	n.stopRequestedAt.CompareAndSwap(nil, &now)
	n.loop.Report(event.StopRequested{})
}

// SettingsReloaded reports the result of reading the settings file again. If err
// is nil, the node connects to the control instances at the addresses in peers.
// Otherwise it logs err and keeps its former settings.
func (n *Node) SettingsReloaded(peers []string, err error) {
	if err != nil {
		n.telemetry.Log(event.Log{Code: logevent.ReloadFailed, Fields: []logevent.Field{logevent.F("error", err.Error())}})
		return
	}
	for _, address := range peers {
		n.peers.Connect(address)
	}
	n.telemetry.Log(event.Log{Code: logevent.SettingsReloaded, Fields: []logevent.Field{logevent.F("peers", peers)}})
}

// Directory returns the latest published view, from which lookups and readiness
// checks are answered.
func (n *Node) Directory() *directory.View { return n.loop.Directory() }

// WriteMetrics writes all metrics in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) { n.telemetry.WriteMetrics(w) }

// LogMalformed logs an announcement that cannot be read or contains an invalid
// value.
func (n *Node) LogMalformed(upstream string, err error) {
	n.telemetry.Log(event.Log{Code: logevent.RecordInvalid, Fields: []logevent.Field{
		logevent.F("upstream", upstream[:min(len(upstream), model.MaxNameLength)]), logevent.F("error", err.Error())}})
}

// Heartbeat reports a heartbeat of an upstream, which registers the upstream or
// renews its registration.
func (n *Node) Heartbeat(ctx context.Context, r model.Registration) error {
	return n.call(ctx, func(id event.CallID) event.Body { return event.HeartbeatReceived{Call: id, Registration: r} })
}

// Deregister marks an upstream as deregistered. startTimeMs is the start time, in
// Unix milliseconds, of the upstream process that deregisters; 0 means the
// upstream's current process.
func (n *Node) Deregister(ctx context.Context, id model.UpstreamID, startTimeMs int64) error {
	return n.call(ctx, func(call event.CallID) event.Body {
		return event.DepartureReceived{Call: call, Upstream: id, StartTimeMs: startTimeMs}
	})
}

// ConfirmationError is returned for an order that may be older than others that were
// applied since. It was not applied. A caller that still waits repeats the order with
// Position as confirmedAt.
type ConfirmationError struct{ Position uint64 }

// Error implements the error interface.
func (e *ConfirmationError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error with the result code.
func (e *ConfirmationError) Unwrap() error { return &result.Error{Code: result.ConfirmationNeeded} }

// ChangeItems applies a change of configuration items. It returns nil once a
// majority of the control group has synced the change. confirmedAt is 0, or the position of
// a ConfirmationError that the caller got for the same change.
func (n *Node) ChangeItems(ctx context.Context, items []model.Item, confirmedAt uint64) error {
	return n.order(ctx, confirmedAt, func(id event.CallID, r event.Receipt) event.Body {
		return event.ItemsProposed{Call: id, Items: items, Receipt: r}
	})
}

// Evacuate starts the evacuation of a zone, whose upstreams then receive no new
// requests, or ends it if active is false. confirmedAt is as for ChangeItems.
func (n *Node) Evacuate(ctx context.Context, zone model.Zone, active bool, confirmedAt uint64) error {
	return n.order(ctx, confirmedAt, func(id event.CallID, r event.Receipt) event.Body {
		return event.EvacuationProposed{Call: id, Zone: zone, Active: active, Receipt: r}
	})
}

// order makes the call of an order that was just received. It does not end with the context:
// the caller may have ended only its sending side, and the order may be applied although it
// has. The reducer bounds the time.
func (n *Node) order(ctx context.Context, confirmedAt uint64, body func(event.CallID, event.Receipt) event.Body) error {
	receipt := event.Receipt{At: n.loop.Clock().Now(), ConfirmedAt: confirmedAt}
	return n.call(context.WithoutCancel(ctx), func(id event.CallID) event.Body { return body(id, receipt) })
}

// Items returns all configuration items.
func (n *Node) Items(ctx context.Context) ([]model.Item, error) {
	e, err := n.loop.Call(ctx, func(id event.CallID) event.Body { return event.ItemsRequested{Call: id} })
	if err != nil {
		return nil, &result.Error{Code: result.ControlUnavailable, Detail: err.Error()}
	}
	if reply, ok := e.(event.ItemsReply); ok {
		return reply.Items, nil
	}
	return nil, replyError(e)
}

// call reports an event to the reducer and waits for the reply to it. body
// creates the event with the identifier that the control loop assigns to the
// call.
func (n *Node) call(ctx context.Context, body func(event.CallID) event.Body) error {
	e, err := n.loop.Call(ctx, body)
	if err != nil {
		return callError(err)
	}
	return replyError(e)
}

// callError returns an error with a result code for a call to the reducer that
// got no reply. A call that was submitted may have an effect.
func callError(err error) error {
	switch {
	case errors.Is(err, control.ErrQueueFull):
		return &result.Error{Code: result.ControlQueueFull}
	case errors.Is(err, control.ErrNotSubmitted):
		return &result.Error{Code: result.ControlUnavailable, Detail: err.Error()}
	}
	return &result.Error{Code: result.ChangeUnknown, Detail: err.Error()}
}

// replyError returns the error that a reply reports, with its result code. It
// returns nil if the call succeeded.
func replyError(e event.Effect) error {
	reply, ok := e.(event.CallReply)
	switch {
	case !ok:
		return result.Errorf(result.Internal, "unexpected reply %T", e)
	case reply.Code == result.Success:
		return nil
	case reply.Code == result.ConfirmationNeeded:
		return &ConfirmationError{Position: reply.ConfirmedAt}
	}
	return &result.Error{Code: reply.Code, Detail: reply.Detail}
}

// invariantFailed logs and counts a failed invariant.
func (n *Node) invariantFailed(f event.InvariantFailed) {
	n.telemetry.Log(event.Log{Code: logevent.InvariantFailed, Fields: []logevent.Field{
		logevent.F("invariant", f.Name), logevent.F("detail", f.Detail)}})
	n.telemetry.Count(event.Count{Counter: event.InvariantFailures, Add: 1})
}
