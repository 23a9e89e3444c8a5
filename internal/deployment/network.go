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

// network delays what passes between zones. It implements peer.Network.
type network struct {
	plan      *Plan
	scheduler *latency.Scheduler
	zoneOf    map[model.InstanceID]model.Zone
	links     map[linkKey]*latency.Link

	mu sync.RWMutex
	// upstreamZones gives the zone of an upstream by its address.
	upstreamZones map[string]model.Zone
}

type linkKey struct{ from, to model.Region }

func newNetwork(ctx context.Context, p *Plan) *network {
	n := &network{
		plan:          p,
		scheduler:     latency.NewScheduler(ctx),
		zoneOf:        map[model.InstanceID]model.Zone{},
		links:         map[linkKey]*latency.Link{},
		upstreamZones: map[string]model.Zone{},
	}
	for _, z := range p.Zones {
		for k := range z.Instances {
			n.zoneOf[instanceID(z.Name, k)] = z.Name
		}
	}
	for _, a := range p.Regions() {
		for _, b := range p.Regions() {
			if a != b && p.Network.LinkRate > 0 {
				n.links[linkKey{a, b}] = latency.NewLink(int64(p.Network.LinkRate))
			}
		}
	}
	return n
}

// oneWay returns the latency between two zones.
func (n *network) oneWay(a, b model.Zone) time.Duration {
	switch {
	case a == b:
		return 0
	case n.plan.RegionOf(a) == n.plan.RegionOf(b):
		return n.plan.Network.InterZoneLatency
	}
	return n.plan.Network.InterRegionLatency
}

// Deliver implements peer.Network.
func (n *network) Deliver(from, to model.InstanceID, send func()) {
	delay := n.oneWay(n.zoneOf[from], n.zoneOf[to])
	if delay == 0 {
		send()
		return
	}
	n.scheduler.At(time.Now().Add(delay), send)
}

// addUpstream makes the zone of an upstream known to dialers.
func (n *network) addUpstream(address string, zone model.Zone) {
	n.mu.Lock()
	n.upstreamZones[address] = zone
	n.mu.Unlock()
}

// dialer returns the dialer of an instance in the zone. A connection costs the
// fixed time and one round trip.
func (n *network) dialer(zone model.Zone) proxy.DialFunc {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		n.mu.RLock()
		target, ok := n.upstreamZones[address]
		n.mu.RUnlock()
		if !ok {
			target = zone
		}
		oneWay := n.oneWay(zone, target)
		if !latency.Sleep(ctx, n.plan.Network.ConnectDelay+2*oneWay) {
			return nil, ctx.Err()
		}
		c, err := (&net.Dialer{}).DialContext(ctx, kind, address)
		if err != nil || oneWay == 0 {
			return c, err
		}
		from, to := n.plan.RegionOf(zone), n.plan.RegionOf(target)
		return latency.NewConn(c, latency.Path{
			OneWayDelay: oneWay,
			Outbound:    n.links[linkKey{from, to}],
			Inbound:     n.links[linkKey{to, from}],
		}), nil
	}
}

// maxLinkWait returns the longest time that data waited for a link.
func (n *network) maxLinkWait() time.Duration {
	var most time.Duration
	for _, l := range n.links {
		most = max(most, l.MaxQueueTime())
	}
	return most
}
