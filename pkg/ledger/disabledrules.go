package ledger

// disabledRules selects safety rules of the ledger to switch off. Only tests set
// its fields, to verify that the test with random faults detects each missing
// rule.
type disabledRules struct {
	// noFloor lets a replica grant keys that it may have granted before a restart
	// or an eviction.
	noFloor bool
	// minorityGrant lets a request be dispatched after a single replica has
	// granted its claim.
	minorityGrant bool
	// abandonByOthers lets a claimant release a key that another claimant holds.
	abandonByOthers bool
	// evictWithoutFloor lets a replica evict entries without raising its floor.
	evictWithoutFloor bool
}
