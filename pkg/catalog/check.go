package catalog

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// maxObjectiveOverTimeout is how much a route's latency objective may exceed
// its timeout. As documented for operators, a route is invalid if the
// difference is this value or more.
const maxObjectiveOverTimeout = time.Minute

// Check validates a change of items against the current state. The whole change
// is accepted or rejected. An item whose version is not above the current one
// has no effect, so only its content is validated and not its references: a
// resent change stays acceptable after the items it refers to have been
// removed.
func (s *State) Check(items []model.Item) Result {
	changed := make(map[model.ItemKey]model.Item, len(items))
	for i := range items {
		item := &items[i]
		if err := validate(item); err != nil {
			return Result{Code: result.InvalidChange, Detail: err.Error()}
		}
		current, ok := s.items[item.Key]
		if ok && current.Version == item.Version && !sameContent(&current, item) {
			return Result{Code: result.VersionConflict,
				Detail: fmt.Sprintf("%s %q version %d has other content", item.Key.Kind, item.Key.Name, item.Version)}
		}
		if ok && current.Version >= item.Version {
			continue
		}
		if other, alreadyChanged := changed[item.Key]; alreadyChanged && other.Version >= item.Version {
			continue
		}
		changed[item.Key] = *item
	}
	if err := s.checkReferences(changed); err != nil {
		return Result{Code: result.InvalidChange, Detail: err.Error()}
	}
	return Result{}
}

// itemAfterChange returns the item that has the key after a change, and whether
// there is one. changed holds the items that the change replaces or removes.
func (s *State) itemAfterChange(changed map[model.ItemKey]model.Item, k model.ItemKey) (model.Item, bool) {
	if i, ok := changed[k]; ok {
		return i, !i.Removed
	}
	i, ok := s.items[k]
	return i, ok && !i.Removed
}

// checkReferences checks the references between the items that will be in force
// after a change: routes refer to existing services, and no two routes have the
// same host and prefix.
func (s *State) checkReferences(changed map[model.ItemKey]model.Item) error {
	type hostPrefix struct{ host, prefix string }
	var routeNames map[hostPrefix]string
	for k, item := range changed {
		switch {
		case k.Kind == model.RouteItem && !item.Removed:
			for _, split := range item.Route.Splits {
				if _, ok := s.itemAfterChange(changed, model.ItemKey{Kind: model.ServiceItem, Name: string(split.Service)}); !ok {
					return fmt.Errorf("route %q names the unknown service %q", k.Name, split.Service)
				}
			}
			if routeNames == nil {
				routeNames = map[hostPrefix]string{}
				for _, r := range s.routesAfterChange(changed) {
					p := hostPrefix{r.Route.Host, r.Route.Prefix}
					if other, ok := routeNames[p]; ok {
						return fmt.Errorf("routes %q and %q share host and prefix", other, r.Key.Name)
					}
					routeNames[p] = r.Key.Name
				}
			}
		case k.Kind == model.ServiceItem && item.Removed:
			for _, r := range s.routesAfterChange(changed) {
				for _, split := range r.Route.Splits {
					if string(split.Service) == k.Name {
						return fmt.Errorf("route %q needs the removed service %q", r.Key.Name, k.Name)
					}
				}
			}
		}
	}
	return nil
}

// routesAfterChange returns the routes that exist after a change.
func (s *State) routesAfterChange(changed map[model.ItemKey]model.Item) []model.Item {
	var list []model.Item
	for k, i := range s.items {
		if _, replaced := changed[k]; !replaced && k.Kind == model.RouteItem && !i.Removed {
			list = append(list, i)
		}
	}
	for k, i := range changed {
		if k.Kind == model.RouteItem && !i.Removed {
			list = append(list, i)
		}
	}
	return list
}

// validate checks the content of an item, but not its references to other
// items.
func validate(i *model.Item) error {
	if i.Key.Name == "" {
		return fmt.Errorf("%s without a name", i.Key.Kind)
	}
	if i.Removed {
		return nil
	}
	switch {
	case i.Key.Kind == model.RouteItem && i.Route != nil:
		return validateRoute(i.Key.Name, i.Route)
	case i.Key.Kind == model.ServiceItem && i.Service != nil:
		if i.Service.MaxConnections < 0 || i.Service.ColdDuration < 0 || i.Service.ColdRequestRate < 0 {
			return fmt.Errorf("service %q has a negative bound", i.Key.Name)
		}
	case i.Key.Kind == model.LimitsItem && i.Limits != nil:
		l := i.Limits
		if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
			return fmt.Errorf("limits have a bound that is not positive")
		}
	default:
		return fmt.Errorf("%s %q has no content", i.Key.Kind, i.Key.Name)
	}
	return nil
}

// validateRoute checks the content of a route, but not whether the services to
// which it refers exist.
func validateRoute(name string, r *model.Route) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("route %q has no host", name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %q: the path prefix %q does not begin and end with a slash", name, r.Prefix)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %q allows %d attempts", name, r.MaxAttempts)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q has a timeout of %v", name, r.Timeout)
	case r.Objective < 0 || r.Objective >= r.Timeout+maxObjectiveOverTimeout:
		return fmt.Errorf("route %q has an objective of %v with a timeout of %v", name, r.Objective, r.Timeout)
	case r.Kind > model.Download:
		return fmt.Errorf("route %q has the unknown kind %d", name, r.Kind)
	case len(r.Splits) == 0:
		return fmt.Errorf("route %q has no service", name)
	}
	var sum float64
	for _, split := range r.Splits {
		if split.Weight < 0 {
			return fmt.Errorf("route %q gives service %q a weight of %v", name, split.Service, split.Weight)
		}
		sum += split.Weight
	}
	if !(sum > 0) || math.IsInf(sum, 0) {
		return fmt.Errorf("route %q has no positive finite weight", name)
	}
	return nil
}
