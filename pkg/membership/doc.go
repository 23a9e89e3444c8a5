// Package membership is the sub-reducer that tracks the instances of the
// deployment: which instances exist, the incarnation of each, and whether an
// instance is alive, suspected, dead or leaving.
//
// It is a gossip failure detector in the manner of SWIM. Each instance probes
// one other instance at a time, first directly and then through other
// instances. An instance that does not acknowledge the probe is suspected, and
// is declared dead unless it refutes the suspicion in time. Updates are sent
// with the probe messages. One message contains a bounded number of updates, so
// the traffic of an instance does not grow with the number of instances.
package membership
