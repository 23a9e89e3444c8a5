// Package linkbudget divides the bandwidth budget between two regions among the
// instances that use it, and limits the rate of request and response bodies to
// the shares.
//
// shares.go computes the shares from the configuration alone, so that they
// never exceed the budget in total, not even during a network partition.
// pacer.go is used by the traffic goroutines; it makes them sleep until their
// bytes may be sent.
package linkbudget
