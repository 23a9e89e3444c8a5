package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/anvilcrank/anvilcrank"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// loopbackAnyPort is a listen address with a port that the system chooses.
const loopbackAnyPort = "127.0.0.1:0"

// Deployment is a running deployment.
type Deployment struct {
	Plan      Plan
	Upstreams []*fake.Upstream
	Journal   *fake.Journal

	config    *settings.Bootstrap
	network   *network
	ctx       context.Context
	cancel    context.CancelFunc
	instances []*entryInstance

	mu         sync.Mutex
	killedIDs  map[string]bool
	violations []string
}

// entryInstance is an entry instance. It stays the same over restarts of its
// process.
type entryInstance struct {
	id                model.InstanceID
	zone              model.Zone
	listenAddress     string
	peerListenAddress string
	process           *anvilcrank.Instance
	cancel            context.CancelFunc
	done              chan error
	incarnation       uint64
}

// Start starts the instances and the upstreams of the plan.
func Start(p Plan) (*Deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{Plan: p, Journal: fake.NewJournal(), ctx: ctx, cancel: cancel, killedIDs: map[string]bool{}}
	d.config = d.Plan.Bootstrap()
	d.network = newNetwork(ctx, &d.Plan)
	if err := d.startInstances(); err != nil {
		d.Stop()
		return nil, err
	}
	if err := d.startUpstreams(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startInstances() error {
	for _, entry := range d.config.Roster {
		instance := &entryInstance{id: entry.ID, zone: entry.Zone, listenAddress: loopbackAnyPort, peerListenAddress: loopbackAnyPort}
		if err := d.startProcess(instance); err != nil {
			return err
		}
		d.instances = append(d.instances, instance)
	}
	return nil
}

// startProcess starts a process of the instance. The instance keeps its addresses
// over restarts.
func (d *Deployment) startProcess(instance *entryInstance) error {
	var peers []string
	for _, other := range d.instances {
		if other != instance {
			peers = append(peers, other.peerListenAddress)
		}
	}
	process, err := anvilcrank.New(&settings.Settings{
		Instance:       instance.id,
		Zone:           instance.zone,
		Listen:         instance.listenAddress,
		PeerListen:     instance.peerListenAddress,
		Peers:          peers,
		Bootstrap:      d.config,
		RecordedEvents: d.Plan.RecordedEvents,
	}, anvilcrank.Options{
		Logger:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Network:     d.network,
		Dial:        d.network.dialFrom(instance.zone),
		Seed:        d.Plan.Seed + uint64(len(d.instances))<<8 + instance.incarnation,
		Policy:      d.Plan.Policy,
		IgnoreSlots: d.Plan.IgnoreSlots,
		OnInvariant: d.invariantFailed,
	})
	if err != nil {
		return fmt.Errorf("instance %s: %w", instance.id, err)
	}
	instance.process = process
	if instance.incarnation == 0 {
		instance.listenAddress, instance.peerListenAddress = process.Address(), process.PeerAddress()
	}
	instance.incarnation++
	instance.done = make(chan error, 1)
	ctx, cancel := context.WithCancel(d.ctx)
	instance.cancel = cancel
	go func() { instance.done <- process.Run(ctx) }()
	return nil
}

func (d *Deployment) startUpstreams() error {
	rng := rand.New(rand.NewPCG(d.Plan.Seed, 1))
	for _, s := range d.Plan.Services {
		for k := range s.Upstreams {
			zone := d.Plan.Zones[k%len(d.Plan.Zones)]
			index := k / len(d.Plan.Zones)
			u, err := fake.StartUpstream(fake.UpstreamOptions{
				ID:             upstreamID(s.Name, zone.Name, index),
				Service:        s.Name,
				Zone:           zone.Name,
				Region:         zone.Region,
				Slots:          s.Slots,
				MaxConnections: s.MaxConnections,
				ServiceTime:    s.ServiceTime,
				ResponseBytes:  s.ResponseBytes,
				QueueLimit:     s.QueueLimit,
				Instances:      d.AddressesNear(zone.Name, index),
				Journal:        d.Journal,
				AnnounceToAll:  d.Plan.IgnoreSlots,
				Seed:           rng.Uint64(),
			})
			if err != nil {
				return err
			}
			d.network.addUpstream(u.Address(), zone.Name)
			d.Upstreams = append(d.Upstreams, u)
		}
	}
	return nil
}

// AddressesNear returns the addresses of all instances. Those in the zone are
// first, rotated by offset. The others follow in the order of the roster,
// beginning after the zone.
func (d *Deployment) AddressesNear(zone model.Zone, offset int) []string {
	var sameZone, otherZones []string
	for _, instance := range d.instances {
		if instance.zone == zone {
			sameZone = append(sameZone, instance.listenAddress)
		}
	}
	if len(sameZone) > 0 {
		offset %= len(sameZone)
		sameZone = append(sameZone[offset:], sameZone[:offset]...)
	}
	start := 0
	for i, instance := range d.instances {
		if instance.zone == zone {
			start = i
		}
	}
	for k := range d.instances {
		if instance := d.instances[(start+k)%len(d.instances)]; instance.zone != zone {
			otherZones = append(otherZones, instance.listenAddress)
		}
	}
	return append(sameZone, otherZones...)
}

// Instances returns the identifiers of the instances in the order of the roster.
func (d *Deployment) Instances() []model.InstanceID {
	var ids []model.InstanceID
	for _, instance := range d.instances {
		ids = append(ids, instance.id)
	}
	return ids
}

// Upstream returns the upstream with the identifier, nil if none has it.
func (d *Deployment) Upstream(id model.UpstreamID) *fake.Upstream {
	for _, u := range d.Upstreams {
		if u.ID() == id {
			return u
		}
	}
	return nil
}

// ApplyConfig applies modify to a copy of the deployment's first configuration,
// with the next version, and puts the copy in force at every instance.
func (d *Deployment) ApplyConfig(modify func(*model.Config)) {
	c := d.config.Config()
	c.Version++
	modify(&c)
	for _, instance := range d.instances {
		instance.process.LoadConfig(c)
	}
}

// Restart stops an instance gracefully and starts it again.
func (d *Deployment) Restart(id model.InstanceID) error {
	instance := d.instanceByID(id)
	if instance == nil {
		return fmt.Errorf("restart: no instance %s", id)
	}
	instance.process.Stop()
	select {
	case err := <-instance.done:
		if err != nil {
			return fmt.Errorf("restart: instance %s: %w", id, err)
		}
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
	instance.cancel()
	return d.startProcess(instance)
}

func (d *Deployment) instanceByID(id model.InstanceID) *entryInstance {
	for _, instance := range d.instances {
		if instance.id == id {
			return instance
		}
	}
	return nil
}

// KillUpstream ends an upstream abruptly, as a crash does.
func (d *Deployment) KillUpstream(u *fake.Upstream) {
	d.recordKilled(string(u.ID()))
	u.Kill()
}

// KillRegion ends all instances and upstreams of a region abruptly, as a power
// failure does.
func (d *Deployment) KillRegion(region model.Region) {
	for _, instance := range d.instances {
		if d.Plan.RegionOf(instance.zone) == region {
			d.recordKilled(string(instance.id))
			instance.cancel()
		}
	}
	for _, u := range d.Upstreams {
		if u.Region() == region {
			d.KillUpstream(u)
		}
	}
}

// recordKilled records that a fault has ended an instance or an upstream.
func (d *Deployment) recordKilled(id string) {
	d.mu.Lock()
	d.killedIDs[id] = true
	d.mu.Unlock()
}

// AffectedByFault reports whether a fault has ended the instance that received
// a request or the upstream that answered it. It must be called as soon as the
// result is known; otherwise a later fault would seem to explain a connection
// that broke before.
func (d *Deployment) AffectedByFault(instance model.InstanceID, result fake.CallResult) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killedIDs[string(instance)] || d.killedIDs[string(result.Upstream)]
}

func (d *Deployment) invariantFailed(f event.InvariantFailed) {
	d.RecordViolation(fmt.Sprintf("invariant %s: %s", f.Name, f.Detail))
}

// RecordViolation records a violation that the text describes.
func (d *Deployment) RecordViolation(text string) {
	d.mu.Lock()
	d.violations = append(d.violations, text)
	d.mu.Unlock()
}

// CheckSlots records a violation for each upstream that had more concurrent
// requests than slots.
func (d *Deployment) CheckSlots() {
	for _, u := range d.Upstreams {
		if s := u.Stats(); s.MaxConcurrent > s.Slots {
			d.RecordViolation(fmt.Sprintf("%s had %d requests in %d slots", u.ID(), s.MaxConcurrent, s.Slots))
		}
	}
}

// Violations returns the recorded violations.
func (d *Deployment) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.violations...)
}

// MaxLinkQueueTime returns the longest time that data waited for a link between
// regions.
func (d *Deployment) MaxLinkQueueTime() time.Duration { return d.network.maxLinkQueueTime() }

// Stop ends all upstreams and instances without a graceful stop.
func (d *Deployment) Stop() {
	for _, u := range d.Upstreams {
		u.Kill()
	}
	d.cancel()
	for _, instance := range d.instances {
		<-instance.done
	}
}
