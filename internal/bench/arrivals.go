package bench

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
)

const (
	// callersPerZone callers share the load of a zone. Look-ups spread callers
	// over instances by a hash, so a few more than instances are needed.
	callersPerZone = 8
	numTenants     = 4
)

// arrival is one request of the open-loop load.
type arrival struct {
	at           time.Duration
	serviceIndex int
	zoneIndex    int
	callerIndex  int
	tenantIndex  int
}

// arrivals draws all requests of a run: a Poisson process for each service, with
// zones, callers and tenants chosen evenly.
func (s *scenario) generateArrivals(plan *deployment.Plan, rng *rand.Rand) []arrival {
	var all []arrival
	for serviceIndex := range plan.Services {
		service := &plan.Services[serviceIndex]
		capacity := float64(service.Upstreams*service.Slots) / service.Work.Mean.Seconds()
		for i, phase := range s.phases {
			until := s.duration
			if i+1 < len(s.phases) {
				until = s.phases[i+1].Start
			}
			all = append(all, poissonArrivals(phase.Start, until, capacity*phase.Load[serviceIndex], func(at time.Duration) arrival {
				return arrival{at: at, serviceIndex: serviceIndex, zoneIndex: rng.IntN(len(plan.Zones)),
					callerIndex: rng.IntN(callersPerZone), tenantIndex: rng.IntN(numTenants)}
			}, rng)...)
		}
	}
	all = s.withoutLostRegion(plan, all)
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// poisson draws arrivals with the mean rate per second.
func poissonArrivals(from, until time.Duration, rate float64, newArrival func(time.Duration) arrival, rng *rand.Rand) []arrival {
	var arrivals []arrival
	if rate <= 0 {
		return nil
	}
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return arrivals
		}
		arrivals = append(arrivals, newArrival(at))
	}
}

// withoutLost drops the requests of callers whose region is gone.
func (s *scenario) withoutLostRegion(plan *deployment.Plan, all []arrival) []arrival {
	if s.lostRegion == "" {
		return all
	}
	kept := all[:0]
	for _, a := range all {
		if a.at < s.lostAt || plan.Zones[a.zoneIndex].Region != s.lostRegion {
			kept = append(kept, a)
		}
	}
	return kept
}
