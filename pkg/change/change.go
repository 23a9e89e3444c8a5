package change

import (
	"crypto/sha256"
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Length limits, in bytes, of the identifier and the reason of a change. A
// change outside these limits is malformed.
const (
	// MinIDLength is long enough that two changes are unlikely to get the same
	// identifier by accident.
	MinIDLength     = 8
	MaxReasonLength = 1024
)

// Change is a configuration change that an operator requests.
type Change struct {
	// ID identifies the change. A resent change has the same identifier.
	ID string `json:"change_id"`
	// Expected is the version that the change replaces. The change is rejected
	// if this is not the latest version.
	Expected model.Version `json:"expected_version"`
	Author   string        `json:"author"`
	// Time is when an instance received the change from the operator.
	Time      model.Time `json:"time"`
	Reason    string     `json:"reason"`
	Operation Operation  `json:"operation"`
}

// Kind identifies what an operation does, for example SetProfile.
type Kind string

// Kinds of operations.
const (
	// Bootstrap sets the first configuration of a new deployment.
	Bootstrap     Kind = "bootstrap"
	SetProfile    Kind = "set_profile"
	DeleteProfile Kind = "delete_profile"
	BindService   Kind = "bind_service"
	SetShift      Kind = "set_shift"
	DeleteShift   Kind = "delete_shift"
	AddDrain      Kind = "add_drain"
	RemoveDrain   Kind = "remove_drain"
	SetRoster     Kind = "set_roster"
	SetLinks      Kind = "set_links"
	// RollBack brings back the content of an earlier version as a new version.
	RollBack Kind = "roll_back"
)

// Operation describes what a change does. Only the fields of its kind are set.
type Operation struct {
	Kind Kind `json:"kind"`
	// Config is the configuration that Bootstrap sets.
	Config *model.Config `json:"config,omitempty"`
	// Profile is the profile that SetProfile adds or replaces.
	Profile *model.Profile `json:"profile,omitempty"`
	// Service is the service that BindService adds or replaces, with its profile.
	Service *model.Service `json:"service,omitempty"`
	// Shift is the traffic shift that SetShift adds or replaces.
	Shift *model.Shift `json:"shift,omitempty"`
	// Drain is the drain that AddDrain adds or RemoveDrain removes.
	Drain *model.Drain `json:"drain,omitempty"`
	// Name is the name of the profile that DeleteProfile deletes, or the
	// identifier of the shift that DeleteShift deletes.
	Name string `json:"name,omitempty"`
	// Zones and Roster are the lists that SetRoster sets.
	Zones  []model.ZoneInfo    `json:"zones,omitempty"`
	Roster []model.RosterEntry `json:"roster,omitempty"`
	// Links lists the bandwidth budgets between regions that SetLinks sets. An
	// empty list removes all budgets.
	Links []model.Link `json:"links,omitempty"`
	// Version is the earlier version whose content RollBack brings back.
	Version model.Version `json:"version,omitempty"`
}

// Summary identifies an accepted change.
type Summary struct {
	// Version is the version that the change created.
	Version model.Version `json:"version"`
	ID      string        `json:"change_id"`
	Author  string        `json:"author"`
}

// Result states whether a change was accepted, and otherwise why not.
type Result struct {
	Code result.Code `json:"code"`
	// Version is the version that an accepted change created.
	Version model.Version `json:"version,omitempty"`
	// Winner is the accepted change that replaced the version that this change
	// expected. It is set only if Code is result.VersionConflict.
	Winner Summary `json:"winner"`
	Detail string  `json:"detail,omitempty"`
}

// Entry is one accepted change in the history.
type Entry struct {
	Summary
	// Replaced is the version that this change replaced by Summary.Version.
	Replaced model.Version `json:"replaced"`
	Time     model.Time    `json:"time"`
	Reason   string        `json:"reason"`
	Kind     Kind          `json:"kind"`
	// Target is the name of the object that the operation changed, as returned by
	// Operation.Target.
	Target string `json:"target"`
}

// Validate returns an error for the first missing or invalid field. It does not
// check whether the change can be applied to the present configuration.
func (c *Change) Validate() error {
	switch {
	case len(c.ID) < MinIDLength || len(c.ID) > model.MaxNameLength:
		return fmt.Errorf("change_id must have %d to %d characters", MinIDLength, model.MaxNameLength)
	case c.Author == "" || len(c.Author) > model.MaxNameLength:
		return fmt.Errorf("author must have 1 to %d characters", model.MaxNameLength)
	case len(c.Reason) > MaxReasonLength:
		return fmt.Errorf("reason is longer than %d characters", MaxReasonLength)
	}
	return c.Operation.validate()
}

// setFields lists the fields that are set in an operation, in the order in
// which Operation declares them.
func (o *Operation) setFields() []string {
	var set []string
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"config", o.Config != nil}, {"profile", o.Profile != nil}, {"service", o.Service != nil},
		{"shift", o.Shift != nil}, {"drain", o.Drain != nil}, {"name", o.Name != ""},
		{"zones", len(o.Zones) > 0}, {"roster", len(o.Roster) > 0}, {"links", len(o.Links) > 0},
		{"version", o.Version != 0},
	} {
		if f.set {
			set = append(set, f.name)
		}
	}
	return set
}

// requiredFields lists the fields that must be set in each kind of operation.
// All other fields must be unset.
var requiredFields = map[Kind][]string{
	Bootstrap:     {"config"},
	SetProfile:    {"profile"},
	DeleteProfile: {"name"},
	BindService:   {"service"},
	SetShift:      {"shift"},
	DeleteShift:   {"name"},
	AddDrain:      {"drain"},
	RemoveDrain:   {"drain"},
	SetRoster:     {"zones", "roster"},
	SetLinks:      {"links"},
	RollBack:      {"version"},
}

// validate checks that the kind is known and that exactly the fields that the
// kind requires are set. The list of SetLinks may be empty.
func (o *Operation) validate() error {
	required, ok := requiredFields[o.Kind]
	if !ok {
		return fmt.Errorf("operation kind %q is unknown", o.Kind)
	}
	set := o.setFields()
	if o.Kind == SetLinks && len(set) == 0 {
		return nil
	}
	if fmt.Sprint(set) != fmt.Sprint(required) {
		return fmt.Errorf("operation %s needs the fields %v, not %v", o.Kind, required, set)
	}
	return nil
}

// Target returns the name of the object that the operation changes, for the
// history and the logs. It returns "" for Bootstrap, SetRoster and SetLinks,
// which do not change a single object.
func (o *Operation) Target() string {
	switch o.Kind {
	case SetProfile:
		return o.Profile.Name
	case BindService:
		return string(o.Service.Name)
	case SetShift:
		return o.Shift.ID
	case AddDrain, RemoveDrain:
		return o.Drain.Kind + " " + o.Drain.Target
	case DeleteProfile, DeleteShift:
		return o.Name
	case RollBack:
		return fmt.Sprintf("version %d", o.Version)
	}
	return ""
}

// ChangeDigest is a SHA-256 hash that identifies the content of a change.
type ChangeDigest [sha256.Size]byte

// Digest returns the digest of all fields except Time. When a change is resent,
// the instance that receives it sets a new Time, and the digest must stay the
// same.
//
// Digests are stored with the results of changes and compared between
// instances. The values of model types are formatted with %#v, so the package
// name, the type names and the field names are part of the digest. If a type or
// field is renamed, a field is added, or the order of fields is changed, the
// same change gets another digest. The field names of Change and Operation are
// not part of the digest.
func (c *Change) Digest() ChangeDigest {
	h := sha256.New()
	o := &c.Operation
	fmt.Fprintf(h, "%q %d %q %q %q", c.ID, c.Expected, c.Author, c.Reason, o.Kind)
	if o.Config != nil {
		fmt.Fprintf(h, " config %#v", normalizedConfig(o.Config))
	}
	if o.Profile != nil {
		fmt.Fprintf(h, " profile %#v", normalizedProfile(*o.Profile))
	}
	if o.Service != nil {
		fmt.Fprintf(h, " service %q", []string{string(o.Service.Name), o.Service.Profile})
	}
	if o.Shift != nil {
		fmt.Fprintf(h, " shift %#v", *o.Shift)
	}
	if o.Drain != nil {
		fmt.Fprintf(h, " drain %#v", *o.Drain)
	}
	fmt.Fprintf(h, " %q %d %d %#v %d %#v %d %#v", o.Name, o.Version,
		len(o.Zones), append([]model.ZoneInfo{}, o.Zones...),
		len(o.Roster), append([]model.RosterEntry{}, o.Roster...),
		len(o.Links), append([]model.Link{}, o.Links...))
	return ChangeDigest(h.Sum(nil))
}

// normalizedConfig returns the configuration with empty lists in place of nil
// ones. A nil list may be empty after it was encoded and decoded, and this must
// not change the digest.
func normalizedConfig(c *model.Config) model.Config {
	n := *c
	n.Zones = append([]model.ZoneInfo{}, c.Zones...)
	n.Roster = append([]model.RosterEntry{}, c.Roster...)
	n.Profiles = append([]model.Profile{}, c.Profiles...)
	for i := range n.Profiles {
		n.Profiles[i] = normalizedProfile(n.Profiles[i])
	}
	n.Services = append([]model.Service{}, c.Services...)
	n.Shifts = append([]model.Shift{}, c.Shifts...)
	n.Drains = append([]model.Drain{}, c.Drains...)
	n.Links = append([]model.Link{}, c.Links...)
	return n
}

// normalizedProfile returns the profile with an empty list of methods in place
// of a nil one.
func normalizedProfile(p model.Profile) model.Profile {
	p.IdempotentMethods = append([]string{}, p.IdempotentMethods...)
	return p
}
