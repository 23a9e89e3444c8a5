package catalog

import (
	"slices"
	"strings"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// NamedRoute is a route with its name and version.
type NamedRoute struct {
	Name    string
	Version model.ItemVersion
	*model.Route
}

// Table holds the routes, services and client limits in force, indexed for the
// routing of requests. It is immutable.
type Table struct {
	// hosts holds the routes by lower-case host name, those with the longest
	// prefix first.
	hosts    map[string][]NamedRoute
	services map[model.ServiceName]*model.ServiceSpec
	limits   *model.ClientLimits
}

// newTable returns the table of the items that are not removed. Invalid items,
// which an instance of another version may have sent, are left out.
func newTable(items map[model.ItemKey]model.Item) *Table {
	t := &Table{hosts: map[string][]NamedRoute{}, services: map[model.ServiceName]*model.ServiceSpec{}}
	for k, i := range items {
		switch {
		case i.Removed || !isUsable(&i):
		case k.Kind == model.RouteItem:
			host := strings.ToLower(i.Route.Host)
			t.hosts[host] = append(t.hosts[host], NamedRoute{k.Name, i.Version, i.Route})
		case k.Kind == model.ServiceItem:
			t.services[model.ServiceName(k.Name)] = i.Service
		case k.Kind == model.LimitsItem:
			t.limits = i.Limits
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b NamedRoute) int {
			if d := len(b.Prefix) - len(a.Prefix); d != 0 {
				return d
			}
			// Two operators can add routes with the same host and prefix concurrently.
			// The route with the higher version takes precedence.
			if a.Version != b.Version {
				return compareFromLess(a.Version > b.Version)
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return t
}

// isUsable reports whether the table can use an item.
func isUsable(i *model.Item) bool {
	switch i.Key.Kind {
	case model.RouteItem:
		return i.Route != nil && validateRoute(i.Key.Name, i.Route) == nil
	case model.ServiceItem:
		return i.Service != nil
	case model.LimitsItem:
		return i.Limits != nil
	}
	return false
}

// Route returns the route of a host with the longest prefix of the path, and
// whether there is one. The port of the host is ignored.
func (t *Table) Route(host, path string) (NamedRoute, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return NamedRoute{}, false
}

// Service returns the description of a service, nil if there is none.
func (t *Table) Service(name model.ServiceName) *model.ServiceSpec { return t.services[name] }

// Limits returns the limits for client requests, nil if none are configured.
func (t *Table) Limits() *model.ClientLimits { return t.limits }
