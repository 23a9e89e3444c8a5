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

var zones = []settings.Zone{
	{Zone: "gulf-a", Region: "gulf"},
	{Zone: "plains-a", Region: "plains"},
	{Zone: "hill-a", Region: "hill-country"},
	{Zone: "gulf-b", Region: "gulf"},
	{Zone: "plains-b", Region: "plains"},
	{Zone: "hill-b", Region: "hill-country"},
}

// recordEvents keeps the memory of many instances in one process small.
const recordEvents = 1000

// seedPeers is how many instances the others join by.
const seedPeers = 5

// cluster is the deployment under test.
type cluster struct {
	options  Options
	network  *network
	tracker  *tracker
	dir      string
	settings []*settings.Settings
	ids      []model.InstanceID

	mu sync.Mutex
	// running has nil for instances that are stopped.
	running []*process
	// formerBytes is the traffic of processes that have ended.
	formerBytes uint64
}

type process struct {
	instance *anvilcrank.Instance
	cancel   context.CancelFunc
	done     chan struct{}
}

func newCluster(o Options, dir string, t *tracker) (*cluster, error) {
	c := &cluster{options: o, network: &network{cut: map[pair]bool{}}, tracker: t, dir: dir,
		running: make([]*process, o.Instances)}
	b := &settings.Bootstrap{Zones: zones}
	for k := range o.Instances {
		z := zones[k%len(zones)].Zone
		id := model.InstanceID(fmt.Sprintf("%s-%d", z, k/len(zones)+1))
		c.ids = append(c.ids, id)
		b.Roster = append(b.Roster, settings.RosterEntry{ID: id, Zone: z})
	}
	for k := range o.Instances {
		s := &settings.Settings{Instance: c.ids[k], Zone: zones[k%len(zones)].Zone, ControlGroup: c.ids[:o.Group],
			Bootstrap: b, RecordedEvents: recordEvents}
		var err error
		if s.Listen, err = freeAddress(k); err != nil {
			return nil, err
		}
		if s.PeerListen, err = freeAddress(k); err != nil {
			return nil, err
		}
		if k < o.Group {
			s.Data = filepath.Join(dir, string(c.ids[k]))
		}
		c.settings = append(c.settings, s)
	}
	for k, s := range c.settings {
		for n := range min(seedPeers, o.Instances) {
			if n != k {
				s.Peers = append(s.Peers, c.settings[n].PeerListen)
			}
		}
	}
	return c, nil
}

// freeAddress returns an address that stays the same when the instance starts
// again. Each instance has an IP address of its own, so no connection of
// another one takes the port.
func freeAddress(k int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()/128%250, k+1))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the instance with its addresses and, if it is still there, its
// data folder.
func (c *cluster) start(k int) error {
	id := c.ids[k]
	i, err := anvilcrank.New(c.settings[k], anvilcrank.Options{
		Logger:  &log.Logger{Handler: c.tracker, Level: log.InfoLevel},
		Network: c.network,
		Seed:    c.options.Seed*1000 + uint64(k) + 1,
		OnInvariant: func(f event.InvariantFailed) {
			c.tracker.violation("%s: invariant %s: %s", id, f.Name, f.Detail)
		},
		OnConfig: func(config *model.Config) { c.tracker.installed(id, config) },
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{instance: i, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.running[k] = p
	c.mu.Unlock()
	go func() {
		defer close(p.done)
		if err := i.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			c.tracker.violation("%s: ended: %v", id, err)
		}
	}()
	return nil
}

// kill ends an instance at once: nothing it sends arrives from now on.
func (c *cluster) kill(k int) {
	c.network.isolate(c.ids[k], c.ids, true, true)
	c.mu.Lock()
	p := c.running[k]
	c.running[k] = nil
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	<-p.done
	c.mu.Lock()
	c.formerBytes += p.instance.SentPeerBytes()
	c.mu.Unlock()
}

// restart starts a killed instance again.
func (c *cluster) restart(k int) error {
	c.network.isolate(c.ids[k], c.ids, false, false)
	return c.start(k)
}

func (c *cluster) loseDisk(k int) error { return os.RemoveAll(c.settings[k].Data) }

func (c *cluster) isRunning(k int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[k] != nil
}

func (c *cluster) sentBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.formerBytes
	for _, p := range c.running {
		if p != nil {
			n += p.instance.SentPeerBytes()
		}
	}
	return n
}

func (c *cluster) stop() {
	var ends sync.WaitGroup
	for k := range c.running {
		ends.Go(func() { c.kill(k) })
	}
	ends.Wait()
}

// index returns the position of an instance, -1 if there is none.
func (c *cluster) index(id model.InstanceID) int {
	for k, other := range c.ids {
		if other == id {
			return k
		}
	}
	return -1
}

// awaitInForce waits until all running instances have the version in force.
func (c *cluster) awaitInForce(ctx context.Context, v model.Version, limit time.Duration) bool {
	return c.tracker.await(ctx, limit, func() bool {
		for k, id := range c.ids {
			if c.isRunning(k) && c.tracker.latest[id] < v {
				return false
			}
		}
		return true
	})
}
