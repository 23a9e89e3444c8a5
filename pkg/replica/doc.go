// Package replica is the sub-reducer that replicates records between instances.
// The instance where a record changes pushes it once to all its peers. A
// control instance that receives the record forwards it to the entry instances
// that subscribe to that control instance. Heartbeats between peers carry a
// digest of the sender's records. If the digests of two instances differ for
// longer than a push is in transit, the missing records are pulled. Of two
// versions of a record, every instance keeps the newer one, so records may
// arrive in any order and more than once.
package replica
