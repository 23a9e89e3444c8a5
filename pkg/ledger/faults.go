package ledger

// faults switch off one safety rule each. Only tests set them, to verify that
// the checks of the random schedules detect a violation of each rule.
type faults struct {
	noFloor           bool
	minorityGrant     bool
	abandonByOthers   bool
	evictWithoutFloor bool
}
