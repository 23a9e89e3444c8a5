// Package replica is the sub-reducer that replicates records between instances.
// The instance where a change occurs pushes it once to all its peers, and control
// instances forward it to the entry instances that subscribe to them. Heartbeats
// carry a digest of the sender's records. Instances whose digests differ for longer
// than a push takes pull the missing records. The versions of a record are totally
// ordered, so records may arrive in any order and more than once.
package replica
