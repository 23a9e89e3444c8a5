// Package distribution brings committed configurations to all instances and
// operators' requests to the leader of the control group.
//
// The leader pushes each committed configuration along a tree over its live
// peers, and acknowledgements flow back along it. Once a second every instance
// compares versions with a random peer, which repairs what the tree missed. A
// version comes into force only if it is higher than the one in force and, at
// an instance with a disk, only once it is saved there. An instance without
// any configuration asks its peers and takes the highest version they have.
package distribution
