package view

import (
	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// LookupTTL is how long a caller may cache a lookup result. After lookups have
// stopped returning a stopping instance, the instance serves requests for this
// long, because callers may still use cached results that contain the instance.
const LookupTTL = 5 * model.Duration(1e9)

// MaxLookupInstances is the maximum number of instances in a lookup result.
const MaxLookupInstances = 4

// Instance is an entry instance that callers may use.
type Instance struct {
	ID      model.InstanceID `json:"id"`
	Address string           `json:"address"`
	Zone    model.Zone       `json:"zone"`
	// Region is the region of Zone. It is not part of lookup results.
	Region model.Region `json:"-"`
}

// View is one published snapshot of the control state. Only a View that was created
// by New can answer lookups.
type View struct {
	// Self describes the instance that publishes the view.
	Self Instance
	// Config is the configuration in force, nil if there is none yet.
	Config *model.Config
	// Instances lists the entry instances that accept new callers, in identifier
	// order.
	Instances []Instance
	// Stopping is true once a graceful stop of this instance has begun.
	Stopping bool

	index lookupIndex
}

// LookupResult contains the instances that a client should use for a service.
type LookupResult struct {
	Service   model.ServiceName `json:"service"`
	Instances []Instance        `json:"instances"`
	TTLMillis int64             `json:"ttl_ms"`
	// KeyZone is the home zone that the client should write into its idempotency
	// keys.
	KeyZone model.Zone `json:"key_zone"`
	// Version is the configuration version in force at the answering instance.
	Version model.Version `json:"version"`
}

// Lookup returns the instances that a client in the zone should use for the
// service: instances of the zone first, then of the same region, then of other
// regions. Within each group the client's hash rotates the order, so that clients
// spread over the instances. If the zone is empty or unknown, this instance's zone
// is used instead. Lookup returns nil if the service is unknown or there is no
// configuration.
func (v *View) Lookup(service model.ServiceName, zone model.Zone, client string) *LookupResult {
	if v == nil || v.Config.ProfileOf(service) == nil {
		return nil
	}
	if zone == "" {
		zone = v.Self.Zone
	}
	region := v.Config.RegionOf(zone)
	if region == "" {
		zone, region = v.Self.Zone, v.Self.Region
	}
	a := &LookupResult{
		Service:   service,
		Instances: make([]Instance, 0, MaxLookupInstances),
		TTLMillis: LookupTTL.Milliseconds(),
		KeyZone:   zone,
		Version:   v.Config.Version,
	}
	hash := xxhash.Sum64String(client)
	a.appendRotated(v.index.byZone[zone], hash)
	a.appendRotated(v.index.otherZonesInRegion[zone], hash)
	a.appendOtherRegions(v.Instances, hash, region)
	return a
}

// appendRotated appends the instances of a list, starting at the index that the
// client's hash selects, until the result has MaxLookupInstances.
func (a *LookupResult) appendRotated(list []Instance, hash uint64) {
	n := uint64(len(list))
	for k := uint64(0); k < n && len(a.Instances) < MaxLookupInstances; k++ {
		a.Instances = append(a.Instances, list[(hash+k)%n])
	}
}

// appendOtherRegions appends the instances outside of the given region, starting
// at the index that the client's hash selects, until the result has
// MaxLookupInstances.
func (a *LookupResult) appendOtherRegions(all []Instance, hash uint64, region model.Region) {
	n := uint64(len(all))
	for k := uint64(0); k < n && len(a.Instances) < MaxLookupInstances; k++ {
		if i := &all[(hash+k)%n]; i.Region != region {
			a.Instances = append(a.Instances, *i)
		}
	}
}

// lookupIndex groups the instances of a view by zone and region. A lookup then
// reads only the instances that it returns, unless it needs other regions.
type lookupIndex struct {
	byZone map[model.Zone][]Instance
	// otherZonesInRegion lists, for each zone, the instances in other zones of its
	// region.
	otherZonesInRegion map[model.Zone][]Instance
}

// New returns a view with the given content. The instances must be in identifier
// order.
func New(self Instance, config *model.Config, instances []Instance, stopping bool) *View {
	v := &View{Self: self, Config: config, Instances: instances, Stopping: stopping}
	v.index.byZone = map[model.Zone][]Instance{}
	regions := map[model.Region][]Instance{}
	for _, i := range instances {
		v.index.byZone[i.Zone] = append(v.index.byZone[i.Zone], i)
		regions[i.Region] = append(regions[i.Region], i)
	}
	if config == nil {
		return v
	}
	v.index.otherZonesInRegion = make(map[model.Zone][]Instance, len(config.Zones))
	for _, z := range config.Zones {
		for _, i := range regions[z.Region] {
			if i.Zone != z.Zone {
				v.index.otherZonesInRegion[z.Zone] = append(v.index.otherZonesInRegion[z.Zone], i)
			}
		}
	}
	return v
}
