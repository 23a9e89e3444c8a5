package bench

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
)

const (
	// callersPerZone is the number of simulated callers that share the load of
	// an availability zone. Lookups assign callers to instances by a hash, so
	// only several callers per instance spread the load evenly.
	callersPerZone = 8
	numTenants     = 4
)

// arrival is one request of the open-loop load.
type arrival struct {
	// at is the intended send time, as the time since the start of the load.
	at time.Duration
	// serviceIndex and zoneIndex are positions in the services and zones of the
	// deployment plan.
	serviceIndex int
	zoneIndex    int
	// callerIndex is the position of the caller among the callers of its zone.
	callerIndex int
	tenantIndex int
}

// generateArrivals generates the random requests of a run, ordered by intended
// send time. The requests for each service form a Poisson process, whose rate
// depends on the phase of the scenario. The zone, the caller and the tenant of a
// request are uniformly distributed.
func (s *scenario) generateArrivals(plan *deployment.Plan, rng *rand.Rand) []arrival {
	var all []arrival
	for serviceIndex := range plan.Services {
		service := &plan.Services[serviceIndex]
		capacity := float64(service.Upstreams*service.Slots) / service.ServiceTime.Mean.Seconds()
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

// poissonArrivals generates the arrivals of a Poisson process between from and
// until. The parameter rate is the mean number of arrivals per second, and
// newArrival returns the arrival for a send time.
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

// withoutLostRegion returns the requests in all, except those that callers in the
// lost region would send after its loss. It overwrites the slice all.
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
