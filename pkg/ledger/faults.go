package ledger

// faults break one rule each. Only tests set them, to show that the checks of
// the randomized run notice.
type faults struct {
	noFloor           bool
	minorityGrant     bool
	abandonByOthers   bool
	evictWithoutFloor bool
}
