package configbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// zones lists the availability zones of the deployment. Instance k is in zone
// k modulo the number of zones.
var zones = []settings.Zone{
	{Zone: "gulf-a", Region: "gulf"},
	{Zone: "plains-a", Region: "plains"},
	{Zone: "hill-a", Region: "hill-country"},
	{Zone: "gulf-b", Region: "gulf"},
	{Zone: "plains-b", Region: "plains"},
	{Zone: "hill-b", Region: "hill-country"},
}

// recordedEvents is how many events each instance keeps for replay. It is low
// because many instances share the memory of one process.
const recordedEvents = 1000

// numSeedPeers is the number of instances whose addresses every instance knows
// when it starts.
const numSeedPeers = 5

// deployment is the deployment under test. Its slices are indexed by instance. The
// instances with the lowest indexes form the control group.
type deployment struct {
	options Options
	network *network
	tracker *tracker
	// dir is the folder with the data folders of the control group's members.
	dir      string
	settings []*settings.Settings
	ids      []model.InstanceID

	mu sync.Mutex
	// processes holds the process of each instance, or nil if the instance is not
	// running.
	processes []*process
	// endedProcessBytes counts the bytes that ended processes have sent to peers.
	endedProcessBytes uint64
}

// process is one execution of an instance, from its start to its end.
type process struct {
	instance *anvilcrank.Instance
	cancel   context.CancelFunc
	// done is closed when the instance has ended.
	done chan struct{}
}

// newDeployment prepares the settings of all instances. It does not start the
// instances.
func newDeployment(o Options, dir string, t *tracker) (*deployment, error) {
	d := &deployment{options: o, network: &network{blocked: map[direction]bool{}}, tracker: t, dir: dir,
		processes: make([]*process, o.Instances)}
	bootstrap := &settings.Bootstrap{Zones: zones}
	for k := range o.Instances {
		zone := zones[k%len(zones)].Zone
		id := model.InstanceID(fmt.Sprintf("%s-%d", zone, k/len(zones)+1))
		d.ids = append(d.ids, id)
		bootstrap.Roster = append(bootstrap.Roster, settings.RosterEntry{ID: id, Zone: zone})
	}
	for k := range o.Instances {
		s := &settings.Settings{Instance: d.ids[k], Zone: zones[k%len(zones)].Zone, ControlGroup: d.ids[:o.GroupSize],
			Bootstrap: bootstrap, RecordedEvents: recordedEvents}
		var err error
		if s.Listen, err = freeListenAddress(k); err != nil {
			return nil, err
		}
		if s.PeerListen, err = freeListenAddress(k); err != nil {
			return nil, err
		}
		if k < o.GroupSize {
			s.Data = filepath.Join(dir, string(d.ids[k]))
		}
		d.settings = append(d.settings, s)
	}
	for k, s := range d.settings {
		for seed := range min(numSeedPeers, o.Instances) {
			if seed != k {
				s.Peers = append(s.Peers, d.settings[seed].PeerListen)
			}
		}
	}
	return d, nil
}

// freeListenAddress returns a free loopback address and port for an instance. The
// instance keeps them across restarts. Each instance has its own IP address, so no
// connection of another instance can occupy the port while the instance is down.
func freeListenAddress(index int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()/128%250, index+1))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts an instance. After a restart it has the same addresses as before,
// and the same data folder unless that was removed.
func (d *deployment) start(index int) error {
	id := d.ids[index]
	instance, err := anvilcrank.New(d.settings[index], anvilcrank.Options{
		Logger:  &log.Logger{Handler: d.tracker, Level: log.InfoLevel},
		Network: d.network,
		Seed:    d.options.Seed*1000 + uint64(index) + 1,
		OnInvariant: func(f event.InvariantFailed) {
			d.tracker.addViolation("%s: invariant %s: %s", id, f.Name, f.Detail)
		},
		OnConfig: func(config *model.Config) { d.tracker.recordInForce(id, config) },
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{instance: instance, cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	d.processes[index] = p
	d.mu.Unlock()
	go func() {
		defer close(p.done)
		if err := instance.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			d.tracker.addViolation("%s: ended: %v", id, err)
		}
	}()
	return nil
}

// kill simulates the crash of an instance. It first blocks all messages from and to
// the instance, so that the messages of its shutdown do not arrive, and then ends
// it.
func (d *deployment) kill(index int) {
	d.network.isolate(d.ids[index], d.ids, true, true)
	d.mu.Lock()
	p := d.processes[index]
	d.processes[index] = nil
	d.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	<-p.done
	d.mu.Lock()
	d.endedProcessBytes += p.instance.SentPeerBytes()
	d.mu.Unlock()
}

// restart starts a killed instance again and unblocks its messages.
func (d *deployment) restart(index int) error {
	d.network.isolate(d.ids[index], d.ids, false, false)
	return d.start(index)
}

// removeDataFolder simulates the loss of an instance's disk.
func (d *deployment) removeDataFolder(index int) error { return os.RemoveAll(d.settings[index].Data) }

func (d *deployment) isRunning(index int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[index] != nil
}

// sentBytes returns the total number of bytes that all instances have sent to their
// peers since the start of the deployment.
func (d *deployment) sentBytes() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := d.endedProcessBytes
	for _, p := range d.processes {
		if p != nil {
			total += p.instance.SentPeerBytes()
		}
	}
	return total
}

// stop ends all running instances.
func (d *deployment) stop() {
	var wait sync.WaitGroup
	for k := range d.processes {
		wait.Go(func() { d.kill(k) })
	}
	wait.Wait()
}

// indexOf returns the index of an instance, or -1 if there is no such instance.
func (d *deployment) indexOf(id model.InstanceID) int {
	for k, other := range d.ids {
		if other == id {
			return k
		}
	}
	return -1
}

// awaitInForce waits until the given configuration version or a later one is in
// force at all running instances. It returns false after the timeout.
func (d *deployment) awaitInForce(ctx context.Context, version model.Version, timeout time.Duration) bool {
	return d.tracker.waitFor(ctx, timeout, func() bool {
		for k, id := range d.ids {
			if d.isRunning(k) && d.tracker.latestVersion[id] < version {
				return false
			}
		}
		return true
	})
}
