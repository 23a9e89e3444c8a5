package change

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// MaxResults bounds the results that are recorded for resent changes. A
	// change that is resent after its result was removed is rejected, because its
	// expected version is no longer the present one.
	MaxResults = 4096
	// MaxHistory bounds the accepted changes in the history.
	MaxHistory = 1024
	// MaxRollbackVersions bounds the versions that are kept so that a change
	// can roll back to them. It thereby bounds the snapshot, which contains all
	// these versions.
	MaxRollbackVersions = 64
	// firstVersion is the lowest version that a change can create. Version 1 is
	// the version of the bootstrap settings, which the control group does not
	// commit.
	firstVersion = 2
)

// RecordedResult is the result of the first change with an identifier. A resent
// change has the same result.
type RecordedResult struct {
	ID     string
	Digest ChangeDigest
	Result Result
}

// Snapshot is a copy of the whole replicated state at a log position.
type Snapshot struct {
	Position uint64
	Config   *model.Config
	// Kept holds the configurations that a change can roll back to, oldest first.
	Kept    []*model.Config
	History []Entry
	Results []RecordedResult
}

// State is the replicated state. The zero value is not usable; call New.
type State struct {
	// position is the log position applied last.
	position uint64
	// config is the present configuration, nil before the first accepted change.
	config *model.Config
	// recentConfigs holds the configurations of the latest versions, oldest
	// first. The last one is the present configuration.
	recentConfigs []*model.Config
	history       []Entry
	// recorded is a ring buffer of the last MaxResults results, in the order in
	// which their changes were first applied. oldestIndex is the index of the
	// oldest result once the buffer is full. indexByID holds the index of each
	// result by change identifier.
	recorded    []RecordedResult
	oldestIndex int
	indexByID   map[string]int
}

// New returns the state before the first log entry is applied.
func New() *State { return &State{indexByID: map[string]int{}} }

// Position returns the log position applied last.
func (s *State) Position() uint64 { return s.position }

// Config returns the present configuration, nil before the first change. The
// caller must not modify it.
func (s *State) Config() *model.Config { return s.config }

// Version returns the present version, 0 before the first change.
func (s *State) Version() model.Version {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// History returns the latest accepted changes, newest first, at most limit.
func (s *State) History(limit int) []Entry {
	n := min(limit, len(s.history))
	list := make([]Entry, 0, n)
	for i := range n {
		list = append(list, s.history[len(s.history)-1-i])
	}
	return list
}

// Apply applies the committed change at a log position and returns its result.
// Positions must increase. For a change that was applied before, Apply returns
// the recorded result. If that result is no longer recorded and the position was
// applied before, the code is ChangeUnknown.
func (s *State) Apply(position uint64, c *Change) Result {
	digest := c.Digest()
	if r, ok := s.recordedResult(c.ID, digest); ok {
		s.position = max(s.position, position)
		return r
	}
	if position <= s.position {
		return Result{Code: result.ChangeUnknown, Detail: "the entry was applied before and its result is forgotten"}
	}
	s.position = position
	r, next := s.evaluate(c)
	if r.Code == result.Success {
		// The configuration of a bootstrap may have been in force before. Its new
		// version must then be higher than its former one.
		next.Version = max(firstVersion, s.Version()+1, model.Version(position), minBootstrapVersion(&c.Operation))
		r.Version = next.Version
		s.recordAccepted(c, next)
	}
	s.recordResult(RecordedResult{ID: c.ID, Digest: digest, Result: r})
	return r
}

// DryRun returns the result that the change would have now and the configuration
// that would result. The configuration is nil if the change would be rejected or
// was already applied. DryRun does not change the state.
func (s *State) DryRun(c *Change) (Result, *model.Config) {
	if r, ok := s.recordedResult(c.ID, c.Digest()); ok {
		return r, nil
	}
	return s.evaluate(c)
}

// evaluate returns the result of a change and the configuration that would
// result, without changing the state.
func (s *State) evaluate(c *Change) (Result, *model.Config) {
	if err := c.Validate(); err != nil {
		return Result{Code: result.MalformedChange, Detail: err.Error()}, nil
	}
	if c.Expected != s.Version() {
		return Result{Code: result.VersionConflict, Winner: s.winner(c.Expected)}, nil
	}
	if s.config == nil && c.Operation.Kind != Bootstrap {
		return Result{Code: result.InvalidChange, Detail: "there is no configuration yet"}, nil
	}
	if s.config != nil && c.Operation.Kind == Bootstrap {
		return Result{Code: result.InvalidChange, Detail: "the deployment has a configuration already"}, nil
	}
	next, err := s.configAfter(&c.Operation)
	if err != nil {
		return Result{Code: result.InvalidChange, Detail: err.Error()}, nil
	}
	return Result{Code: result.Success}, next
}

// minBootstrapVersion returns the lowest version that a bootstrap may create, 0
// for other operations.
func minBootstrapVersion(o *Operation) model.Version {
	if o.Kind == Bootstrap {
		return o.Config.Version + 1
	}
	return 0
}

// winner returns the change that replaced the expected version, or the latest
// change if the replacing change is no longer in the history.
func (s *State) winner(expected model.Version) Summary {
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Replaced == expected {
			return s.history[i].Summary
		}
	}
	if len(s.history) == 0 {
		return Summary{Version: s.Version()}
	}
	return s.history[len(s.history)-1].Summary
}

// recordAccepted makes next, the configuration that results from an accepted
// change, the present one and adds the change to the history.
func (s *State) recordAccepted(c *Change, next *model.Config) {
	s.history = appendBounded(s.history, MaxHistory, Entry{
		Summary:  Summary{Version: next.Version, ID: c.ID, Author: c.Author},
		Replaced: s.Version(),
		Time:     c.Time,
		Reason:   c.Reason,
		Kind:     c.Operation.Kind,
		Target:   c.Operation.Target(),
	})
	s.config = next
	s.recentConfigs = appendBounded(s.recentConfigs, MaxRollbackVersions, next)
}

// appendBounded appends an item and removes the oldest items if the list
// exceeds the bound.
func appendBounded[T any](list []T, bound int, item T) []T {
	list = append(list, item)
	if drop := len(list) - bound; drop > 0 {
		copy(list, list[drop:])
		clear(list[bound:])
		list = list[:bound]
	}
	return list
}

// recordedResult returns the recorded result of a change. If the identifier was
// recorded for a change with a different digest, the result code is
// ChangeIDReused. It reports false if no result is recorded for the identifier.
func (s *State) recordedResult(id string, digest ChangeDigest) (Result, bool) {
	i, ok := s.indexByID[id]
	if !ok {
		return Result{}, false
	}
	if s.recorded[i].Digest != digest {
		return Result{Code: result.ChangeIDReused}, true
	}
	return s.recorded[i].Result, true
}

// recordResult adds a result to the ring buffer. If the buffer is full, the
// result replaces the oldest one.
func (s *State) recordResult(r RecordedResult) {
	if len(s.recorded) < MaxResults {
		s.indexByID[r.ID] = len(s.recorded)
		s.recorded = append(s.recorded, r)
		return
	}
	delete(s.indexByID, s.recorded[s.oldestIndex].ID)
	s.recorded[s.oldestIndex] = r
	s.indexByID[r.ID] = s.oldestIndex
	s.oldestIndex = (s.oldestIndex + 1) % MaxResults
}

// Snapshot returns the whole state. It shares the configurations, which are
// never modified, with the state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{
		Position: s.position,
		Config:   s.config,
		Kept:     append([]*model.Config(nil), s.recentConfigs...),
		History:  append([]Entry(nil), s.history...),
	}
	snap.Results = append(snap.Results, s.recorded[s.oldestIndex:]...)
	snap.Results = append(snap.Results, s.recorded[:s.oldestIndex]...)
	return snap
}

// Restore returns a state with the content of a snapshot.
func Restore(snap Snapshot) *State {
	s := New()
	s.position = snap.Position
	s.config = snap.Config
	s.recentConfigs = append(s.recentConfigs, snap.Kept...)
	s.history = append(s.history, snap.History...)
	for _, r := range snap.Results {
		s.recordResult(r)
	}
	return s
}
