package deployment

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/latency"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// network simulates the latency between zones and the links between regions. It
// implements peer.Network.
type network struct {
	plan          *Plan
	scheduler     *latency.Scheduler
	instanceZones map[model.InstanceID]model.Zone
	links         map[regionPair]*latency.Link

	mu sync.RWMutex
	// upstreamZones maps the address of an upstream to its zone.
	upstreamZones map[string]model.Zone
}

// regionPair identifies the link that carries data from one region to another.
type regionPair struct{ from, to model.Region }

func newNetwork(ctx context.Context, p *Plan) *network {
	n := &network{
		plan:          p,
		scheduler:     latency.NewScheduler(ctx),
		instanceZones: map[model.InstanceID]model.Zone{},
		links:         map[regionPair]*latency.Link{},
		upstreamZones: map[string]model.Zone{},
	}
	for _, z := range p.Zones {
		for k := range z.Instances {
			n.instanceZones[instanceID(z.Name, k)] = z.Name
		}
	}
	for _, a := range p.Regions() {
		for _, b := range p.Regions() {
			if a != b && p.Network.LinkRate > 0 {
				n.links[regionPair{a, b}] = latency.NewLink(int64(p.Network.LinkRate))
			}
		}
	}
	return n
}

// oneWayLatency returns the simulated one-way latency between two zones.
func (n *network) oneWayLatency(a, b model.Zone) time.Duration {
	switch {
	case a == b:
		return 0
	case n.plan.RegionOf(a) == n.plan.RegionOf(b):
		return n.plan.Network.InterZoneLatency
	}
	return n.plan.Network.InterRegionLatency
}

// Deliver implements peer.Network: it calls send after the latency between the
// zones of the two instances.
func (n *network) Deliver(from, to model.InstanceID, send func()) {
	delay := n.oneWayLatency(n.instanceZones[from], n.instanceZones[to])
	if delay == 0 {
		send()
		return
	}
	n.scheduler.At(time.Now().Add(delay), send)
}

// addUpstream records the zone of an upstream for new connections.
func (n *network) addUpstream(address string, zone model.Zone) {
	n.mu.Lock()
	n.upstreamZones[address] = zone
	n.mu.Unlock()
}

// dialFrom returns the function that opens connections for an instance in the
// zone. Opening a connection takes the connect delay and one round trip.
func (n *network) dialFrom(zone model.Zone) proxy.DialFunc {
	return func(ctx context.Context, transport, address string) (net.Conn, error) {
		n.mu.RLock()
		upstreamZone, ok := n.upstreamZones[address]
		n.mu.RUnlock()
		if !ok {
			upstreamZone = zone
		}
		oneWay := n.oneWayLatency(zone, upstreamZone)
		if !latency.Sleep(ctx, n.plan.Network.ConnectDelay+2*oneWay) {
			return nil, ctx.Err()
		}
		c, err := (&net.Dialer{}).DialContext(ctx, transport, address)
		if err != nil || oneWay == 0 {
			return c, err
		}
		from, to := n.plan.RegionOf(zone), n.plan.RegionOf(upstreamZone)
		return latency.NewConn(c, latency.Path{
			OneWayDelay: oneWay,
			Outbound:    n.links[regionPair{from, to}],
			Inbound:     n.links[regionPair{to, from}],
		}), nil
	}
}

// maxLinkQueueTime returns the longest time that data waited for a link.
func (n *network) maxLinkQueueTime() time.Duration {
	var longest time.Duration
	for _, l := range n.links {
		longest = max(longest, l.MaxQueueTime())
	}
	return longest
}
