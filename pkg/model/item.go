package model

// ItemKind says what a configuration item describes.
type ItemKind uint8

// Kinds of items.
const (
	RouteItem ItemKind = iota + 1
	ServiceItem
	LimitsItem
)

// String returns the name used in logs.
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

// ItemKey names a configuration item.
type ItemKey struct {
	Kind ItemKind `cbor:"1,keyasint,omitempty"`
	Name string   `cbor:"2,keyasint,omitempty"`
}

// Less orders keys by kind and name.
func (k ItemKey) Less(o ItemKey) bool {
	if k.Kind != o.Kind {
		return k.Kind < o.Kind
	}
	return k.Name < o.Name
}

// ItemVersion is an operator's version of one item. The highest one is in force,
// whether it sets or removes the item.
type ItemVersion uint64

// Item is one version of a configuration item. The field of its kind is set
// unless the item is removed.
type Item struct {
	Key     ItemKey       `cbor:"1,keyasint,omitempty"`
	Version ItemVersion   `cbor:"2,keyasint,omitempty"`
	Removed bool          `cbor:"3,keyasint,omitempty"`
	Route   *Route        `cbor:"4,keyasint,omitempty"`
	Service *ServiceSpec  `cbor:"5,keyasint,omitempty"`
	Limits  *ClientLimits `cbor:"6,keyasint,omitempty"`
	// Document is the item as the operator sent it, in a canonical form. It is
	// returned on reads; two items are the same if their documents are.
	Document []byte `cbor:"7,keyasint,omitempty"`
}

// RouteKind says what the requests of a route allow.
type RouteKind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Download requests are idempotent and have large responses.
	Download
)

// String returns the name used in metrics and logs.
func (k RouteKind) String() string {
	return [...]string{"idempotent", "non_idempotent", "download"}[k]
}

// Split is the share of a route's requests that goes to a service.
type Split struct {
	Service ServiceName `cbor:"1,keyasint,omitempty"`
	Weight  float64     `cbor:"2,keyasint,omitempty"`
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Host   string    `cbor:"1,keyasint,omitempty"`
	Prefix string    `cbor:"2,keyasint,omitempty"`
	Kind   RouteKind `cbor:"3,keyasint,omitempty"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout Duration `cbor:"4,keyasint,omitempty"`
	// Objective is the time within which a response should be complete.
	Objective Duration `cbor:"5,keyasint,omitempty"`
	// Priority is the rank of the route; 0 is the highest.
	Priority int     `cbor:"6,keyasint,omitempty"`
	Splits   []Split `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the most upstreams that one request is sent to.
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
	// Affinity says that an upstream works faster on an object it has handled.
	Affinity bool `cbor:"9,keyasint,omitempty"`
	// HomeRegions are the only regions where requests may run; empty allows all.
	HomeRegions []Region `cbor:"10,keyasint,omitempty"`
}

// ServiceSpec describes the upstreams of a service.
type ServiceSpec struct {
	HealthPath string `cbor:"1,keyasint,omitempty"`
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// ColdDuration is how long an upstream is cold after it started under traffic.
	ColdDuration Duration `cbor:"3,keyasint,omitempty"`
	// ColdRequestRate is how many requests a second a cold upstream bears.
	ColdRequestRate float64 `cbor:"4,keyasint,omitempty"`
}

// ClientLimits bound what a client may send.
type ClientLimits struct {
	MaxHeaderBytes int64    `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64    `cbor:"2,keyasint,omitempty"`
	HeaderTimeout  Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout    Duration `cbor:"4,keyasint,omitempty"`
}

// Evacuation says whether new requests keep away from a zone's upstreams.
type Evacuation struct {
	Zone   Zone `cbor:"1,keyasint,omitempty"`
	Active bool `cbor:"2,keyasint,omitempty"`
	// Position is the position of the order in the replicated log.
	Position uint64 `cbor:"3,keyasint,omitempty"`
}
