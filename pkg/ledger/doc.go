// Package ledger is the sub-reducer for idempotency keys. It makes a request
// with a key run at most once over all instances.
//
// Each key has a group of replicas. A replica gives a key to one claimant only,
// and a request may be dispatched only after a majority of the group has given
// its key to it. Two majorities share a replica, so two claimants cannot both
// have one. A replica that lost its memory votes "unknown" for every key that
// it may have granted before: those issued up to its floor.
package ledger
