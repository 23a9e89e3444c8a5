package permit

import (
	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// share is this instance's part of the cap of a shift.
type share struct {
	used int
}

type shares struct {
	byShift map[string]*share
	wake    alarm.Queue[string]
}

func newShares() shares { return shares{byShift: map[string]*share{}} }

func (s *State) mayShift(shift string) bool { return shift == "" }

func (s *State) countShare(_ model.Time, _ *permit, _ string, _ *event.Effects) {}

func (s *State) wakeShares(model.Time) {}
