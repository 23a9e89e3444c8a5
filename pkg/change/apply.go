package change

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// configAfter returns the configuration that results when the operation is
// applied to the present configuration, which stays unchanged.
func (s *State) configAfter(o *Operation) (*model.Config, error) {
	if o.Kind == Bootstrap {
		c := *o.Config
		return &c, c.Validate()
	}
	if o.Kind == RollBack {
		return s.configAt(o.Version)
	}
	c := *s.config
	if err := applyToSection(&c, o); err != nil {
		return nil, err
	}
	return &c, c.Validate()
}

// applyToSection applies the operation to the lists of c that the operation
// concerns. It replaces these lists and never modifies them in place, because
// earlier versions of the configuration share them.
func applyToSection(c *model.Config, o *Operation) error {
	var err error
	switch o.Kind {
	case SetProfile:
		c.Profiles = replaceOrAppend(c.Profiles, *o.Profile, func(p model.Profile) bool { return p.Name == o.Profile.Name })
	case DeleteProfile:
		c.Profiles, err = removeMatching(c.Profiles, "profile", o.Name, func(p model.Profile) bool { return p.Name == o.Name })
	case BindService:
		c.Services = replaceOrAppend(c.Services, *o.Service, func(v model.Service) bool { return v.Name == o.Service.Name })
	case SetShift:
		c.Shifts = replaceOrAppend(c.Shifts, *o.Shift, func(v model.Shift) bool { return v.ID == o.Shift.ID })
	case DeleteShift:
		c.Shifts, err = removeMatching(c.Shifts, "shift", o.Name, func(v model.Shift) bool { return v.ID == o.Name })
	case AddDrain:
		if err = checkDrain(c, *o.Drain); err == nil {
			c.Drains = replaceOrAppend(c.Drains, *o.Drain, func(d model.Drain) bool { return d == *o.Drain })
		}
	case RemoveDrain:
		c.Drains, err = removeMatching(c.Drains, "drain", o.Target(), func(d model.Drain) bool { return d == *o.Drain })
	case SetRoster:
		c.Zones, c.Roster = o.Zones, o.Roster
	case SetLinks:
		c.Links = o.Links
	}
	return err
}

// replaceOrAppend returns a copy of the list in which item replaces the first
// element that matches. If none matches, item is appended.
func replaceOrAppend[T any](list []T, item T, match func(T) bool) []T {
	replaced := slices.Clone(list)
	if i := slices.IndexFunc(replaced, match); i >= 0 {
		replaced[i] = item
		return replaced
	}
	return append(replaced, item)
}

// removeMatching returns a copy of the list without the first element that
// matches. If none matches, it returns an error that contains kind and name.
func removeMatching[T any](list []T, kind, name string, match func(T) bool) ([]T, error) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		return nil, fmt.Errorf("no %s %q", kind, name)
	}
	return slices.Delete(slices.Clone(list), i, i+1), nil
}

// checkDrain rejects a drain that exists already or whose target does not
// exist. Upstreams are not part of the configuration, so a drain of any upstream
// name is accepted.
func checkDrain(c *model.Config, d model.Drain) error {
	if c.IsDrained(d.Kind, d.Target) {
		return fmt.Errorf("%s %q is drained already", d.Kind, d.Target)
	}
	exists := true
	switch d.Kind {
	case model.DrainInstance:
		exists = slices.ContainsFunc(c.Roster, func(r model.RosterEntry) bool { return string(r.ID) == d.Target })
	case model.DrainZone:
		exists = slices.ContainsFunc(c.Zones, func(z model.ZoneInfo) bool { return string(z.Zone) == d.Target })
	case model.DrainRegion:
		exists = slices.ContainsFunc(c.Zones, func(z model.ZoneInfo) bool { return string(z.Region) == d.Target })
	}
	if !exists {
		return fmt.Errorf("no %s %q", d.Kind, d.Target)
	}
	return nil
}

// configAt returns the configuration of an earlier version, or an error if that
// version is no longer kept.
func (s *State) configAt(to model.Version) (*model.Config, error) {
	for i := range s.recentConfigs {
		if s.recentConfigs[i].Version == to {
			c := *s.recentConfigs[i]
			return &c, c.Validate()
		}
	}
	return nil, fmt.Errorf("version %d is not among the last %d versions", to, MaxRollbackVersions)
}
