package view

import (
	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// LookupTTL is how long a caller may cache a look-up. A stopping instance
// serves callers for this long after look-ups have stopped naming it.
const LookupTTL = 5 * model.Duration(1e9)

// MaxLookupInstances bounds the instances named in one answer.
const MaxLookupInstances = 4

// Instance is an entry instance that callers may use.
type Instance struct {
	ID      model.InstanceID `json:"id"`
	Address string           `json:"address"`
	Zone    model.Zone       `json:"zone"`
	// Region of the zone; not part of answers.
	Region model.Region `json:"-"`
}

// View is the published state.
type View struct {
	// Self is this instance.
	Self Instance
	// Config is the configuration in force, nil if there is none yet.
	Config *model.Config
	// Instances lists the entry instances that take new callers, in identifier
	// order.
	Instances []Instance
	// Stopping is true once a graceful stop began.
	Stopping bool
}

// Answer is the answer to a look-up.
type Answer struct {
	Service   model.ServiceName `json:"service"`
	Instances []Instance        `json:"instances"`
	TTLMillis int64             `json:"ttl_ms"`
	KeyZone   model.Zone        `json:"key_zone"`
	Version   model.Version     `json:"version"`
}

// Lookup names the instances that a client in the zone should use for the
// service: those of the zone first, then those of the region, then the rest.
// Within each group the order is rotated by the client, so that clients spread
// over the instances. An empty zone stands for this instance's zone. It returns
// nil if the service is unknown or no configuration is known.
func (v *View) Lookup(service model.ServiceName, zone model.Zone, client string) *Answer {
	if v == nil || v.Config.Profile(service) == nil {
		return nil
	}
	if zone == "" {
		zone = v.Self.Zone
	}
	region := v.Config.RegionOf(zone)
	if region == "" {
		zone, region = v.Self.Zone, v.Self.Region
	}
	a := &Answer{
		Service:   service,
		Instances: make([]Instance, 0, MaxLookupInstances),
		TTLMillis: LookupTTL.Milliseconds(),
		KeyZone:   zone,
		Version:   v.Config.Version,
	}
	start := xxhash.Sum64String(client)
	a.appendGroup(v.Instances, start, func(i *Instance) bool { return i.Zone == zone })
	a.appendGroup(v.Instances, start, func(i *Instance) bool { return i.Zone != zone && i.Region == region })
	a.appendGroup(v.Instances, start, func(i *Instance) bool { return i.Region != region })
	return a
}

// appendGroup appends the instances of a group, beginning with the one that the
// client's hash selects within the group.
func (a *Answer) appendGroup(all []Instance, hash uint64, in func(*Instance) bool) {
	size := 0
	for k := range all {
		if in(&all[k]) {
			size++
		}
	}
	if size == 0 {
		return
	}
	first := int(hash % uint64(size))
	// The first walk takes the members from first on, the second one the rest.
	for _, wrapped := range []bool{false, true} {
		rank := 0
		for k := range all {
			if !in(&all[k]) {
				continue
			}
			if (rank < first) == wrapped && len(a.Instances) < MaxLookupInstances {
				a.Instances = append(a.Instances, all[k])
			}
			rank++
		}
	}
}
