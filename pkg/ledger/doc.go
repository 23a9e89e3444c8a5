// Package ledger is the part of the reducer that handles idempotency keys. It
// ensures that at most one request per key is executed across all instances.
//
// Each key has a group of replicas. The instance that receives a request with a
// key coordinates its claim: it asks the replicas to grant the key to the
// request. A replica grants a key to one claimant only, and a request is
// dispatched only after a majority of the group has granted the key to it. Two
// majorities share a replica, so two claimants cannot both have a majority.
//
// A replica keeps its entries in memory only. After a restart or an eviction it
// may have granted keys for which it has no entry. It therefore has a low-water
// mark of issue times, called the floor: without an entry, it votes "unknown"
// for a key issued at or before the floor.
package ledger
