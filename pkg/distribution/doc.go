// Package distribution delivers committed configurations to all instances and
// operators' requests to the leader of the control group.
//
// The leader pushes each committed configuration along a distribution tree over
// its live peers, and acknowledgements return along the same tree. Every second
// each instance compares versions with a random peer. This comparison delivers
// updates that were lost.
//
// A version comes into force only if it is higher than the version in force. An
// instance with a disk saves the version first. An instance without a
// configuration asks its peers and adopts the highest version that they have.
package distribution
