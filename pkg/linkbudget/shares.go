package linkbudget

import "github.com/anvilcrank/anvilcrank/pkg/model"

// longPercent is the percentage of a share that long bodies may use, so that the
// rest of the bandwidth remains for short bodies.
const longPercent = 80

// Share is the bandwidth that one instance may use for bodies sent from one region
// to another.
type Share struct {
	From, To model.Region
	// BytesPerSecond limits the bodies of all classes together.
	BytesPerSecond int64
	// LongBytesPerSecond limits the long bodies: those of requests of the class
	// model.Long.
	LongBytesPerSecond int64
}

// Shares returns the shares of an instance. An instance in either region of a pair
// passes bodies in both directions: request bodies in one, response bodies in the
// other. Therefore the budget of each direction is divided evenly among the
// instances of both regions.
func Shares(c *model.Config, id model.InstanceID) []Share {
	if c == nil {
		return nil
	}
	region, found := regionOf(c, id)
	if !found {
		return nil
	}
	var list []Share
	for _, l := range c.Links {
		if l.A != region && l.B != region {
			continue
		}
		users := len(c.RosterInRegion(l.A)) + len(c.RosterInRegion(l.B))
		rate := l.BytesPerSecond / int64(users)
		for _, d := range [][2]model.Region{{l.A, l.B}, {l.B, l.A}} {
			list = append(list, Share{From: d[0], To: d[1], BytesPerSecond: rate, LongBytesPerSecond: rate * longPercent / 100})
		}
	}
	return list
}

// regionOf returns the region of an instance. It returns false if the instance is
// not in the roster.
func regionOf(c *model.Config, id model.InstanceID) (model.Region, bool) {
	for _, r := range c.Roster {
		if r.ID == id {
			return c.RegionOf(r.Zone), true
		}
	}
	return "", false
}
