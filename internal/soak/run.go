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
	// startTimeout limits the wait for the first acknowledged change,
	// recoveryTimeout the wait for answers of control processes after the last
	// fault.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	// After SIGTERM a process may run for stopGracePeriod before it is killed.
	stopGracePeriod = 6 * time.Second
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay      = 300 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	httpTimeout       = 1500 * time.Millisecond // of calls to control processes
	requestTimeout    = 2 * time.Second
	// thinLinkMbps is the bandwidth that half of the entry instances state. They stream
	// responses that the others hold until they are complete.
	thinLinkMbps = 6.6
	// deregisterDelay is how long a draining upstream serves before it deregisters.
	// Until maxDrainDelay has passed, the upstream may receive new requests.
	deregisterDelay = maxDrainDelay + time.Second
)

// Options are the settings of a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Daemon    string // path of the anvilcrankd program
	Folder    string // for settings, data and logs of the processes
	Controls  int    // number of control processes
	Entries   int    // number of entry processes
	Upstreams int
	Clients   int
}

// Report is the result of a run.
type Report struct {
	Seed         uint64
	Steps        []Step
	Violations   []string
	StatusCounts map[string]int
}

var regions = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}

var zones = []string{"z1", "z2", "z3"}

// services holds two services for the read route, and one for the write route.
var services = []string{"reads", "reads2", "writes"}

// run is the state of a run.
type run struct {
	options  Options
	checker  *Checker
	ports    standin.Ports
	controls []*process
	// orders are proxies between the operator and the control processes.
	orders     []*Proxy
	holdMu     sync.Mutex // held while orders are held up
	entries    []*process
	operator   standin.Operator
	httpClient *http.Client // for control processes

	mu             sync.Mutex
	upstreams      []*proxiedUpstream
	lastUpstreamID int
	routeVersion   uint32        // latest version of the read route
	lastRoute      standin.Route // the read route at that version
	activeSteps    sync.WaitGroup
	// instances counts the instances that were started, replaced ones included.
	instances int
	// evacuating is true while a step evacuates a zone.
	evacuating bool
	// stating holds the upstreams that have a statement now.
	stating map[string]bool
}

// proxiedUpstream is an upstream behind its own proxy.
type proxiedUpstream struct {
	upstream       *standin.Upstream
	proxy          *Proxy
	stopHeartbeats context.CancelFunc
}

// Run executes the schedule of a seed against a new deployment under load.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{options: options, checker: NewChecker(time.Now, standin.RetryBudgetSlack), httpClient: newHTTPClient()}
	r.operator.HTTP = r.httpClient
	r.stating = map[string]bool{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.shutDown()
	if err := r.startDeployment(ctx); err != nil {
		return nil, err
	}
	report := &Report{Seed: options.Seed, Steps: Schedule(options.Seed, options.Length)}
	clientsCtx, stopClients := context.WithCancel(ctx)
	var activeClients sync.WaitGroup
	for i := range options.Clients {
		activeClients.Add(1)
		go func() { defer activeClients.Done(); r.runClient(clientsCtx, i) }()
	}
	start := time.Now()
	for _, step := range report.Steps {
		if !sleep(ctx, time.Until(start.Add(step.At))) {
			break
		}
		r.activeSteps.Add(1)
		go func() { defer r.activeSteps.Done(); r.executeStep(ctx, step) }()
	}
	sleep(ctx, time.Until(start.Add(options.Length)))
	r.activeSteps.Wait()
	r.checkFinalVersions(ctx)
	stopClients()
	activeClients.Wait()
	report.Violations, report.StatusCounts = r.checker.Violations(), r.checker.StatusCounts()
	return report, ctx.Err()
}

func newHTTPClient() *http.Client {
	return &http.Client{Timeout: httpTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
}

// sleep waits and returns false if the context is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(0, d)):
		return true
	}
}

func (r *run) startDeployment(ctx context.Context) error {
	var err error
	if r.ports, err = freePorts(); err != nil {
		return err
	}
	var seeds []string
	for i := range min(3, r.options.Controls) {
		seeds = append(seeds, processIP(i))
	}
	for i := range r.options.Controls + r.options.Entries {
		node := standin.Node{Name: fmt.Sprintf("e%d", i-r.options.Controls), IP: processIP(i), Zone: zones[i%len(zones)], Seeds: seeds, Bootstrap: true}
		processes := &r.entries
		if i < r.options.Controls {
			node.Name, node.Control, node.DataDir = fmt.Sprintf("c%d", i), true, filepath.Join(r.options.Folder, fmt.Sprintf("data%d", i))
			if err := os.MkdirAll(node.DataDir, 0o700); err != nil {
				return err
			}
			processes = &r.controls
		} else if i%2 == 0 {
			node.LinkMbps = thinLinkMbps
		}
		initialSettings := node.SettingsFile(r.ports, regions)
		node.Bootstrap = false
		p := &process{node: node, daemonPath: r.options.Daemon, workFolder: r.options.Folder, settings: node.SettingsFile(r.ports, regions)}
		if err := p.start(initialSettings); err != nil {
			return err
		}
		*processes = append(*processes, p)
	}
	r.instances = r.options.Controls + r.options.Entries
	for i := range r.controls {
		proxy, err := StartProxy(r.controlAddress(i))
		if err != nil {
			return err
		}
		r.orders = append(r.orders, proxy)
	}
	for i := range r.options.Upstreams {
		if err := r.addUpstream(ctx, services[i%len(services)], zones[i/len(services)%len(zones)], ""); err != nil {
			return err
		}
	}
	routes := []standin.Route{
		{Name: "read", Prefix: "/read/", Kind: "safe", Service: services[0], TimeoutMs: 1500, MaxAttempts: 3, Version: 1},
		{Name: "write", Prefix: "/write/", Kind: "non_idempotent", Service: services[2], TimeoutMs: 1500, MaxAttempts: 2, Version: 1},
	}
	for _, route := range routes {
		r.checker.VersionProposed(route.Name, route.Version, route.Service)
	}
	r.routeVersion, r.lastRoute = 1, routes[0]
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); sleep(ctx, 200*time.Millisecond) {
		if r.operator.Patch(ctx, r.controlAddress(0), routes, services) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the first change was not acknowledged within %v", startTimeout)
}

// processIP returns the loopback address of a process. It contains the process
// ID of this program, so that concurrent soaks use different addresses.
func processIP(index int) string {
	const minSecondOctet = 64 // of 127.0.0.0/8
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", minSecondOctet+(pid>>8)%64, pid%256, index+1)
}

// freePorts returns listen ports that are free at the address of the first
// process.
func freePorts() (standin.Ports, error) {
	for base := 21_000; base < 30_000; base += 40 {
		free := true
		for port := base; port < base+20 && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", processIP(0), port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return standin.Ports{Front: base, Ready: base + 1, Control: base + 2, Directory: base + 3, Internal: base + 4}, nil
		}
	}
	return standin.Ports{}, fmt.Errorf("no 20 consecutive free ports between 21000 and 30000 at the first address")
}

func (r *run) shutDown() {
	for _, p := range append(append([]*process(nil), r.entries...), r.controls...) {
		p.signal(syscall.SIGKILL)
		p.waitForExit(stopGracePeriod)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		u.stopHeartbeats()
		u.upstream.Crash()
		u.proxy.Close()
	}
	for _, p := range r.orders {
		p.Close()
	}
}

// orderAddress returns the address at which the operator reaches a control process.
func (r *run) orderAddress(i int) string { return r.orders[i%len(r.orders)].Address() }

func (r *run) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", r.controls[i%len(r.controls)].ip(), r.ports.Control)
}

// addUpstream starts an upstream behind a proxy, with a new id if id is "".
func (r *run) addUpstream(ctx context.Context, service, zone, id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == "" {
		r.lastUpstreamID++
		id = fmt.Sprintf("i-%04d", r.lastUpstreamID)
	}
	upstream := &standin.Upstream{ID: id, Service: service, Zone: zone, Slots: 8, ServiceTime: 30 * time.Millisecond}
	if err := upstream.Start(r.checker, r.httpClient); err != nil {
		return err
	}
	r.checker.UpstreamStarted(id, zone)
	proxy, err := StartProxy(upstream.Address())
	if err != nil {
		return err
	}
	upstream.AdvertisedAddress = proxy.Address()
	ctx, cancel := context.WithCancel(ctx)
	r.upstreams = append(r.upstreams, &proxiedUpstream{upstream: upstream, proxy: proxy, stopHeartbeats: cancel})
	go r.sendHeartbeats(ctx, upstream)
	return nil
}

// sendHeartbeats sends heartbeats of an upstream until ctx is canceled. After a
// heartbeat that is not acknowledged, it uses the next control process.
func (r *run) sendHeartbeats(ctx context.Context, upstream *standin.Upstream) {
	for i := rand.IntN(len(r.controls)); sleep(ctx, heartbeatInterval); {
		if !upstream.Heartbeat(ctx, r.controlAddress(i)) {
			i++
		}
	}
}

// takeUpstream removes and returns an upstream, nil if there is none.
func (r *run) takeUpstream(target int) *proxiedUpstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.upstreams) == 0 {
		return nil
	}
	index := target % len(r.upstreams)
	taken := r.upstreams[index]
	r.upstreams = append(r.upstreams[:index], r.upstreams[index+1:]...)
	return taken
}

// runClient sends requests one after the other over persistent connections.
func (r *run) runClient(ctx context.Context, index int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(100+index)))
	client := standin.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	zone := zones[index%len(zones)]
	var addresses []string
	var resolvedAt time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(resolvedAt) > 2*time.Second {
			// If the directory lookup fails or returns no address, the client keeps the
			// addresses that it has.
			directoryAddress := fmt.Sprintf("%s:%d", r.controls[rng.IntN(len(r.controls))].ip(), r.ports.Directory)
			lookupCtx, cancel := context.WithTimeout(ctx, httpTimeout)
			if newAddresses, err := client.Resolve(lookupCtx, directoryAddress, zone, regions[zone]); err == nil && len(newAddresses) > 0 {
				addresses, resolvedAt = newAddresses, time.Now()
			}
			cancel()
		}
		if len(addresses) == 0 {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		r.sendRequest(ctx, &client, addresses[rng.IntN(len(addresses))], fmt.Sprintf("%x-%d-%d", r.options.Seed, index, i), rng)
		sleep(ctx, time.Duration(rng.Int64N(int64(40*time.Millisecond))))
	}
}

// sendRequest sends a read or a write and reports its outcome to the checker.
func (r *run) sendRequest(ctx context.Context, client *standin.Client, entryAddress, id string, rng *rand.Rand) {
	request := standin.Call{ID: id, Method: http.MethodGet, Path: "/read/" + id, AffinityKey: fmt.Sprint(rng.IntN(20)), Timeout: requestTimeout}
	route := "read"
	if rng.IntN(3) == 0 {
		request.Method, request.Path, request.WithBody, route = http.MethodPost, "/write/"+id, true, "write"
	}
	r.checker.RequestSent(id, route, route == "write")
	sentAt := time.Now()
	// Requests that are in flight at the end of the run are not canceled.
	response := client.Do(context.WithoutCancel(ctx), entryAddress, &request)
	r.checker.RequestEnded(id, response.Status, response.Service != "", response.Complete)
	if response.Status != 0 || time.Since(sentAt) > requestTimeout*7/10 {
		return
	}
	if behavior := standin.BehaviorOf(id); behavior.Ending != standin.Whole {
		// The upstream broke off, and an answer that has begun can only be cut.
		return
	}
	for _, p := range r.entries {
		if entryAddress == fmt.Sprintf("%s:%d", p.node.IP, r.ports.Front) && p.isStoppingCleanly() {
			r.checker.ConnectionCutByStop(id, p.node.Name)
		}
	}
}

// checkFinalVersions compares the configuration of each control process with the
// acknowledged versions after the last step has ended.
func (r *run) checkFinalVersions(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	for i, p := range r.controls {
		versions, err := r.operator.RouteVersions(ctx, r.controlAddress(i))
		for err != nil && time.Now().Before(deadline) && sleep(ctx, 200*time.Millisecond) {
			versions, err = r.operator.RouteVersions(ctx, r.controlAddress(i))
		}
		if err != nil {
			r.checker.addViolation("RECOVER: %s returned no configuration within %v: %v", p.node.Name, recoveryTimeout, err)
			continue
		}
		r.checker.CheckVersions(p.node.Name, versions)
	}
}
