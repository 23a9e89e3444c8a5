package distribution

import (
	"reflect"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// update returns the message that turns base into c; a nil base gives the whole
// configuration.
func makeUpdate(base, c *model.Config) *message.ConfigUpdate {
	if base == nil {
		return &message.ConfigUpdate{Sections: message.AllSections, Config: *c}
	}
	u := &message.ConfigUpdate{BaseVersion: base.Version}
	u.Config.Version = c.Version
	differ := message.Sections(0)
	mark := func(section message.Sections, equal bool) {
		if !equal {
			differ |= section
		}
	}
	mark(message.SectionZones, slices.Equal(base.Zones, c.Zones))
	mark(message.SectionRoster, slices.Equal(base.Roster, c.Roster))
	mark(message.SectionProfiles, slices.EqualFunc(base.Profiles, c.Profiles, equalProfiles))
	mark(message.SectionServices, slices.Equal(base.Services, c.Services))
	mark(message.SectionShifts, slices.Equal(base.Shifts, c.Shifts))
	mark(message.SectionDrains, slices.Equal(base.Drains, c.Drains))
	mark(message.SectionLinks, slices.Equal(base.Links, c.Links))
	u.Sections = differ
	copySections(&u.Config, c, differ)
	return u
}

// equalProfiles compares all fields, later ones included. An absent list of
// methods and an empty one count as different, which only costs bytes.
func equalProfiles(a, b model.Profile) bool { return reflect.DeepEqual(a, b) }

// patch returns the configuration that the message makes of base, or nil if it
// is a delta from another version.
func applyUpdate(base *model.Config, u *message.ConfigUpdate) *model.Config {
	if u.BaseVersion == 0 {
		c := u.Config
		return &c
	}
	if versionOf(base) != u.BaseVersion {
		return nil
	}
	c := *base
	c.Version = u.Config.Version
	copySections(&c, &u.Config, u.Sections)
	return &c
}

func copySections(to, from *model.Config, sections message.Sections) {
	if sections&message.SectionZones != 0 {
		to.Zones = from.Zones
	}
	if sections&message.SectionRoster != 0 {
		to.Roster = from.Roster
	}
	if sections&message.SectionProfiles != 0 {
		to.Profiles = from.Profiles
	}
	if sections&message.SectionServices != 0 {
		to.Services = from.Services
	}
	if sections&message.SectionShifts != 0 {
		to.Shifts = from.Shifts
	}
	if sections&message.SectionDrains != 0 {
		to.Drains = from.Drains
	}
	if sections&message.SectionLinks != 0 {
		to.Links = from.Links
	}
}
