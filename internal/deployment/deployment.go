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

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// Deployment is a running deployment.
type Deployment struct {
	Plan      Plan
	Upstreams []*fake.Upstream
	Journal   *fake.Journal

	config  *settings.Bootstrap
	network *network
	ctx     context.Context
	cancel  context.CancelFunc
	members []*member

	mu         sync.Mutex
	killed     map[string]bool
	violations []string
}

// member is one entry instance over its restarts.
type member struct {
	id          model.InstanceID
	zone        model.Zone
	listen      string
	peerListen  string
	instance    *anvilcrank.Instance
	cancel      context.CancelFunc
	done        chan error
	incarnation uint64
}

// Start starts the instances and the upstreams.
func Start(p Plan) (*Deployment, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{Plan: p, Journal: fake.NewJournal(), ctx: ctx, cancel: cancel, killed: map[string]bool{}}
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
	for _, m := range d.config.Roster {
		member := &member{id: m.ID, zone: m.Zone, listen: loopback, peerListen: loopback}
		if err := d.run(member); err != nil {
			return err
		}
		d.members = append(d.members, member)
	}
	return nil
}

// run starts a process of the member. It keeps its addresses over restarts.
func (d *Deployment) run(m *member) error {
	var peers []string
	for _, other := range d.members {
		if other != m {
			peers = append(peers, other.peerListen)
		}
	}
	i, err := anvilcrank.New(&settings.Settings{
		Instance:       m.id,
		Zone:           m.zone,
		Listen:         m.listen,
		PeerListen:     m.peerListen,
		Peers:          peers,
		Bootstrap:      d.config,
		RecordedEvents: d.Plan.RecordEvents,
	}, anvilcrank.Options{
		Logger:      &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Network:     d.network,
		Dial:        d.network.dialer(m.zone),
		Seed:        d.Plan.Seed + uint64(len(d.members))<<8 + m.incarnation,
		Policy:      d.Plan.Policy,
		IgnoreSlots: d.Plan.BindEarly,
		OnInvariant: d.invariantFailed,
	})
	if err != nil {
		return fmt.Errorf("instance %s: %w", m.id, err)
	}
	m.instance = i
	if m.incarnation == 0 {
		m.listen, m.peerListen = i.Address(), i.PeerAddress()
	}
	m.incarnation++
	m.done = make(chan error, 1)
	ctx, cancel := context.WithCancel(d.ctx)
	m.cancel = cancel
	go func() { m.done <- i.Run(ctx) }()
	return nil
}

func (d *Deployment) startUpstreams() error {
	rng := rand.New(rand.NewPCG(d.Plan.Seed, 1))
	for _, s := range d.Plan.Services {
		for k := range s.Upstreams {
			zone := d.Plan.Zones[k%len(d.Plan.Zones)]
			n := k / len(d.Plan.Zones)
			u, err := fake.StartUpstream(fake.UpstreamOptions{
				ID:            upstreamID(s.Name, zone.Zone, n),
				Service:       s.Name,
				Zone:          zone.Zone,
				Region:        zone.Region,
				Slots:         s.Slots,
				Connections:   s.Connections,
				Work:          s.Work,
				BodySize:      s.BodySize,
				QueueLimit:    s.QueueLimit,
				Instances:     d.AddressesFrom(zone.Zone, n),
				Journal:       d.Journal,
				AnnounceToAll: d.Plan.BindEarly,
				Seed:          rng.Uint64(),
			})
			if err != nil {
				return err
			}
			d.network.addUpstream(u.Address(), zone.Zone)
			d.Upstreams = append(d.Upstreams, u)
		}
	}
	return nil
}

// AddressesFrom lists the addresses of all instances: those of the zone first,
// beginning with the n-th, then the others in the order of the roster.
func (d *Deployment) AddressesFrom(zone model.Zone, n int) []string {
	var first, rest []string
	for _, m := range d.members {
		if m.zone == zone {
			first = append(first, m.listen)
		}
	}
	if len(first) > 0 {
		n %= len(first)
		first = append(first[n:], first[:n]...)
	}
	start := 0
	for i, m := range d.members {
		if m.zone == zone {
			start = i
		}
	}
	for k := range d.members {
		if m := d.members[(start+k)%len(d.members)]; m.zone != zone {
			rest = append(rest, m.listen)
		}
	}
	return append(first, rest...)
}

// Instances lists the identifiers of the instances in the order of the roster.
func (d *Deployment) Instances() []model.InstanceID {
	var ids []model.InstanceID
	for _, m := range d.members {
		ids = append(ids, m.id)
	}
	return ids
}

// Upstream returns the upstream with the identifier, nil if there is none.
func (d *Deployment) Upstream(id model.UpstreamID) *fake.Upstream {
	for _, u := range d.Upstreams {
		if u.ID() == id {
			return u
		}
	}
	return nil
}

// Configure puts a configuration in force at every instance.
func (d *Deployment) Configure(change func(*model.Config)) {
	c := d.config.Config()
	c.Version++
	change(&c)
	for _, m := range d.members {
		m.instance.LoadConfig(c)
	}
}

// Restart stops an instance gracefully and starts it again.
func (d *Deployment) Restart(id model.InstanceID) error {
	m := d.member(id)
	if m == nil {
		return fmt.Errorf("restart: no instance %s", id)
	}
	m.instance.Stop()
	select {
	case err := <-m.done:
		if err != nil {
			return fmt.Errorf("restart: instance %s: %w", id, err)
		}
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
	m.cancel()
	return d.run(m)
}

func (d *Deployment) member(id model.InstanceID) *member {
	for _, m := range d.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// KillUpstream ends an upstream as a crash would.
func (d *Deployment) KillUpstream(u *fake.Upstream) {
	d.markKilled(string(u.ID()))
	u.Kill()
}

// KillRegion ends all instances and upstreams of a region as a loss of power
// would.
func (d *Deployment) KillRegion(region model.Region) {
	for _, m := range d.members {
		if d.Plan.RegionOf(m.zone) == region {
			d.markKilled(string(m.id))
			m.cancel()
		}
	}
	for _, u := range d.Upstreams {
		if u.Region() == region {
			d.KillUpstream(u)
		}
	}
}

func (d *Deployment) markKilled(id string) {
	d.mu.Lock()
	d.killed[id] = true
	d.mu.Unlock()
}

// Faulted reports whether a fault has ended the instance that a request went to
// or the upstream that answered it. It is asked when the reply has come, so that
// a break before the fault is not excused.
func (d *Deployment) Faulted(to model.InstanceID, r fake.Reply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed[string(to)] || d.killed[string(r.Upstream)]
}

func (d *Deployment) invariantFailed(f event.InvariantFailed) {
	d.Violation(fmt.Sprintf("invariant %s: %s", f.Name, f.Detail))
}

// Violation records something that must never happen.
func (d *Deployment) Violation(text string) {
	d.mu.Lock()
	d.violations = append(d.violations, text)
	d.mu.Unlock()
}

// CheckSlots records a violation for each upstream that had more requests than
// slots.
func (d *Deployment) CheckSlots() {
	for _, u := range d.Upstreams {
		if s := u.Stats(); s.MaxInUse > s.Slots {
			d.Violation(fmt.Sprintf("%s had %d requests in %d slots", u.ID(), s.MaxInUse, s.Slots))
		}
	}
}

// Violations lists the recorded violations.
func (d *Deployment) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.violations...)
}

// MaxLinkWait returns the longest time that data waited for a link.
func (d *Deployment) MaxLinkWait() time.Duration { return d.network.maxLinkWait() }

// Stop ends everything at once.
func (d *Deployment) Stop() {
	for _, u := range d.Upstreams {
		u.Kill()
	}
	d.cancel()
	for _, m := range d.members {
		<-m.done
	}
}
