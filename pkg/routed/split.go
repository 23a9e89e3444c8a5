package routed

import (
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// splitter distributes the requests of a route over its services by weight. It
// uses smooth weighted round robin, so that even in a short sequence of
// requests, the shares of the services are close to their weights. version is
// the version of the route. credit holds one credit for each service; each
// request is sent to the service with the highest credit.
type splitter struct {
	version model.ItemVersion
	credit  []float64
}

// splitter returns the splitter of a route. It creates a new one if the route
// has changed.
func (s *State) splitter(r *catalog.NamedRoute) *splitter {
	p := s.splitters[r.Name]
	if p == nil || p.version != r.Version {
		p = &splitter{version: r.Version, credit: make([]float64, len(r.Splits))}
		// The initial credits are random, so that instances do not all send their
		// first request to the same service.
		for i := range p.credit {
			p.credit[i] = s.random.Float64() * r.Splits[i].Weight
		}
		s.splitters[r.Name] = p
	}
	return p
}

// next returns the service for the next request.
func (p *splitter) next(splits []model.Split) model.ServiceName {
	if len(splits) == 1 {
		return splits[0].Service
	}
	best, total := 0, 0.0
	for i, split := range splits {
		p.credit[i] += split.Weight
		total += split.Weight
		if splits[best].Weight == 0 || split.Weight > 0 && p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= total
	return splits[best].Service
}
