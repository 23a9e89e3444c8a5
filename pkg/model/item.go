package model

// ItemKind is the type of resource that a configuration item describes.
type ItemKind uint8

// Kinds of configuration items.
const (
	RouteItem ItemKind = iota + 1
	ServiceItem
	LimitsItem
)

// String returns the name of the kind used in logs.
func (k ItemKind) String() string {
	switch k {
	case RouteItem:
		return "route"
	case ServiceItem:
		return "service"
	case LimitsItem:
		return "limits"
	}
	return "unknown"
}

// ItemKey identifies a configuration item.
type ItemKey struct {
	Kind ItemKind `cbor:"1,keyasint,omitempty"`
	Name string   `cbor:"2,keyasint,omitempty"`
}

// Less orders keys by kind, then by name.
func (k ItemKey) Less(o ItemKey) bool {
	if k.Kind != o.Kind {
		return k.Kind < o.Kind
	}
	return k.Name < o.Name
}

// ItemVersion is the version number that an operator assigns to a change of an
// item. Of all changes of an item, the one with the highest version is in force,
// whether it sets or removes the item.
type ItemVersion uint64

// Item is one version of a configuration item. Unless Removed is true, exactly one
// of Route, Service and Limits is set, as selected by Key.Kind.
type Item struct {
	Key     ItemKey       `cbor:"1,keyasint,omitempty"`
	Version ItemVersion   `cbor:"2,keyasint,omitempty"`
	Removed bool          `cbor:"3,keyasint,omitempty"`
	Route   *Route        `cbor:"4,keyasint,omitempty"`
	Service *ServiceSpec  `cbor:"5,keyasint,omitempty"`
	Limits  *ClientLimits `cbor:"6,keyasint,omitempty"`
	// Document is the item as sent by the operator, in a canonical form. An operator
	// who reads the item receives this form. Two items are equal if their documents
	// are equal.
	Document []byte `cbor:"7,keyasint,omitempty"`
}

// RouteKind specifies whether the requests of a route may be retried and how
// large their responses are.
type RouteKind uint8

const (
	// Idempotent marks a route whose requests may be executed more than once.
	Idempotent RouteKind = iota
	// NonIdempotent marks a route whose requests must be executed at most once.
	NonIdempotent
	// Download marks a route with idempotent requests and large responses.
	Download
)

// String returns the name of the kind used in metrics and logs.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Download:
		return "download"
	}
	return "unknown"
}

// Split assigns a share of a route's requests to a service.
type Split struct {
	Service ServiceName `cbor:"1,keyasint,omitempty"`
	// Weight is the share relative to the other splits of the route.
	Weight float64 `cbor:"2,keyasint,omitempty"`
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Host   string    `cbor:"1,keyasint,omitempty"`
	Prefix string    `cbor:"2,keyasint,omitempty"`
	Kind   RouteKind `cbor:"3,keyasint,omitempty"`
	// Timeout is the longest time that a caller waits for a response.
	Timeout Duration `cbor:"4,keyasint,omitempty"`
	// Objective is the latency objective: the time within which a response should
	// be complete.
	Objective Duration `cbor:"5,keyasint,omitempty"`
	// Priority is the rank of the route; 0 is the highest.
	Priority int     `cbor:"6,keyasint,omitempty"`
	Splits   []Split `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the highest number of times that a request is sent to an
	// upstream.
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
	// UsesAffinity is true if requests for the same object are preferably sent to the
	// same upstream. An upstream that has handled an object before handles it faster.
	UsesAffinity bool `cbor:"9,keyasint,omitempty"`
	// HomeRegions lists the regions where requests may be executed. An empty list
	// allows all regions.
	HomeRegions []Region `cbor:"10,keyasint,omitempty"`
}

// ServiceSpec describes the upstreams of a service.
type ServiceSpec struct {
	// HealthPath is the path of the health endpoint of the upstreams.
	HealthPath string `cbor:"1,keyasint,omitempty"`
	// MaxConnections is the highest number of connections of all callers together
	// to one upstream.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// ColdDuration is how long an upstream remains cold after its start, provided that
	// it receives requests during this time.
	ColdDuration Duration `cbor:"3,keyasint,omitempty"`
	// ColdRequestRate is the number of requests per second that a cold upstream can
	// handle.
	ColdRequestRate float64 `cbor:"4,keyasint,omitempty"`
}

// ClientLimits bounds the size and the duration of requests from clients.
type ClientLimits struct {
	MaxHeaderBytes int64    `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64    `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout    Duration `cbor:"4,keyasint,omitempty"`
}

// Evacuation records whether new requests avoid the upstreams of a zone.
type Evacuation struct {
	Zone   Zone `cbor:"1,keyasint,omitempty"`
	Active bool `cbor:"2,keyasint,omitempty"`
	// Position is the position of the evacuation command in the replicated log. Of
	// all commands for the zone, the one with the highest position is in force.
	Position uint64 `cbor:"3,keyasint,omitempty"`
}
