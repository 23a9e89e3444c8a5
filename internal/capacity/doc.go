// Package capacity measures how the cost of each mechanism grows with the size
// of a deployment. It benchmarks the mechanisms at several sizes in virtual
// time and fits a line to each cost. docs/CAPACITY.md estimates from these
// slopes what a deployment of the design scale needs.
package capacity
