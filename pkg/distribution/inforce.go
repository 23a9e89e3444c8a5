package distribution

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// inForce holds the configuration in force and those on their way to it.
type inForce struct {
	config *model.Config
	// recent holds the latest versions in force, oldest first.
	recent []*model.Config
	// saving is being written to disk; next is to be written after it.
	saving, next *model.Config
	// candidate is the highest version offered to an instance without a
	// configuration; it is taken at joinUntil, or once all peers answered.
	candidate *model.Config
	joinUntil model.Time
	answered  map[model.InstanceID]bool
}

// Config returns the configuration in force, nil if there is none.
func (s *State) Config() *model.Config { return s.inForce.config }

// Version returns the version in force, 0 if there is none.
func (s *State) Version() model.Version { return versionOf(s.inForce.config) }

func versionOf(c *model.Config) model.Version {
	if c == nil {
		return 0
	}
	return c.Version
}

// Load puts a configuration in force that was saved before, or that is known
// not to be older than any this instance has shown.
func (s *State) Load(at model.Time, c *model.Config, out *event.Effects) {
	if c.Version > s.Version() {
		s.install(at, c, out)
	}
}

// offer brings a committed configuration. An instance without one first hears
// what others have, since the offered one may be older than what an earlier
// process of this instance had in force.
func (s *State) offer(at model.Time, c *model.Config, out *event.Effects) {
	if s.inForce.config != nil {
		s.adopt(at, c, out)
		return
	}
	if c.Version > versionOf(s.inForce.candidate) {
		s.inForce.candidate = c
	}
	if s.inForce.joinUntil == 0 {
		s.inForce.joinUntil = at.Add(joinWindow)
	}
	s.checkJoin(at, out)
}

// FoundNone reports whether the live peers have been asked and none of them has
// a configuration. Before that, nobody knows that the deployment is new.
func (s *State) FoundNone(at model.Time) bool {
	f := &s.inForce
	if f.config != nil || f.candidate != nil || f.saving != nil || at < s.startedAt.Add(askWindow) {
		return false
	}
	for _, p := range s.peers {
		if !f.answered[p] {
			return false
		}
	}
	return true
}

// checkJoin takes the candidate once all live peers have answered or the
// window has passed.
func (s *State) checkJoin(at model.Time, out *event.Effects) {
	f := &s.inForce
	if f.candidate == nil {
		return
	}
	complete := len(s.peers) > 0
	for _, p := range s.peers {
		complete = complete && f.answered[p]
	}
	if !complete && at < f.joinUntil {
		return
	}
	c := f.candidate
	f.candidate, f.joinUntil = nil, 0
	s.adopt(at, c, out)
}

// adopt puts a higher version in force, after it is saved where there is a
// disk: a restarted process must not fall behind what it has shown.
func (s *State) adopt(at model.Time, c *model.Config, out *event.Effects) {
	f := &s.inForce
	if c.Version <= max(s.Version(), versionOf(f.saving), versionOf(f.next)) {
		return
	}
	if !s.identity.Disk {
		s.install(at, c, out)
		return
	}
	if f.saving != nil {
		f.next = c
		return
	}
	f.saving = c
	out.Add(event.SaveConfig{Config: *c})
}

// Saved handles the end of a SaveConfig effect. If the disk fails, the
// configuration comes into force all the same: traffic goes on, and after a
// restart the peers have it.
func (s *State) Saved(at model.Time, ev event.ConfigSaved, out *event.Effects) {
	f := &s.inForce
	if ev.Error != "" {
		out.Add(event.Log{Code: logevent.ConfigSaveFailed, Fields: []logevent.Field{
			logevent.F("version", ev.Version), logevent.F("error", ev.Error)}})
	}
	if f.saving == nil || f.saving.Version != ev.Version {
		return
	}
	saved := f.saving
	f.saving = nil
	if saved.Version > s.Version() {
		s.install(at, saved, out)
	}
	if next := f.next; next != nil {
		f.next = nil
		s.adopt(at, next, out)
	}
}

// install puts a configuration in force and acknowledges it.
func (s *State) install(at model.Time, c *model.Config, out *event.Effects) {
	f := &s.inForce
	if c.Version <= s.Version() {
		out.Add(event.InvariantFailed{Name: "config_version",
			Detail: fmt.Sprintf("version %d after %d", c.Version, s.Version())})
		return
	}
	f.config = c
	f.recent = append(f.recent, c)
	if len(f.recent) > maxRecent {
		f.recent = append(f.recent[:0], f.recent[1:]...)
	}
	if c.Version >= versionOf(f.candidate) {
		f.candidate, f.joinUntil = nil, 0
	}
	s.known[s.identity.ID] = s.held()
	s.installer.Install(at, c, out)
	s.acknowledge(out)
	s.checkWaiting(at, out)
}

// recentVersion returns a version that deltas can be made from, or nil.
func (s *State) recentVersion(v model.Version) *model.Config {
	for _, c := range s.inForce.recent {
		if c.Version == v {
			return c
		}
	}
	return nil
}
