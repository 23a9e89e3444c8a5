package distribution

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// inForceState holds the configuration in force, the configurations that are
// being saved, and the candidate of an instance without a configuration.
type inForceState struct {
	config *model.Config
	// recentConfigs holds the latest configurations that were in force, oldest
	// first. The last one is config.
	recentConfigs []*model.Config
	// saving is the configuration that is being written to disk, nil if there is
	// none. nextToSave is the configuration that is written after it.
	saving, nextToSave *model.Config
	// candidate is the configuration with the highest version that this instance
	// was offered while it had none. It is adopted at candidateDeadline, or
	// earlier once all live peers have replied.
	candidate         *model.Config
	candidateDeadline model.Time
	// repliedPeers holds the live peers that have sent a ConfigUpdate. A peer
	// without a configuration sends an empty one.
	repliedPeers map[model.InstanceID]bool
}

// Config returns the configuration in force, nil if there is none.
func (s *State) Config() *model.Config { return s.inForce.config }

// Version returns the version in force, 0 if there is none.
func (s *State) Version() model.Version { return versionOf(s.inForce.config) }

// versionOf returns the version of a configuration, 0 if it is nil.
func versionOf(c *model.Config) model.Version {
	if c == nil {
		return 0
	}
	return c.Version
}

// Load puts a configuration in force without saving it, if its version is
// higher than the version in force. The configuration must have been read from
// disk, or must be known not to be older than any that this instance has had in
// force.
func (s *State) Load(at model.Time, c *model.Config, out *event.Effects) {
	if c.Version > s.Version() {
		s.install(at, c, out)
	}
}

// offerConfig handles a committed configuration. An instance without a
// configuration first waits for the versions of its peers, since the offered
// version may be lower than the version that an earlier process of this
// instance had in force.
func (s *State) offerConfig(at model.Time, c *model.Config, out *event.Effects) {
	if s.inForce.config != nil {
		s.saveAndInstall(at, c, out)
		return
	}
	if c.Version > versionOf(s.inForce.candidate) {
		s.inForce.candidate = c
	}
	if s.inForce.candidateDeadline == 0 {
		s.inForce.candidateDeadline = at.Add(candidateTimeout)
	}
	s.checkCandidate(at, out)
}

// NoConfigFound reports whether this instance has no configuration,
// discoveryTimeout has passed since its start, and all live peers have replied
// that they have none either. While it reports false, the deployment may already
// have a configuration.
func (s *State) NoConfigFound(at model.Time) bool {
	f := &s.inForce
	if f.config != nil || f.candidate != nil || f.saving != nil || at < s.startedAt.Add(discoveryTimeout) {
		return false
	}
	for _, p := range s.peers {
		if !f.repliedPeers[p] {
			return false
		}
	}
	return true
}

// checkCandidate adopts the candidate once all live peers have replied or
// candidateDeadline has passed. Without live peers it waits for the deadline.
func (s *State) checkCandidate(at model.Time, out *event.Effects) {
	f := &s.inForce
	if f.candidate == nil {
		return
	}
	allReplied := len(s.peers) > 0
	for _, p := range s.peers {
		allReplied = allReplied && f.repliedPeers[p]
	}
	if !allReplied && at < f.candidateDeadline {
		return
	}
	c := f.candidate
	f.candidate, f.candidateDeadline = nil, 0
	s.saveAndInstall(at, c, out)
}

// saveAndInstall puts a configuration in force if its version is higher than
// the version in force and the versions being saved. An instance with a disk
// saves the configuration first, so that the version in force does not decrease
// when the process restarts.
func (s *State) saveAndInstall(at model.Time, c *model.Config, out *event.Effects) {
	f := &s.inForce
	if c.Version <= max(s.Version(), versionOf(f.saving), versionOf(f.nextToSave)) {
		return
	}
	if !s.identity.HasDisk {
		s.install(at, c, out)
		return
	}
	if f.saving != nil {
		f.nextToSave = c
		return
	}
	f.saving = c
	out.Add(event.SaveConfig{Config: *c})
}

// ConfigSaved handles the event that a SaveConfig effect was executed. If the
// disk failed, the configuration is put in force nevertheless, so that traffic
// continues. After a restart the instance gets the configuration from its peers.
func (s *State) ConfigSaved(at model.Time, ev event.ConfigSaved, out *event.Effects) {
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
	if next := f.nextToSave; next != nil {
		f.nextToSave = nil
		s.saveAndInstall(at, next, out)
	}
}

// install puts a configuration in force and acknowledges its version to the
// parent in the distribution tree.
func (s *State) install(at model.Time, c *model.Config, out *event.Effects) {
	f := &s.inForce
	if c.Version <= s.Version() {
		out.Add(event.InvariantFailed{Name: "config_version",
			Detail: fmt.Sprintf("version %d after %d", c.Version, s.Version())})
		return
	}
	f.config = c
	f.recentConfigs = append(f.recentConfigs, c)
	if len(f.recentConfigs) > maxRecentConfigs {
		f.recentConfigs = append(f.recentConfigs[:0], f.recentConfigs[1:]...)
	}
	if c.Version >= versionOf(f.candidate) {
		f.candidate, f.candidateDeadline = nil, 0
	}
	s.versions[s.identity.ID] = s.ownVersion()
	s.installer.Install(at, c, out)
	s.acknowledgeVersion(out)
	s.answerStatusRequests(at, out)
}

// recentConfig returns the configuration with the given version if it is among
// the recent ones, otherwise nil. The result is the base of a delta for a peer
// that has this version.
func (s *State) recentConfig(v model.Version) *model.Config {
	for _, c := range s.inForce.recentConfigs {
		if c.Version == v {
			return c
		}
	}
	return nil
}
