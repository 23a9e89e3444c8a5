package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxControlGroupSize is the maximum number of members of the control group.
// Each further pair of members makes every commit wait for one more disk.
const maxControlGroupSize = 5

// checkControlGroup validates the control group. It returns the error of the
// first invalid value and its settings key. An even number of members is
// invalid, since such a group tolerates no more losses than a group with one
// member fewer.
func (s *Settings) checkControlGroup() (string, error) {
	if n := len(s.ControlGroup); n > maxControlGroupSize || n > 0 && n%2 == 0 {
		return "control_group", fmt.Errorf("has %d instances, not 1, 3 or 5", n)
	}
	zones := map[model.Zone]model.InstanceID{}
	for i, id := range s.ControlGroup {
		key := fmt.Sprintf("control_group[%d]", i)
		if id == "" || len(id) > model.MaxNameLength {
			return key, fmt.Errorf("must have 1 to %d characters", model.MaxNameLength)
		}
		if slices.Index(s.ControlGroup, id) != i {
			return key, fmt.Errorf("%q is listed twice", id)
		}
		if s.Bootstrap == nil {
			continue
		}
		zone, ok := s.Bootstrap.zoneOf(id)
		if !ok {
			return key, fmt.Errorf("%q is not in the roster", id)
		}
		if other, ok := zones[zone]; ok {
			return key, fmt.Errorf("%q is in zone %q, like %q", id, zone, other)
		}
		zones[zone] = id
	}
	if slices.Contains(s.ControlGroup, s.Instance) && s.Data == "" {
		return "data", errors.New("an instance of the control group needs a data folder")
	}
	return "", nil
}

// zoneOf returns the zone of an instance and whether the roster lists it.
func (b *Bootstrap) zoneOf(id model.InstanceID) (model.Zone, bool) {
	for _, m := range b.Roster {
		if m.ID == id {
			return m.Zone, true
		}
	}
	return "", false
}
