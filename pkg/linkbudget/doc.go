// Package linkbudget splits the byte budget between two regions over the
// instances that use it, and paces bodies to the shares.
//
// shares.go is pure and follows from the configuration alone, so that the shares
// add up to no more than the budget during a partition too. pacer.go is used by
// traffic goroutines; a waiting one sleeps until its bytes may pass.
package linkbudget
