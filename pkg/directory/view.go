package directory

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// MaxAnswer is the most addresses that clients read of an answer.
	MaxAddresses = 64
	// TTL is how long clients keep an answer. Some keep it three times as long, so
	// that a stopping instance is in use for up to 6 s.
	TTL = 2 * time.Second
	// wanted is how many instances an answer holds if the zone and its region have
	// them: one more than a client's first choice, so that a lost instance leaves
	// another to connect to.
	minAddresses = 2
)

// Entry is an entry instance that takes new connections.
type Entry struct {
	Instance model.InstanceID
	Address  string
	Zone     model.Zone
}

// View is what an instance knows for lookups and readiness. It never changes.
type View struct {
	// Ready is true on an entry instance that takes new connections.
	Ready bool
	// Stopping is true while the instance ends.
	Stopping bool
	// Table holds the routes in force, nil before any is known.
	Table   *catalog.Table
	Entries []Entry
	Regions map[model.Zone]model.Region
}

// Resolve returns the addresses for a client: those of its zone, those of its
// region if the zone has few, and those of everywhere if the region has none.
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
