package anvilcrank

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/peer"
	"github.com/anvilcrank/anvilcrank/pkg/result"
	"github.com/anvilcrank/anvilcrank/pkg/routed"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

const (
	// entryHeaderTimeout ends connections that send their header too slowly.
	entryHeaderTimeout = 10 * time.Second
	// entryIdleTimeout closes unused connections of callers. It lies above the
	// idle time of any configured limits that callers rely on.
	entryIdleTimeout = 2 * time.Minute
	// nodeCloseTimeout is how long open connections may take to finish after the
	// last request has ended. It lies within fleet's margin of the grace period.
	nodeCloseTimeout = 300 * time.Millisecond
)

// NodeConfig describes an instance with the entry or the control role.
type NodeConfig struct {
	// ID names the instance to others; Name is what logs call it.
	ID   model.InstanceID
	Name string
	// Control selects the control role, otherwise the instance has the entry role.
	Control bool
	Zone    model.Zone
	Regions map[model.Zone]model.Region
	// Listen is where an entry instance takes callers' requests.
	Listen string
	// PeerListen is where the instance takes links.
	PeerListen string
	// Peers are link addresses of control instances to begin with.
	Peers []string
	// Founders are the control instances that found a new deployment.
	Founders []model.InstanceID
	// Data is the data folder of a control instance.
	Data              string
	HeartbeatInterval time.Duration
	Budget            routed.BudgetLimits
	// LinkRate is the capacity of the instance's link in bytes a second, 0 if it is
	// not known.
	LinkRate int64
	// StopGrace is how long a graceful stop may take.
	StopGrace time.Duration
	LogLevel  string
	// LogOutput takes the log lines, standard output if it is nil.
	LogOutput io.Writer
	// Headers are those that callers, entry instances and upstreams use.
	Headers gateway.Headers
}

// Node is an instance with the entry or the control role.
type Node struct {
	config    NodeConfig
	telemetry *telemetry.Telemetry
	lines     *telemetry.LineWriter
	loop      *control.Loop
	gateway   *gateway.Gateway
	peers     *peer.Manager
	storage   *control.StorageWriter

	listener     net.Listener
	peerListener net.Listener
}

// NewNode makes a node and opens its listeners. Run must follow.
func NewNode(c NodeConfig) (*Node, error) {
	if c.LogOutput == nil {
		c.LogOutput = os.Stdout
	}
	n := &Node{config: c, lines: telemetry.NewLineWriter(c.LogOutput)}
	level, err := log.ParseLevel(c.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", c.LogLevel, err)
	}
	n.telemetry = telemetry.New(model.InstanceID(c.Name), &log.Logger{Handler: jsonlog.New(n.lines), Level: level})
	if err := n.open(); err != nil {
		return nil, err
	}
	clock := control.NewClock()
	identity := fleet.Identity{
		ID: c.ID, Incarnation: model.Incarnation(clock.Now()), Control: c.Control,
		Zone: c.Zone, Regions: c.Regions, Founders: c.Founders, Seed: uint64(clock.Now()),
		HeartbeatInterval: c.HeartbeatInterval, Budget: c.Budget, LinkRate: c.LinkRate, StopGrace: c.StopGrace,
	}
	sink := &loopSink{}
	n.peers = peer.NewManager(message.Hello{
		From: c.ID, Incarnation: identity.Incarnation, Zone: c.Zone,
		Address: c.Listen, PeerAddress: c.PeerListen,
	}, sink, n.telemetry, peer.Options{})
	n.gateway = gateway.New(c.Headers, n.telemetry, clock.Now)
	handlers := control.Handlers{
		Forwarder: n.gateway, Peers: n.peers, Telemetry: n.telemetry, OnInvariantFailed: n.invariantFailed}
	if n.storage != nil {
		handlers.Storage = n.storage
	}
	n.loop = control.NewLoop(fleet.New(identity, codec.CommandCodec{}), clock, nil, handlers)
	sink.loop = n.loop
	n.gateway.SetControl(n.loop)
	return n, nil
}

// open opens the listeners and the data folder.
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
	n.storage, err = control.OpenStorageWriter(folder)
	return err
}

// Run serves until Stop has let all work end, or until the context is canceled.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	background := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	background(n.loop.Run)
	background(n.lines.Run)
	background(func(ctx context.Context) error { return n.peers.Run(ctx, n.config.Peers) })
	if n.storage != nil {
		background(func(ctx context.Context) error { return n.storage.Run(ctx, n.loop) })
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.peers)
	n.addServer(&g, &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}, n.peerListener)
	if n.listener != nil {
		n.addServer(&g, &http.Server{
			Handler: n.gateway, ReadHeaderTimeout: entryHeaderTimeout, IdleTimeout: entryIdleTimeout,
		}, n.listener)
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

// addServer adds an HTTP server to the group.
func (n *Node) addServer(g *run.Group, srv *http.Server, l net.Listener) {
	g.Add(func() error { return n.Serve(srv, l) }, func(error) { shutDownServer(srv, nodeCloseTimeout) })
}

// Serve serves on the listener until the server is shut down, and logs any other
// end.
func (n *Node) Serve(srv *http.Server, l net.Listener) error { return serveHTTP(n.telemetry, srv, l) }

// Stop begins a graceful stop: Run returns once everything in flight has ended.
func (n *Node) Stop() { n.loop.Report(event.StopRequested{}) }

// Reloaded links the node to the control instances of settings that were read
// again. An error says why they could not be read; the node goes on as before.
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

// Directory returns the present view for lookups and readiness.
func (n *Node) Directory() *directory.View { return n.loop.Directory() }

// WriteMetrics writes all metrics in the Prometheus text format.
func (n *Node) WriteMetrics(w io.Writer) { n.telemetry.WriteMetrics(w) }

// Heartbeat takes an upstream's announcement.
func (n *Node) Heartbeat(ctx context.Context, r model.Registration) error {
	return n.call(ctx, func(id event.CallID) event.Body { return event.HeartbeatReceived{Call: id, Registration: r} })
}

// Depart takes the departure of an upstream's start, of the present one if born
// is 0.
func (n *Node) Deregister(ctx context.Context, id model.UpstreamID, startTimeMs int64) error {
	return n.call(ctx, func(call event.CallID) event.Body {
		return event.DepartureReceived{Call: call, Upstream: id, Born: startTimeMs}
	})
}

// ChangeItems applies a change of configuration items. It returns nil once a
// majority of the control group has synced the change.
func (n *Node) ChangeItems(ctx context.Context, items []model.Item) error {
	return n.call(ctx, func(id event.CallID) event.Body { return event.ItemsProposed{Call: id, Items: items} })
}

// Evacuate orders that a zone's upstreams get no new requests, or takes that
// back.
func (n *Node) Evacuate(ctx context.Context, zone model.Zone, active bool) error {
	return n.call(ctx, func(id event.CallID) event.Body {
		return event.EvacuationProposed{Call: id, Zone: zone, Active: active}
	})
}

// Items returns all configuration items that stand.
func (n *Node) Items(ctx context.Context) ([]model.Item, error) {
	e, err := n.loop.Call(ctx, func(id event.CallID) event.Body { return event.ItemsRequested{Call: id} })
	if err != nil {
		return nil, callError(err)
	}
	if reply, ok := e.(event.ItemsReply); ok {
		return reply.Items, nil
	}
	return nil, replyError(e)
}

// call waits for the result of a call.
func (n *Node) call(ctx context.Context, body func(event.CallID) event.Body) error {
	e, err := n.loop.Call(ctx, body)
	if err != nil {
		return callError(err)
	}
	return replyError(e)
}

func callError(err error) error {
	if errors.Is(err, control.ErrQueueFull) {
		return &result.Error{Code: result.ControlQueueFull}
	}
	return &result.Error{Code: result.ControlUnavailable, Detail: err.Error()}
}

func replyError(e event.Effect) error {
	reply, ok := e.(event.CallReply)
	switch {
	case !ok:
		return result.Errorf(result.Internal, "unexpected reply %T", e)
	case reply.Code == result.Answered:
		return nil
	}
	return &result.Error{Code: reply.Code, Detail: reply.Detail}
}

func (n *Node) invariantFailed(f event.InvariantFailed) {
	n.telemetry.Log(event.Log{Code: logevent.InvariantFailed, Fields: []logevent.Field{
		logevent.F("invariant", f.Name), logevent.F("detail", f.Detail)}})
	n.telemetry.Count(event.Count{Counter: event.InvariantFailures, Add: 1})
}
