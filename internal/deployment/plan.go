package deployment

import (
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/settings"
)

// Plan describes a deployment.
type Plan struct {
	Zones    []Zone
	Services []Service
	Network  Network
	// Policy names the policy that selects upstreams; "" is the default.
	Policy string
	// BindEarly sends work at once, so that it queues at upstreams.
	BindEarly bool
	// RecordEvents is how many events each instance keeps for replay.
	RecordEvents int
	Seed         uint64
}

// Zone is an availability zone with its number of entry instances.
type Zone struct {
	Name      model.Zone
	Region    model.Region
	Instances int
}

// Service is a service with its upstreams, which are spread evenly over the
// zones.
type Service struct {
	Name                model.ServiceName
	Profile             settings.Profile
	Method              string
	UsesIdempotencyKeys bool
	Upstreams           int
	Slots               int
	MaxConnections      int
	ServiceTime         fake.ServiceTime
	ResponseBytes       int
	// QueueLimit is the length of the queue at each upstream, 0 for none.
	QueueLimit int
}

// Idempotent reports whether a request of the service may run twice.
func (s *Service) Idempotent() bool { return s.Method == "GET" }

// Network describes latencies and link rates. The zero value adds none.
type Network struct {
	// Connect is the cost of a new connection besides its round trip.
	ConnectDelay       time.Duration
	InterZoneLatency   time.Duration
	InterRegionLatency time.Duration
	// ToClients is the one-way latency between callers and their instances.
	ClientLatency time.Duration
	// LinkRate is the rate between two regions in each direction, 0 for no limit.
	LinkRate settings.Rate
}

// RegionOf returns the region of a zone.
func (p *Plan) RegionOf(zone model.Zone) model.Region {
	for _, z := range p.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Regions lists the regions in the order of the zones.
func (p *Plan) Regions() []model.Region {
	var list []model.Region
	for _, z := range p.Zones {
		if len(list) == 0 || list[len(list)-1] != z.Region {
			list = append(list, z.Region)
		}
	}
	return list
}

// Service returns the service with the name, nil if there is none.
func (p *Plan) Service(name model.ServiceName) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Bootstrap returns the first dynamic configuration.
func (p *Plan) Bootstrap() *settings.Bootstrap {
	b := &settings.Bootstrap{}
	for _, z := range p.Zones {
		b.Zones = append(b.Zones, settings.Zone{Zone: z.Name, Region: z.Region})
		for k := range z.Instances {
			b.Roster = append(b.Roster, settings.RosterEntry{ID: instanceID(z.Name, k), Zone: z.Name})
		}
	}
	for _, s := range p.Services {
		b.Profiles = append(b.Profiles, s.Profile)
		b.Services = append(b.Services, settings.Service{Name: s.Name, Profile: s.Profile.Name})
	}
	regions := p.Regions()
	for i, a := range regions {
		for _, other := range regions[i+1:] {
			if p.Network.LinkRate > 0 {
				b.Links = append(b.Links, settings.Link{A: a, B: other, Rate: p.Network.LinkRate})
			}
		}
	}
	return b
}

func instanceID(zone model.Zone, k int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s-%d", zone, k+1))
}

func upstreamID(service model.ServiceName, zone model.Zone, k int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("%s-%s-%d", service, zone, k+1))
}

// IsLong reports whether the service's work is of the long class.
func (s *Service) IsLong() bool { return s.Profile.Class == "long" }

// UpstreamsOf lists the upstreams of a service in the order of their start.
func (p *Plan) UpstreamsOf(s *Service) []model.UpstreamID {
	var ids []model.UpstreamID
	for k := range s.Upstreams {
		ids = append(ids, upstreamID(s.Name, p.Zones[k%len(p.Zones)].Name, k/len(p.Zones)))
	}
	return ids
}

// SlotsIn returns the slots of a service in a region.
func (p *Plan) SlotsInRegion(s *Service, region model.Region) int {
	n := 0
	for k := range s.Upstreams {
		if p.Zones[k%len(p.Zones)].Region == region {
			n += s.Slots
		}
	}
	return n
}

// InstancesByTurn lists the first instances of all zones, then the second ones.
func (p *Plan) InterleavedInstances() []model.InstanceID {
	var ids []model.InstanceID
	for k := 0; ; k++ {
		before := len(ids)
		for _, z := range p.Zones {
			if k < z.Instances {
				ids = append(ids, instanceID(z.Name, k))
			}
		}
		if len(ids) == before {
			return ids
		}
	}
}
