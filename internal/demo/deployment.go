package demo

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

// service is one service of the demo.
type service struct {
	name        model.ServiceName
	profile     settings.Profile
	method      string
	slots       int
	connections int
	serviceTime time.Duration
	bodySize    int
}

var zones = []settings.Zone{
	{Zone: "gulf-a", Region: "gulf"},
	{Zone: "gulf-b", Region: "gulf"},
	{Zone: "plains-a", Region: "plains"},
}

// instancesEach is the number of entry instances of each zone.
const instancesEach = 2

// upstreamsEach is the number of upstreams of each service in each zone.
const upstreamsEach = 2

var services = []service{
	{
		name: "catalogue", method: "GET", slots: 9, connections: 400, serviceTime: 8 * time.Millisecond, bodySize: 4 << 10,
		profile: settings.Profile{Name: "retry-freely", Class: "short", Repeat: model.RepeatFreely, MaxAttempts: 3,
			Deadline: settings.Duration(3 * time.Second), QueueLimit: 500, Spill: model.SpillAny},
	},
	{
		name: "deposits", method: "POST", slots: 8, connections: 400, serviceTime: 12 * time.Millisecond, bodySize: 256,
		profile: settings.Profile{Name: "never-repeat", Class: "short", Repeat: model.RepeatIfNotRun, MaxAttempts: 3,
			Deadline: settings.Duration(3 * time.Second), QueueLimit: 500, Spill: model.SpillAny},
	},
	{
		name: "drawings", method: "GET", slots: 3, connections: 400, serviceTime: 600 * time.Millisecond, bodySize: 512 << 10,
		profile: settings.Profile{Name: "long-download", Class: "long", Repeat: model.RepeatIfNotRun, MaxAttempts: 2,
			Deadline: settings.Duration(20 * time.Second), QueueLimit: 200, Spill: model.SpillAny},
	},
}

// deployment is everything that runs in the demo.
type deployment struct {
	instances []*anvilcrank.Instance
	upstreams []*fake.Upstream
	journal   *fake.Journal
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

func bootstrap() *settings.Bootstrap {
	b := &settings.Bootstrap{Zones: zones}
	for _, z := range zones {
		for k := range instancesEach {
			b.Roster = append(b.Roster, settings.Member{ID: instanceID(z.Zone, k), Zone: z.Zone})
		}
	}
	for _, s := range services {
		b.Profiles = append(b.Profiles, s.profile)
		b.Services = append(b.Services, settings.Service{Name: s.name, Profile: s.profile.Name})
	}
	return b
}

func instanceID(zone model.Zone, k int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s-%d", zone, k+1))
}

// start starts the instances and the upstreams.
func start(seed uint64) (*deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{journal: fake.NewJournal(), cancel: cancel}
	if err := d.startInstances(ctx, seed); err != nil {
		d.stop()
		return nil, err
	}
	if err := d.startUpstreams(seed); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) startInstances(ctx context.Context, seed uint64) error {
	config := bootstrap()
	var peers []string
	for n, m := range config.Roster {
		i, err := anvilcrank.New(&settings.Settings{
			Instance:     m.ID,
			Zone:         m.Zone,
			Listen:       "127.0.0.1:0",
			PeerListen:   "127.0.0.1:0",
			Peers:        peers,
			Bootstrap:    config,
			RecordEvents: settings.DefaultRecordEvents,
		}, anvilcrank.Options{
			Logger:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
			Seed:        seed + uint64(n),
			OnInvariant: d.invariantFailed,
		})
		if err != nil {
			return err
		}
		peers = append(peers, i.PeerAddress())
		d.instances = append(d.instances, i)
		d.running.Add(1)
		go func() {
			defer d.running.Done()
			_ = i.Run(ctx)
		}()
	}
	return nil
}

func (d *deployment) startUpstreams(seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, s := range services {
		for z, zone := range zones {
			for k := range upstreamsEach {
				u, err := fake.StartUpstream(fake.UpstreamOptions{
					ID:          model.UpstreamID(fmt.Sprintf("%s-%s-%d", s.name, zone.Zone, k+1)),
					Service:     s.name,
					Zone:        zone.Zone,
					Slots:       s.slots,
					Connections: s.connections,
					ServiceTime: s.serviceTime,
					BodySize:    s.bodySize,
					Instances:   d.addressesFrom(z*instancesEach + k%instancesEach),
					Journal:     d.journal,
					Seed:        rng.Uint64(),
				})
				if err != nil {
					return err
				}
				d.upstreams = append(d.upstreams, u)
			}
		}
	}
	return nil
}

// addressesFrom lists the addresses of all instances, beginning with one.
func (d *deployment) addressesFrom(first int) []string {
	var list []string
	for k := range d.instances {
		list = append(list, d.instances[(first+k)%len(d.instances)].Address())
	}
	return list
}

// upstream returns the upstream with the identifier.
func (d *deployment) upstream(id model.UpstreamID) *fake.Upstream {
	for _, u := range d.upstreams {
		if u.ID() == id {
			return u
		}
	}
	return nil
}

func (d *deployment) invariantFailed(f event.InvariantFailed) {
	d.violation(fmt.Sprintf("invariant %s: %s", f.Name, f.Detail))
}

func (d *deployment) violation(text string) {
	d.mu.Lock()
	d.violations = append(d.violations, text)
	d.mu.Unlock()
}

// stop ends everything at once.
func (d *deployment) stop() {
	for _, u := range d.upstreams {
		u.Kill()
	}
	d.cancel()
	d.running.Wait()
}
