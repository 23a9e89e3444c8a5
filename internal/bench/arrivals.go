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
	tenants        = 4
)

// arrival is one request of the open-loop load.
type arrival struct {
	at      time.Duration
	service int
	zone    int
	caller  int
	tenant  int
}

// arrivals draws all requests of a run: a Poisson process for each service, with
// zones, callers and tenants chosen evenly.
func (s *scenario) arrivals(p *deployment.Plan, rng *rand.Rand) []arrival {
	var all []arrival
	for k := range p.Services {
		service := &p.Services[k]
		capacity := float64(service.Upstreams*service.Slots) / service.ServiceTime.Mean.Seconds()
		for i, phase := range s.phases {
			until := s.duration
			if i+1 < len(s.phases) {
				until = s.phases[i+1].From
			}
			all = append(all, poisson(phase.From, until, capacity*phase.Load[k], func(at time.Duration) arrival {
				return arrival{at: at, service: k, zone: rng.IntN(len(p.Zones)),
					caller: rng.IntN(callersPerZone), tenant: rng.IntN(tenants)}
			}, rng)...)
		}
	}
	all = s.withoutLost(p, all)
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// poisson draws arrivals with the mean rate per second.
func poisson(from, until time.Duration, rate float64, make func(time.Duration) arrival, rng *rand.Rand) []arrival {
	var list []arrival
	if rate <= 0 {
		return nil
	}
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return list
		}
		list = append(list, make(at))
	}
}

// withoutLost drops the requests of callers whose region is gone.
func (s *scenario) withoutLost(p *deployment.Plan, all []arrival) []arrival {
	if s.lost == "" {
		return all
	}
	kept := all[:0]
	for _, a := range all {
		if a.at < s.lostAt || p.Zones[a.zone].Region != s.lost {
			kept = append(kept, a)
		}
	}
	return kept
}
