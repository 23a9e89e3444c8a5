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
	// Policy is the name of the policy that selects upstreams; "" selects the
	// default.
	Policy string
	// IgnoreSlots selects the behaviour of a baseline: instances send requests
	// at once, without counting slots, so that requests queue at upstreams.
	IgnoreSlots bool
	// RecordedEvents is the number of events that each instance keeps for
	// replay.
	RecordedEvents int
	Seed           uint64
}

// Zone is an availability zone with its number of entry instances.
type Zone struct {
	Name      model.Zone
	Region    model.Region
	Instances int
}

// Service is a service and its upstreams, which are spread evenly over the zones.
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
	// QueueLimit is the length of the request queue at each upstream, 0 for no
	// queue.
	QueueLimit int
}

// Idempotent reports whether a request to the service may be executed more than
// once.
func (s *Service) Idempotent() bool { return s.Method == "GET" }

// Network describes latencies and link rates. The zero value has no latency and
// no limits.
type Network struct {
	// ConnectDelay is the time that a new connection takes in addition to its
	// round trip.
	ConnectDelay       time.Duration
	InterZoneLatency   time.Duration
	InterRegionLatency time.Duration
	// ClientLatency is the one-way latency between callers and instances.
	ClientLatency time.Duration
	// LinkRate is the bandwidth of the link between two regions, separately for
	// each direction; 0 means no limit.
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

// Regions returns the regions in the order of the zones. Zones of the same region
// must be adjacent.
func (p *Plan) Regions() []model.Region {
	var regions []model.Region
	for _, z := range p.Zones {
		if len(regions) == 0 || regions[len(regions)-1] != z.Region {
			regions = append(regions, z.Region)
		}
	}
	return regions
}

// Service returns the service with the name, nil if none has it.
func (p *Plan) Service(name model.ServiceName) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Bootstrap returns the first configuration of the deployment.
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

func instanceID(zone model.Zone, index int) model.InstanceID {
	return model.InstanceID(fmt.Sprintf("%s-%d", zone, index+1))
}

func upstreamID(service model.ServiceName, zone model.Zone, index int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("%s-%s-%d", service, zone, index+1))
}

// IsLong reports whether requests to the service are of the long class.
func (s *Service) IsLong() bool { return s.Profile.Class == "long" }

// UpstreamsOf returns the upstreams of a service in the order in which they are
// started.
func (p *Plan) UpstreamsOf(s *Service) []model.UpstreamID {
	var ids []model.UpstreamID
	for k := range s.Upstreams {
		ids = append(ids, upstreamID(s.Name, p.Zones[k%len(p.Zones)].Name, k/len(p.Zones)))
	}
	return ids
}

// SlotsInRegion returns the total number of slots of a service's upstreams in a
// region.
func (p *Plan) SlotsInRegion(s *Service, region model.Region) int {
	slots := 0
	for k := range s.Upstreams {
		if p.Zones[k%len(p.Zones)].Region == region {
			slots += s.Slots
		}
	}
	return slots
}

// InterleavedInstances returns the first instance of each zone, then the second
// instance of each zone, and so on.
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
