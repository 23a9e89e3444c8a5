// Package agreement is the sub-reducer of the replicated log of the control
// group. It follows Raft: it holds elections with a pre-vote, replicates
// entries, commits an entry once a majority of the voters has synced it, and
// changes the member list by one member at a time.
//
// Messages that promise a term, a vote or log entries are sent only after the
// Persist effects that store the promise are confirmed. A member that restarts
// therefore keeps every promise that another member has received.
//
// A member is an instance with a disk. The first instance of the control group,
// in the order of identifiers, founds the group once every other instance of it
// has reported an empty log. An instance that lost its disk returns under a new
// member identifier, is added as a learner, and replaces its former member
// identifier when it has caught up.
package agreement
