package directory

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// MaxAddresses is the largest number of addresses that clients read from a
	// lookup result.
	MaxAddresses = 64
	// TTL is how long clients cache a lookup result. Some cache it three times as
	// long, so a stopping instance may still receive connections for up to 6 s.
	TTL = 2 * time.Second
	// minAddresses is the number of addresses below which a lookup result is
	// extended: instances in other zones of the client's region are added. With a
	// second address, clients can connect to another instance when the first one
	// is lost.
	minAddresses = 2
)

// Entry describes an entry instance that accepts new client connections.
type Entry struct {
	Instance model.InstanceID
	Address  string
	Zone     model.Zone
}

// View is the data for lookups and readiness checks. It is immutable once it
// has been published.
type View struct {
	// Ready is true if this is an entry instance that accepts new client
	// connections.
	Ready bool
	// Stopping is true from when this instance was requested to stop.
	Stopping bool
	// Table holds the routes in force, nil until the configuration has been
	// received.
	Table *catalog.Table
	// Entries lists the entry instances that lookups may return.
	Entries []Entry
	// Regions holds the region of each configured zone.
	Regions map[model.Zone]model.Region
}

// Resolve returns the addresses of entry instances for a client in the given
// zone and region. These are the instances in the zone. If there are fewer than
// minAddresses, the instances in other zones of the region follow. If there is
// no instance in the region, all instances are returned. At most MaxAddresses
// are returned. The given region is used only for zones that are not in
// Regions.
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

// addresses returns the sorted addresses of the entry instances that match.
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
