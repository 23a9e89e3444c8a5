// Package linkbudget divides the bandwidth budget of each pair of regions among the
// instances that use it. The part of one instance is its share. The package delays
// the request and response bodies that an instance passes between two regions, so
// that their bytes per second stay within its share.
//
// shares.go computes the shares from the configuration alone. Therefore the total
// of the shares never exceeds the budget, not even during a network partition.
// pacer.go makes the goroutines that transfer the bodies sleep until their bytes
// may be sent.
package linkbudget
