// Package agreement is the sub-reducer of the replicated log of the control
// group, the consensus group that decides the configuration. The package
// follows Raft: it holds elections with a pre-vote, replicates entries,
// commits an entry once a majority of the voters has synced it, and changes
// the member list by one member at a time.
//
// A message that promises a term, a vote or log entries is sent only after the
// Persist effect that stores them is confirmed. A restarted member therefore
// keeps every promise that another member has received.
//
// A member is an instance with a disk. The bootstrap members are the instances
// that form a new group. The one with the lowest identifier bootstraps the
// group once all others have reported an empty log.
//
// An instance that lost its disk joins under a new member identifier. It is
// first a learner, which receives entries but does not vote. When the learner
// has caught up, it replaces the former member of its instance.
package agreement
