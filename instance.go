package anvilcrank

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/oklog/run"

	"github.com/anvilcrank/anvilcrank/pkg/api"
	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/control"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/peer"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
	"github.com/anvilcrank/anvilcrank/pkg/state"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

// Options are optional parameters of an instance.
type Options struct {
	// Logger receives log events; nil writes logfmt lines to standard error.
	Logger log.Interface
	// Network may delay or drop messages to other instances, to simulate latency,
	// loss and partitions.
	Network peer.Network
	// Dial opens connections to upstreams; nil means plain TCP.
	Dial proxy.DialFunc
	// Seed seeds the random number generator of the reducer; 0 means the start
	// time.
	Seed uint64
	// Policy is the name of the policy that selects an upstream for each request;
	// "" means the default policy.
	Policy string
	// IgnoreSlots makes the instance a baseline for benchmarks: it sends requests
	// to upstreams immediately, without counting slots, so that they queue there.
	IgnoreSlots bool
	// OnInvariant is called on the control goroutine when an invariant fails,
	// after the failure was logged and counted. It must not block.
	OnInvariant func(event.InvariantFailed)
	// OnConfig is called on the control goroutine when a different configuration
	// has come into force at this instance. It must not block or change the
	// configuration.
	OnConfig func(*model.Config)
}

// Instance is an instance that serves callers, upstreams and operators. It also
// keeps the replicated log if the settings list it in the control group.
type Instance struct {
	settings  settings.Settings
	options   Options
	telemetry *telemetry.Telemetry
	recorder  *control.Recorder
	loop      *control.Loop
	proxy     *proxy.Proxy
	peers     *peer.Manager
	api       *api.API
	// connections holds the accepted connections of both listeners.
	connections *inbound.Table
	// configWriter is nil on instances without a data folder.
	configWriter *storage.ConfigWriter
	// storage is nil on instances outside the control group.
	storage *control.StorageWriter

	listener     net.Listener
	peerListener net.Listener
	dumpOnce     sync.Once
}

// New creates an instance and opens its listeners. The caller must then call Run
// or Close.
func New(s *settings.Settings, o Options) (*Instance, error) {
	if o.Logger == nil {
		o.Logger = newLogger(s.LogLevel)
	}
	i := &Instance{settings: *s, options: o}
	if err := i.openStorage(); err != nil {
		return nil, err
	}
	if err := i.listen(); err != nil {
		i.closeStorage()
		return nil, err
	}
	clock := control.NewClock()
	identity := state.Identity{
		ID:           s.Instance,
		Incarnation:  model.Incarnation(clock.Now()),
		Zone:         s.Zone,
		Address:      i.Address(),
		PeerAddress:  i.PeerAddress(),
		Seed:         o.Seed,
		ControlGroup: s.ControlGroup,
		HasDisk:      s.Data != "",
		Policy:       o.Policy,
		IgnoreSlots:  o.IgnoreSlots,
	}
	if identity.Seed == 0 {
		identity.Seed = uint64(identity.Incarnation)
	}
	i.telemetry = telemetry.New(s.Instance, o.Logger)
	budget := newMemoryBudget(s.MemoryBytes(), i.telemetry)
	i.recorder = control.NewRecorder(identity, s.RecordedEvents)
	i.connections = newConnectionTable(budget, 0, i.telemetry)
	i.proxy = proxy.New(s.Instance, i.telemetry, clock.Now, o.Dial, budget)
	sink := &loopSink{}
	i.peers = peer.NewManager(message.Hello{
		From:        s.Instance,
		Incarnation: identity.Incarnation,
		Zone:        s.Zone,
		Address:     i.Address(),
		PeerAddress: i.PeerAddress(),
	}, sink, i.telemetry, peer.Options{Network: o.Network, Memory: budget})
	handlers := control.Handlers{
		Dispatcher:        i.proxy,
		Peers:             i.peers,
		Telemetry:         i.telemetry,
		OnInvariantFailed: i.invariantFailed,
		OnPublish:         i.configObserver(),
	}
	if identity.HasDisk {
		i.configWriter = storage.NewConfigWriter(s.Data, sink.Report)
		handlers.ConfigStore = i.configWriter
	}
	if i.storage != nil {
		handlers.Storage = i.storage
	}
	i.loop = control.NewLoop(state.New(identity, codec.ChangeCodec{}), clock, i.recorder, handlers)
	sink.loop = i.loop
	i.proxy.SetControl(i.loop)
	i.api = api.New(i.loop, i.proxy, i.telemetry)
	i.api.LimitMemory(budget)
	i.api.EnableAdmin(adminOptions(s, clock))
	return i, nil
}

// loopSink passes events to the control loop. The loop needs the peer manager and
// the configuration writer, which in turn report events to the loop. They are
// therefore created first, with a loopSink whose loop is set later.
type loopSink struct{ loop *control.Loop }

// Report implements peer.Sink.
func (l *loopSink) Report(b event.Body) { l.loop.Report(b) }

// newLogger returns a logger that writes logfmt lines to standard error.
func newLogger(level string) log.Interface {
	return &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.MustParseLevel(level)}
}

// listen opens the listeners for callers and for other instances.
func (i *Instance) listen() error {
	var err error
	if i.listener, err = net.Listen("tcp", i.settings.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if i.peerListener, err = net.Listen("tcp", i.settings.PeerListen); err != nil {
		_ = i.listener.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	return nil
}

// Address returns the address for callers, upstreams and operators.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// PeerAddress returns the address for connections from other instances.
func (i *Instance) PeerAddress() string { return i.peerListener.Addr().String() }

// ID returns the identifier of the instance.
func (i *Instance) ID() model.InstanceID { return i.settings.Instance }

// Handler returns the HTTP handler for callers, upstreams and operators, for
// programs that serve it on a listener of their own.
func (i *Instance) Handler() http.Handler { return i.api }

// Run serves until a graceful stop that Stop began has completed, or until the
// context is canceled, which aborts requests in flight. It returns nil after a
// graceful stop.
func (i *Instance) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return i.loop.Run(ctx) }, func(error) { cancel() })
	if i.storage != nil {
		g.Add(func() error { return i.storage.Run(ctx, i.loop) }, func(error) { cancel() })
	}
	g.Add(func() error { return i.peers.Run(ctx, i.settings.Peers) }, func(error) { cancel() })
	i.addServer(&g, i.api.Server(), i.listener)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, i.peers)
	i.addServer(&g, &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout, MaxHeaderBytes: memory.MaxRequestHeadBytes}, i.peerListener)
	if err := i.loadInitialConfig(ctx, &g); err != nil {
		return err
	}
	err := g.Run()
	i.closeStorage()
	i.proxy.Close()
	if errors.Is(err, context.Canceled) {
		return ctx.Err()
	}
	return err
}

// addServer adds an HTTP server to the run group. When the group ends, the server
// has closeTimeout to complete the responses that it is writing.
func (i *Instance) addServer(g *run.Group, srv *http.Server, l net.Listener) {
	l = i.connections.Attach(srv, l, nil)
	g.Add(func() error { return serveHTTP(i.telemetry, srv, l) }, func(error) { shutDownServer(srv, closeTimeout) })
}

// SentPeerBytes returns the total size of the messages sent to other instances.
func (i *Instance) SentPeerBytes() uint64 { return i.peers.SentBytes() }

// Stop begins a graceful stop: Run returns once all requests in flight have
// ended.
func (i *Instance) Stop() { i.loop.Report(event.StopRequested{}) }

// LoadConfig passes a committed configuration to the instance. The configuration
// comes into force if it is newer than the one in force.
func (i *Instance) LoadConfig(c model.Config) { i.loop.Report(event.ConfigLoaded{Config: c}) }

// Close closes the listeners of an instance that was never run.
func (i *Instance) Close() {
	_ = i.listener.Close()
	_ = i.peerListener.Close()
	i.closeStorage()
}

// openStorage opens the data folder of a member of the control group. It
// returns an error if another process has locked the folder. If the folder
// cannot be read, it reports that to the reducer instead: the member does not
// vote, but the instance serves requests.
func (i *Instance) openStorage() error {
	if !slices.Contains(i.settings.ControlGroup, i.settings.Instance) {
		return nil
	}
	folder, err := storage.OpenFolder(i.settings.Data)
	if err != nil {
		return err
	}
	i.storage, err = control.OpenStorageWriter(folder)
	return err
}

// closeStorage closes the data folder, if it is open.
func (i *Instance) closeStorage() {
	if i.storage != nil {
		i.storage.Close()
	}
}

// Dump writes the recorded events to a file.
func (i *Instance) Dump(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("dump events: %w", err)
	}
	defer f.Close()
	if _, err := i.recorder.WriteTo(f); err != nil {
		return fmt.Errorf("dump events: %w", err)
	}
	return f.Close()
}

// invariantFailed logs and counts a failed invariant. The first failure also
// writes the recorded events to a file.
func (i *Instance) invariantFailed(f event.InvariantFailed) {
	i.telemetry.Log(event.Log{Code: logevent.InvariantFailed, Fields: []logevent.Field{
		logevent.F("invariant", f.Name), logevent.F("detail", f.Detail)}})
	i.telemetry.Count(event.Count{Counter: event.InvariantFailures, Add: 1})
	i.dumpOnce.Do(func() { go i.dumpAfterFailure() })
	if i.options.OnInvariant != nil {
		i.options.OnInvariant(f)
	}
}

// dumpAfterFailure writes the recorded events to the data folder, or to the
// folder for temporary files on instances without a data folder.
func (i *Instance) dumpAfterFailure() {
	dir := i.settings.Data
	if dir == "" {
		dir = os.TempDir()
	}
	path := filepath.Join(dir, fmt.Sprintf("anvilcrank-%s-%d.events", i.settings.Instance, os.Getpid()))
	if err := i.Dump(path); err != nil {
		i.options.Logger.WithError(err).Error("event dump failed")
		return
	}
	i.telemetry.Log(event.Log{Code: logevent.EventsDumped, Fields: []logevent.Field{logevent.F("file", path)}})
}
