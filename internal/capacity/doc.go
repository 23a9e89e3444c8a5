// Package capacity measures how the cost of each mechanism grows with the size of
// a deployment. docs/CAPACITY.md works out the size to design for from these
// slopes.
package capacity
