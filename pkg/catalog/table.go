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

// Table selects routes. It never changes.
type Table struct {
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]NamedRoute
	services map[model.ServiceName]*model.ServiceSpec
	limits   *model.ClientLimits
}

func newTable(items map[model.ItemKey]model.Item) *Table {
	t := &Table{hosts: map[string][]NamedRoute{}, services: map[model.ServiceName]*model.ServiceSpec{}}
	for k, i := range items {
		switch {
		case i.Removed:
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
			// Two operators can race two routes into one place; the newer one wins.
			if a.Version != b.Version {
				return orderOf(a.Version > b.Version)
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return t
}

// Route returns the route of the host with the longest prefix that begins the
// path.
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

// Limits returns what clients may send, nil if nothing is configured.
func (t *Table) Limits() *model.ClientLimits { return t.limits }
