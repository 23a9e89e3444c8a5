// Package agreement is the sub-reducer of the replicated log of the control
// group. It holds elections with a trial round, replicates entries, commits by
// synced majority and changes the member list one member at a time.
//
// Nothing that depends on a sync leaves before it: messages that promise a term,
// a vote or log entries wait until the Persist effects before them are
// confirmed.
//
// A member is an instance with a disk. A new deployment is founded by the first
// instance of the control group in the order of identifiers, once every instance
// of the group has reported an empty disk. An instance whose disk was lost
// returns under a new member identifier, is added as a learner, and replaces its
// former identity when it has caught up.
package agreement
