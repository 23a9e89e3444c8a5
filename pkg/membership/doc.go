// Package membership is the sub-reducer for the instances of the deployment: who
// is there, in which incarnation, who is suspected to be lost and who leaves.
//
// Each instance probes one other at a time, directly and then through others.
// One that does not answer is suspected, and is declared dead unless it refutes
// the suspicion in time. News travels on the messages of the probes, so what an
// instance sends does not depend on the number of instances.
package membership
