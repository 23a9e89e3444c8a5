package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/anvilcrank/anvilcrank/platform/standin"
)

const (
	// startTimeout is how long the deployment may take to acknowledge its first
	// change, recoverTimeout how long to be whole again after the last fault.
	startTimeout   = 20 * time.Second
	recoverTimeout = 15 * time.Second
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	// restartDelay is how long an ended program stays down.
	restartDelay    = 300 * time.Millisecond
	beatInterval    = 500 * time.Millisecond
	callTimeout     = 1500 * time.Millisecond
	requestDeadline = 2 * time.Second
	// leaveDelay is how long a leaving upstream goes on serving.
	leaveDelay = drainBound + time.Second
)

// Options describe a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Daemon    string
	Folder    string
	Controls  int
	Entries   int
	Upstreams int
	Clients   int
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Steps      []Step
	Violations []string
	Counts     map[string]int
}

var regions = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}

var zones = []string{"z1", "z2", "z3"}

// services by name; reads move between the first two.
var services = []string{"reads", "reads2", "writes"}

// run is a run in progress.
type run struct {
	o        Options
	ledger   *Ledger
	ports    standin.Ports
	controls []*process
	entries  []*process
	operator standin.Operator
	calls    *http.Client

	mu      sync.Mutex
	servers []*server
	nextID  int
	version uint32
	last    standin.Route
	busy    sync.WaitGroup
}

// server is one upstream behind a proxy of its own.
type server struct {
	up     *standin.Upstream
	proxy  *Proxy
	cancel context.CancelFunc
}

// Run plays the schedule of a seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &run{o: o, ledger: NewLedger(time.Now, standin.RetryBudgetSlack), calls: newClient()}
	r.operator.HTTP = r.calls
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.shutDown()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	report := &Report{Seed: o.Seed, Steps: Schedule(o.Seed, o.Length)}
	clients, stopClients := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	for i := range o.Clients {
		traffic.Add(1)
		go func() { defer traffic.Done(); r.client(clients, i) }()
	}
	start := time.Now()
	for _, step := range report.Steps {
		if !sleep(ctx, time.Until(start.Add(step.At))) {
			break
		}
		r.busy.Add(1)
		go func() { defer r.busy.Done(); r.play(ctx, step) }()
	}
	sleep(ctx, time.Until(start.Add(o.Length)))
	r.busy.Wait()
	r.readBack(ctx)
	stopClients()
	traffic.Wait()
	report.Violations, report.Counts = r.ledger.Violations(), r.ledger.Counts()
	return report, ctx.Err()
}

func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// sleep waits and reports whether the context still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(0, d)):
		return true
	}
}

func (r *run) startAll(ctx context.Context) error {
	var err error
	if r.ports, err = freePorts(); err != nil {
		return err
	}
	var seeds []string
	for i := range min(3, r.o.Controls) {
		seeds = append(seeds, ip(i))
	}
	for i := range r.o.Controls + r.o.Entries {
		node := standin.Node{Name: fmt.Sprintf("e%d", i-r.o.Controls), IP: ip(i), Zone: zones[i%len(zones)], Seeds: seeds, Bootstrap: true}
		list := &r.entries
		if i < r.o.Controls {
			node.Name, node.Control, node.DataDir = fmt.Sprintf("c%d", i), true, filepath.Join(r.o.Folder, fmt.Sprintf("data%d", i))
			if err := os.MkdirAll(node.DataDir, 0o700); err != nil {
				return err
			}
			list = &r.controls
		}
		first := node.SettingsFile(r.ports, regions)
		node.Bootstrap = false
		p := &process{node: node, daemon: r.o.Daemon, folder: r.o.Folder, text: node.SettingsFile(r.ports, regions)}
		if err := p.start(first); err != nil {
			return err
		}
		*list = append(*list, p)
	}
	for i := range r.o.Upstreams {
		if err := r.addServer(ctx, services[i%len(services)], zones[i/len(services)%len(zones)], ""); err != nil {
			return err
		}
	}
	routes := []standin.Route{
		{Name: "read", Prefix: "/read/", Kind: "safe", Service: services[0], TimeoutMs: 1500, MaxAttempts: 3, Version: 1},
		{Name: "write", Prefix: "/write/", Kind: "non_idempotent", Service: services[2], TimeoutMs: 1500, MaxAttempts: 2, Version: 1},
	}
	for _, route := range routes {
		r.ledger.Proposed(route.Name, route.Version, route.Service)
	}
	r.version, r.last = 1, routes[0]
	for until := time.Now().Add(startTimeout); time.Now().Before(until); sleep(ctx, 200*time.Millisecond) {
		if r.operator.Patch(ctx, r.controlAddress(0), routes, services) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the first change was not acknowledged within %v", startTimeout)
}

// ip returns the address of a process. Each has one of its own, so that runs of
// several soaks do not meet.
func ip(i int) string {
	const firstNet = 64 // of 127.0.0.0/8
	soak := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstNet+(soak>>8)%64, soak%256, i+1)
}

// freePorts returns ports that nothing on this machine listens at now.
func freePorts() (standin.Ports, error) {
	for base := 21_000; base < 30_000; base += 40 {
		free := true
		for port := base; port < base+20 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip(0), port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return standin.Ports{Front: base, Ready: base + 1, Control: base + 2, Directory: base + 3, Internal: base + 4}, nil
		}
	}
	return standin.Ports{}, fmt.Errorf("no free ports")
}

func (r *run) shutDown() {
	for _, p := range append(append([]*process(nil), r.entries...), r.controls...) {
		p.signal(syscall.SIGKILL)
		p.wait(stopGrace)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.cancel()
		s.up.Crash()
		s.proxy.Close()
	}
}

func (r *run) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", r.controls[i%len(r.controls)].node.IP, r.ports.Control)
}

// addServer starts an upstream, under a new id if none is given.
func (r *run) addServer(ctx context.Context, service, zone, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" {
		r.nextID++
		id = fmt.Sprintf("i-%04d", r.nextID)
	}
	up := &standin.Upstream{ID: id, Service: service, Zone: zone, Slots: 8, WorkTime: 30 * time.Millisecond}
	if err := up.Start(r.ledger, r.calls); err != nil {
		return err
	}
	proxy, err := StartProxy(up.Address())
	if err != nil {
		return err
	}
	up.AdvertisedAddress = proxy.Address()
	ctx, cancel := context.WithCancel(ctx)
	r.servers = append(r.servers, &server{up: up, proxy: proxy, cancel: cancel})
	go r.beat(ctx, up)
	return nil
}

// beat announces an upstream until it is canceled. A heartbeat that nobody
// acknowledges goes to another control process.
func (r *run) beat(ctx context.Context, up *standin.Upstream) {
	for i := rand.IntN(len(r.controls)); sleep(ctx, beatInterval); {
		if !up.Heartbeat(ctx, r.controlAddress(i)) {
			i++
		}
	}
}

// takeServer removes a server from the list, nil if its service needs it.
func (r *run) takeServer(target int) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.servers) == 0 {
		return nil
	}
	k := target % len(r.servers)
	s := r.servers[k]
	r.servers = append(r.servers[:k], r.servers[k+1:]...)
	return s
}

// client sends requests one after the other over connections that it keeps.
func (r *run) client(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(100+number)))
	c := standin.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	zone := zones[number%len(zones)]
	var addresses []string
	var resolved time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(resolved) > 2*time.Second {
			// A client that gets no new answer goes on with the old one.
			directory := fmt.Sprintf("%s:%d", r.controls[rng.IntN(len(r.controls))].node.IP, r.ports.Directory)
			lookup, cancel := context.WithTimeout(ctx, callTimeout)
			if list, err := c.Resolve(lookup, directory, zone, regions[zone]); err == nil && len(list) > 0 {
				addresses, resolved = list, time.Now()
			}
			cancel()
		}
		if len(addresses) == 0 {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		r.request(ctx, &c, addresses[rng.IntN(len(addresses))], fmt.Sprintf("%x-%d-%d", r.o.Seed, number, i), rng)
		sleep(ctx, time.Duration(rng.Int64N(int64(40*time.Millisecond))))
	}
}

func (r *run) request(ctx context.Context, c *standin.Client, address, id string, rng *rand.Rand) {
	call := standin.Call{ID: id, Method: http.MethodGet, Path: "/read/" + id, AffinityKey: fmt.Sprint(rng.IntN(20)), Timeout: requestDeadline}
	route := "read"
	if rng.IntN(3) == 0 {
		call.Method, call.Path, route = http.MethodPost, "/write/"+id, "write"
	}
	r.ledger.Sent(id, route, route == "write")
	start := time.Now()
	// A request that is under way when the run ends is waited for.
	reply := c.Do(context.WithoutCancel(ctx), address, &call)
	r.ledger.Ended(id, reply.Status, reply.Service != "", reply.Complete)
	if reply.Status != 0 || time.Since(start) > requestDeadline*7/10 {
		return
	}
	for _, p := range r.entries {
		if address == fmt.Sprintf("%s:%d", p.node.IP, r.ports.Front) && p.stopsCleanly() {
			r.ledger.Cut(id, p.node.Name)
		}
	}
}

// readBack compares what each control process holds at the end with what was
// acknowledged.
func (r *run) readBack(ctx context.Context) {
	until := time.Now().Add(recoverTimeout)
	for i, p := range r.controls {
		versions, err := r.operator.RouteVersions(ctx, r.controlAddress(i))
		for err != nil && time.Now().Before(until) && sleep(ctx, 200*time.Millisecond) {
			versions, err = r.operator.RouteVersions(ctx, r.controlAddress(i))
		}
		if err != nil {
			r.ledger.violateNow("RECOVER: %s gives no configuration after %v: %v", p.node.Name, recoverTimeout, err)
			continue
		}
		r.ledger.ReadBack(p.node.Name, versions)
	}
}
