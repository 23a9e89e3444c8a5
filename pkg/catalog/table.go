package catalog

import (
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
	// hosts holds the routes by lower-case host name and prefix.
	hosts    map[string]map[string]NamedRoute
	services map[model.ServiceName]*model.ServiceSpec
	limits   *model.ClientLimits
}

// newTable returns the table of the items that are not removed. Invalid items,
// which an instance of another version may have sent, are left out.
func newTable(items map[model.ItemKey]model.Item) *Table {
	t := &Table{hosts: map[string]map[string]NamedRoute{}, services: map[model.ServiceName]*model.ServiceSpec{}}
	for k, i := range items {
		switch {
		case i.Removed || !isUsable(&i):
		case k.Kind == model.RouteItem:
			t.addRoute(NamedRoute{k.Name, i.Version, i.Route})
		case k.Kind == model.ServiceItem:
			t.services[model.ServiceName(k.Name)] = i.Service
		case k.Kind == model.LimitsItem:
			t.limits = i.Limits
		}
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

// addRoute adds a route. Two operators can add routes with the same host and prefix
// concurrently; the route with the higher version then takes precedence.
func (t *Table) addRoute(r NamedRoute) {
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]NamedRoute{}
	}
	other, ok := t.hosts[host][r.Prefix]
	if !ok || r.Version > other.Version || r.Version == other.Version && r.Name < other.Name {
		t.hosts[host][r.Prefix] = r
	}
}

// Route returns the route of a host with the longest prefix of the path, and
// whether there is one. The port of the host is ignored. Prefixes end with a slash,
// so only the parts of the path up to one of its slashes are looked up.
func (t *Table) Route(host, path string) (NamedRoute, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	routes := t.hosts[strings.ToLower(host)]
	if routes == nil {
		return NamedRoute{}, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := routes[path[:end+1]]; ok {
			return r, true
		}
	}
	return NamedRoute{}, false
}

// Service returns the description of a service, nil if there is none.
func (t *Table) Service(name model.ServiceName) *model.ServiceSpec { return t.services[name] }

// Limits returns the limits for client requests, nil if none are configured.
func (t *Table) Limits() *model.ClientLimits { return t.limits }
