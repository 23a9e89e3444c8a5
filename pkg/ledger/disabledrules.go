package ledger

// disabledRules selects safety rules to switch off. Only tests set it, to verify
// that the checks of the random schedules detect a violation of each rule.
type disabledRules struct {
	// noFloor lets a replica grant keys that it may have granted before a restart
	// or an eviction.
	noFloor bool
	// minorityGrant lets a request be dispatched after a single replica has
	// granted its claim.
	minorityGrant bool
	// abandonByOthers lets a claimant release a key that another claimant holds.
	abandonByOthers bool
	// evictWithoutFloor evicts entries without raising the floor.
	evictWithoutFloor bool
}
