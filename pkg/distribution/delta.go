package distribution

import (
	"reflect"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// makeUpdate returns the message that lets a peer with the configuration base
// compute the configuration c. It contains only the sections that differ. If
// base is nil, the message contains all sections of c.
func makeUpdate(base, c *model.Config) *message.ConfigUpdate {
	if base == nil {
		return &message.ConfigUpdate{Sections: message.AllSections, Config: *c}
	}
	update := &message.ConfigUpdate{BaseVersion: base.Version}
	update.Config.Version = c.Version
	changed := message.Sections(0)
	markUnlessEqual := func(section message.Sections, equal bool) {
		if !equal {
			changed |= section
		}
	}
	markUnlessEqual(message.SectionZones, slices.Equal(base.Zones, c.Zones))
	markUnlessEqual(message.SectionRoster, slices.Equal(base.Roster, c.Roster))
	markUnlessEqual(message.SectionProfiles, slices.EqualFunc(base.Profiles, c.Profiles, equalProfiles))
	markUnlessEqual(message.SectionServices, slices.Equal(base.Services, c.Services))
	markUnlessEqual(message.SectionShifts, slices.Equal(base.Shifts, c.Shifts))
	markUnlessEqual(message.SectionDrains, slices.Equal(base.Drains, c.Drains))
	markUnlessEqual(message.SectionLinks, slices.Equal(base.Links, c.Links))
	update.Sections = changed
	copySections(&update.Config, c, changed)
	return update
}

// equalProfiles compares all fields by reflection, so that it also compares
// fields that are added later. A nil list of methods differs from an empty one;
// an update then contains the profiles although they are equivalent.
func equalProfiles(a, b model.Profile) bool { return reflect.DeepEqual(a, b) }

// applyUpdate returns the configuration that results when the update is applied
// to base. It returns nil if the update is a delta from a version other than
// the version of base.
func applyUpdate(base *model.Config, update *message.ConfigUpdate) *model.Config {
	if update.BaseVersion == 0 {
		c := update.Config
		return &c
	}
	if versionOf(base) != update.BaseVersion {
		return nil
	}
	c := *base
	c.Version = update.Config.Version
	copySections(&c, &update.Config, update.Sections)
	return &c
}

// copySections replaces the given sections of the configuration dst by those
// of src.
func copySections(dst, src *model.Config, sections message.Sections) {
	if sections&message.SectionZones != 0 {
		dst.Zones = src.Zones
	}
	if sections&message.SectionRoster != 0 {
		dst.Roster = src.Roster
	}
	if sections&message.SectionProfiles != 0 {
		dst.Profiles = src.Profiles
	}
	if sections&message.SectionServices != 0 {
		dst.Services = src.Services
	}
	if sections&message.SectionShifts != 0 {
		dst.Shifts = src.Shifts
	}
	if sections&message.SectionDrains != 0 {
		dst.Drains = src.Drains
	}
	if sections&message.SectionLinks != 0 {
		dst.Links = src.Links
	}
}
