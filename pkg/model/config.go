package model

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Version is the version of a configuration: the log position of the change that
// produced it. The version in force at an instance never decreases.
type Version uint64

// RetryPolicy determines when a request may be dispatched to an upstream again.
// In settings and in the API, its key is "repeat".
type RetryPolicy string

const (
	// RetryNever dispatches every request at most once.
	RetryNever RetryPolicy = "never"
	// RetryIfNotRun dispatches a request again only if the earlier attempt was
	// provably not executed.
	RetryIfNotRun RetryPolicy = "if-not-run"
	// RetryIdempotent retries like RetryIfNotRun, and also retries idempotent
	// requests whose outcome is unknown. Its name in settings and in the API is
	// "freely".
	RetryIdempotent RetryPolicy = "freely"
)

// Profile is a steering profile: a named set of limits and retry rules that one or
// more services use.
type Profile struct {
	Name string `json:"name"`
	// Class is the expected execution time of the requests, "short" or "long".
	// WorkClass returns it as a Class.
	Class string `json:"class"`
	// Repeat is the retry policy. The field keeps its old name because stored digests
	// of changes include the name.
	Repeat RetryPolicy `json:"repeat"`
	// MaxAttempts is the highest number of dispatches of one request, including
	// hedges.
	MaxAttempts int `json:"max_attempts"`
	// Hedge allows a second, concurrent attempt of a slow idempotent request.
	Hedge bool `json:"hedge"`
	// DeadlineMs is the timeout of a request in milliseconds. If the instance that
	// owns an upstream fails, the new owner cannot know which slots of the upstream
	// are occupied. It counts all of them as in use until every request with this
	// timeout must have ended.
	DeadlineMs int64 `json:"deadline_ms"`
	// QueueLimit is the highest number of requests of one service that wait for an
	// upstream at one instance.
	QueueLimit int `json:"queue_limit"`
	// IdempotentMethods lists methods that are treated as idempotent in addition to
	// GET, HEAD and OPTIONS.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// Spill determines where requests may be executed: in their own zone ("zone"),
	// in any zone of their region ("region") or anywhere ("any").
	Spill string `json:"spill"`
}

// Timeout returns DeadlineMs as a Duration.
func (p *Profile) Timeout() Duration { return Duration(p.DeadlineMs) * time.Millisecond }

// WorkClass returns the class of the profile as a Class.
func (p *Profile) WorkClass() Class {
	if p.Class == "long" {
		return Long
	}
	return Short
}

// Spill values of a profile.
const (
	SpillZone   = "zone"
	SpillRegion = "region"
	SpillAny    = "any"
)

// MaxTimeout is the longest timeout that a profile may have. If the instance that
// owned an upstream has failed, the new owner cannot know which requests still
// occupy slots of the upstream. It counts all slots of the upstream as in use until
// those requests must have timed out, so MaxTimeout also bounds this recovery time.
const MaxTimeout = 10 * time.Minute

// Validate returns an error for the first invalid value of the profile.
func (p *Profile) Validate() error {
	switch {
	case p.Name == "":
		return fmt.Errorf("profile: name is empty")
	case p.Class != "short" && p.Class != "long":
		return fmt.Errorf("profile %s: class %q is not short or long", p.Name, p.Class)
	case p.Repeat != RetryNever && p.Repeat != RetryIfNotRun && p.Repeat != RetryIdempotent:
		return fmt.Errorf("profile %s: repeat %q is not never, if-not-run or freely", p.Name, p.Repeat)
	case p.MaxAttempts < 1 || p.MaxAttempts > 10:
		return fmt.Errorf("profile %s: max_attempts %d is not in 1 to 10", p.Name, p.MaxAttempts)
	case p.DeadlineMs < 1 || p.Timeout() > MaxTimeout:
		return fmt.Errorf("profile %s: deadline_ms %d is not in 1 to %d", p.Name, p.DeadlineMs, MaxTimeout.Milliseconds())
	case p.QueueLimit < 0 || p.QueueLimit > 100_000:
		return fmt.Errorf("profile %s: queue_limit %d is not in 0 to 100000", p.Name, p.QueueLimit)
	case p.Spill != SpillZone && p.Spill != SpillRegion && p.Spill != SpillAny:
		return fmt.Errorf("profile %s: spill %q is not zone, region or any", p.Name, p.Spill)
	case p.Repeat == RetryNever && (p.MaxAttempts > 1 || p.Hedge):
		return fmt.Errorf("profile %s: repeat never allows one attempt and no hedge", p.Name)
	}
	return nil
}

// Service assigns a profile to a service.
type Service struct {
	Name    ServiceName `json:"name"`
	Profile string      `json:"profile"`
}

// Shift moves a share of a service's traffic from one region to another.
type Shift struct {
	ID      string      `json:"id"`
	Service ServiceName `json:"service"`
	From    Region      `json:"from"`
	To      Region      `json:"to"`
	// Percent is the percentage of the service's requests arriving in From that are
	// sent to To, 0 to 100.
	Percent int `json:"percent"`
	// Cap is the highest number of shifted requests in flight in To, over all
	// instances.
	Cap int `json:"cap"`
}

// Drain takes a target out of service.
type Drain struct {
	// Kind is "upstream", "instance", "zone" or "region".
	Kind string `json:"kind"`
	// Target is the name of the upstream, instance, zone or region.
	Target string `json:"target"`
}

// Kinds of drain targets.
const (
	DrainUpstream = "upstream"
	DrainInstance = "instance"
	DrainZone     = "zone"
	DrainRegion   = "region"
)

// RosterEntry is one instance in the roster, the list of all instances of the
// deployment. Each cap of a traffic shift and each bandwidth budget is divided
// among all instances of the roster, whether they are running or not. Even during
// a partition, the parts therefore never add up to more than the cap or budget.
type RosterEntry struct {
	ID   InstanceID `json:"id"`
	Zone Zone       `json:"zone"`
}

// ZoneInfo assigns an availability zone to its region.
type ZoneInfo struct {
	Zone   Zone   `json:"zone"`
	Region Region `json:"region"`
}

// Link limits the bandwidth that requests and responses may use between two
// regions.
type Link struct {
	A Region `json:"a"`
	B Region `json:"b"`
	// BytesPerSecond is the bandwidth limit in each direction.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Config is the dynamic configuration that operators change. A published Config is
// immutable; each change creates a new one.
type Config struct {
	Version  Version       `json:"version"`
	Zones    []ZoneInfo    `json:"zones"`
	Roster   []RosterEntry `json:"roster"`
	Profiles []Profile     `json:"profiles"`
	Services []Service     `json:"services"`
	Shifts   []Shift       `json:"shifts,omitempty"`
	Drains   []Drain       `json:"drains,omitempty"`
	Links    []Link        `json:"links,omitempty"`
}

// ProfileOf returns the profile of the service, or nil if the service is unknown.
func (c *Config) ProfileOf(service ServiceName) *Profile {
	if c == nil {
		return nil
	}
	for i := range c.Services {
		if c.Services[i].Name == service {
			return c.ProfileByName(c.Services[i].Profile)
		}
	}
	return nil
}

// ProfileByName returns the profile with the name, or nil if there is none.
func (c *Config) ProfileByName(name string) *Profile {
	for i := range c.Profiles {
		if c.Profiles[i].Name == name {
			return &c.Profiles[i]
		}
	}
	return nil
}

// RegionOf returns the region of the zone, or "" if the zone is unknown.
func (c *Config) RegionOf(zone Zone) Region {
	if c == nil {
		return ""
	}
	for i := range c.Zones {
		if c.Zones[i].Zone == zone {
			return c.Zones[i].Region
		}
	}
	return ""
}

// IsDrained reports whether the configuration contains a drain of the target.
func (c *Config) IsDrained(kind, target string) bool {
	if c == nil {
		return false
	}
	for i := range c.Drains {
		if c.Drains[i].Kind == kind && c.Drains[i].Target == target {
			return true
		}
	}
	return false
}

// RosterInRegion returns the instances of the roster that are in the region,
// sorted by identifier.
func (c *Config) RosterInRegion(region Region) []InstanceID {
	var ids []InstanceID
	for _, r := range c.Roster {
		if c.RegionOf(r.Zone) == region {
			ids = append(ids, r.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// LedgerGroupSize is the number of ledger replicas of an idempotency key.
const LedgerGroupSize = 3

// LedgerGroup returns the instances that store the idempotency keys whose home is
// the given zone. It prefers instances of this zone, then instances of other zones
// of the same region, then all others, each sorted by identifier. It returns fewer
// than LedgerGroupSize instances only if the roster is smaller.
func (c *Config) LedgerGroup(home Zone) []InstanceID {
	regions := make(map[Zone]Region, len(c.Zones))
	for _, z := range c.Zones {
		regions[z.Zone] = z.Region
	}
	type candidate struct {
		id   InstanceID
		rank int
	}
	// replicas holds the preferred instances found so far, most preferred first.
	var replicas []candidate
	for _, r := range c.Roster {
		cand := candidate{id: r.ID, rank: 2}
		switch {
		case r.Zone == home:
			cand.rank = 0
		case regions[r.Zone] == regions[home]:
			cand.rank = 1
		}
		pos := sort.Search(len(replicas), func(i int) bool {
			return replicas[i].rank > cand.rank || replicas[i].rank == cand.rank && replicas[i].id > cand.id
		})
		if pos < LedgerGroupSize {
			replicas = slices.Insert(replicas, pos, cand)
			replicas = replicas[:min(len(replicas), LedgerGroupSize)]
		}
	}
	ids := make([]InstanceID, len(replicas))
	for i := range ids {
		ids[i] = replicas[i].id
	}
	return ids
}

// FieldError is an error in one element of a configuration.
type FieldError struct {
	// Path identifies the element, such as "services[2]".
	Path string
	Err  error
}

// Error implements the error interface.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func fieldErrorf(list string, i int, format string, args ...any) error {
	return &FieldError{Path: fieldPath(list, i), Err: fmt.Errorf(format, args...)}
}

// Validate returns a *FieldError for the first value that is invalid or refers to
// an element that the configuration does not contain.
func (c *Config) Validate() error {
	zones := map[Zone]bool{}
	regions := map[Region]bool{}
	for i, z := range c.Zones {
		if z.Zone == "" || z.Region == "" {
			return fieldErrorf("zones", i, "zone and region must be set")
		}
		if zones[z.Zone] {
			return fieldErrorf("zones", i, "zone %s is listed twice", z.Zone)
		}
		zones[z.Zone] = true
		regions[z.Region] = true
	}
	ids := map[InstanceID]bool{}
	for i, r := range c.Roster {
		if r.ID == "" || ids[r.ID] {
			return fieldErrorf("roster", i, "instance %q is empty or listed twice", r.ID)
		}
		if !zones[r.Zone] {
			return fieldErrorf("roster", i, "instance %s is in unknown zone %q", r.ID, r.Zone)
		}
		ids[r.ID] = true
	}
	profiles := map[string]bool{}
	for i := range c.Profiles {
		if err := c.Profiles[i].Validate(); err != nil {
			return &FieldError{Path: fieldPath("profiles", i), Err: err}
		}
		if profiles[c.Profiles[i].Name] {
			return fieldErrorf("profiles", i, "profile %s is listed twice", c.Profiles[i].Name)
		}
		profiles[c.Profiles[i].Name] = true
	}
	services := map[ServiceName]bool{}
	for i, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return fieldErrorf("services", i, "service %q is empty or listed twice", s.Name)
		}
		if !profiles[s.Profile] {
			return fieldErrorf("services", i, "service %s has unknown profile %q", s.Name, s.Profile)
		}
		services[s.Name] = true
	}
	if err := validateShifts(c.Shifts, services, regions); err != nil {
		return err
	}
	for i, l := range c.Links {
		if !regions[l.A] || !regions[l.B] || l.A == l.B || l.BytesPerSecond <= 0 {
			return fieldErrorf("links", i, "%s to %s needs two known regions and a positive rate", l.A, l.B)
		}
	}
	return validateDrains(c.Drains)
}

func validateShifts(shifts []Shift, services map[ServiceName]bool, regions map[Region]bool) error {
	type origin struct {
		service ServiceName
		from    Region
	}
	seen := map[string]bool{}
	origins := map[origin]bool{}
	for i, s := range shifts {
		if s.ID == "" || seen[s.ID] {
			return fieldErrorf("shifts", i, "id %q is empty or listed twice", s.ID)
		}
		seen[s.ID] = true
		if !services[s.Service] {
			return fieldErrorf("shifts", i, "shift %s: unknown service %q", s.ID, s.Service)
		}
		if !regions[s.From] || !regions[s.To] || s.From == s.To {
			return fieldErrorf("shifts", i, "shift %s: from %q and to %q must be two known regions", s.ID, s.From, s.To)
		}
		if s.Percent < 0 || s.Percent > 100 || s.Cap < 0 {
			return fieldErrorf("shifts", i, "shift %s: percent %d is not in 0 to 100 or cap %d is negative", s.ID, s.Percent, s.Cap)
		}
		// Two shifts with the same origin would compete for the same requests.
		o := origin{s.Service, s.From}
		if origins[o] {
			return fieldErrorf("shifts", i, "shift %s: service %s already has a shift from %s", s.ID, s.Service, s.From)
		}
		origins[o] = true
	}
	return nil
}

func validateDrains(drains []Drain) error {
	for i, d := range drains {
		switch d.Kind {
		case DrainUpstream, DrainInstance, DrainZone, DrainRegion:
		default:
			return fieldErrorf("drains", i, "kind %q is not upstream, instance, zone or region", d.Kind)
		}
		if d.Target == "" {
			return fieldErrorf("drains", i, "target is empty")
		}
	}
	return nil
}
