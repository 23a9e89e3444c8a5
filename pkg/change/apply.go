package change

import (
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// apply returns the configuration that the operation makes of the given one,
// which stays as it is.
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

// edit changes one section of the configuration. Lists are replaced, never
// written in place, since earlier versions share them.
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

// set returns the list with the item in place of the one that matches, or at
// the end.
func replaceOrAppend[T any](list []T, item T, match func(T) bool) []T {
	out := slices.Clone(list)
	if i := slices.IndexFunc(out, match); i >= 0 {
		out[i] = item
		return out
	}
	return append(out, item)
}

// remove returns the list without the item that matches.
func removeMatching[T any](list []T, what, name string, match func(T) bool) ([]T, error) {
	i := slices.IndexFunc(list, match)
	if i < 0 {
		return nil, fmt.Errorf("no %s %q", what, name)
	}
	return slices.Delete(slices.Clone(list), i, i+1), nil
}

// checkDrain refuses a drain that would have no effect. Upstreams are not part
// of the configuration, so any name is possible there.
func checkDrain(c *model.Config, d model.Drain) error {
	if c.IsDrained(d.Kind, d.Target) {
		return fmt.Errorf("%s %q is drained already", d.Kind, d.Target)
	}
	known := true
	switch d.Kind {
	case model.DrainInstance:
		known = slices.ContainsFunc(c.Roster, func(r model.RosterEntry) bool { return string(r.ID) == d.Target })
	case model.DrainZone:
		known = slices.ContainsFunc(c.Zones, func(z model.ZoneInfo) bool { return string(z.Zone) == d.Target })
	case model.DrainRegion:
		known = slices.ContainsFunc(c.Zones, func(z model.ZoneInfo) bool { return string(z.Region) == d.Target })
	}
	if !known {
		return fmt.Errorf("no %s %q", d.Kind, d.Target)
	}
	return nil
}

// rolledBack returns the content of an earlier version.
func (s *State) configAt(to model.Version) (*model.Config, error) {
	for i := range s.recentConfigs {
		if s.recentConfigs[i].Version == to {
			c := *s.recentConfigs[i]
			return &c, c.Validate()
		}
	}
	return nil, fmt.Errorf("version %d is not among the last %d versions", to, MaxRollbackVersions)
}
