// Package ledger is the sub-reducer for idempotency keys. It ensures that a
// request with a key is executed at most once across all instances.
//
// Each key has a group of replicas. A replica grants a key to one claimant only,
// and a request may be dispatched only after a majority of the group has granted
// the key to it. Two majorities share a replica, so two claimants cannot both
// have one. A replica keeps its entries in memory only. After a restart or an
// eviction it votes "unknown" for every key that it may have granted before,
// which are the keys issued up to a time called the floor.
package ledger
