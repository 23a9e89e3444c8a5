// Package membership is the sub-reducer for the instances of the deployment:
// which instances exist, in which incarnation, which of them are suspected to
// be lost and which are leaving.
//
// It is a gossip failure detector in the manner of SWIM. Each instance probes
// one other instance at a time, first directly and then through others. An
// instance that does not acknowledge the probe is suspected, and is declared
// dead unless it refutes the suspicion in time. Updates travel on the messages
// of the probes, and a message carries a bounded number of them, so the traffic
// of an instance does not grow with the number of instances.
package membership
