// Package ledger is the part of the reducer that handles idempotency keys. It
// ensures that at most one request per key is executed across all instances.
//
// Each key has a group of instances that store it, its replicas. The instance that
// receives a request with a key is the coordinator of a claim: it asks the replicas
// to grant the key to the request, which is called the claimant. The request is
// dispatched only after a majority of the group has granted the key to it. A
// replica grants a key to one claimant at a time. Any two majorities share a
// replica, so two claimants cannot both have a majority.
//
// A replica stores its entries in memory only and loses them in a restart or an
// eviction. It may therefore have granted keys for which it has no entry. The
// floor of a replica is an issue time: for a key that has no entry and was issued
// at or before the floor, the replica votes "unknown" instead of granting the key.
package ledger
