package directory

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// MaxAddresses is the largest number of addresses that clients read from an
	// answer.
	MaxAddresses = 64
	// TTL is how long clients cache an answer. Some cache it three times as long,
	// so that clients use a stopping instance for up to 6 s.
	TTL = 2 * time.Second
	// minAddresses is the number of instances in an answer, if the zone and its
	// region have that many. A second address gives clients another instance to
	// connect to when the first one is lost.
	minAddresses = 2
)

// Entry is an entry instance that accepts new connections.
type Entry struct {
	Instance model.InstanceID
	Address  string
	Zone     model.Zone
}

// View is the data for lookups and readiness checks. It is immutable.
type View struct {
	// Ready is true on an entry instance that accepts new connections.
	Ready bool
	// Stopping is true while the instance shuts down.
	Stopping bool
	// Table holds the routes in force, nil before any configuration is known.
	Table   *catalog.Table
	Entries []Entry
	Regions map[model.Zone]model.Region
}

// Resolve returns the addresses for a client: the instances of its zone, also
// those of its region if the zone has fewer than minAddresses, and all
// instances if the region has none. The region of a configured zone overrides
// the given one.
func (v *View) Resolve(zone model.Zone, region model.Region) []string {
	if configured, ok := v.Regions[zone]; ok {
		region = configured
	}
	addresses := v.addresses(func(e Entry) bool { return e.Zone == zone })
	if len(addresses) < minAddresses {
		addresses = append(addresses, v.addresses(func(e Entry) bool { return e.Zone != zone && v.Regions[e.Zone] == region })...)
	}
	if len(addresses) == 0 {
		addresses = v.addresses(func(Entry) bool { return true })
	}
	return addresses[:min(len(addresses), MaxAddresses)]
}

// addresses returns the sorted addresses of the instances that match.
func (v *View) addresses(match func(Entry) bool) []string {
	var list []string
	for _, e := range v.Entries {
		if match(e) {
			list = append(list, e.Address)
		}
	}
	slices.Sort(list)
	return list
}
