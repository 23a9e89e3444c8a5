// Package linkbudget divides the bandwidth budget of each pair of regions among the
// instances that use it. It limits the rate at which an instance sends request and
// response bodies to the instance's share.
//
// shares.go computes the shares from the configuration alone, so that the total of
// the shares never exceeds the budget, not even during a network partition.
// pacer.go is used by the traffic goroutines; it makes them sleep until their
// bytes may be sent.
package linkbudget
