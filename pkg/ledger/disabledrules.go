package ledger

// disabledRules switch off one safety rule each. Only tests set them, to verify that
// the checks of the random schedules detect a violation of each rule.
type disabledRules struct {
	// noFloor ignores the floors of a replica.
	noFloor bool
	// minorityGrant grants a claim that has at least one vote.
	minorityGrant bool
	// abandonByOthers lets any claimant release a key that is held.
	abandonByOthers bool
	// evictWithoutFloor evicts entries without raising the floor.
	evictWithoutFloor bool
}
