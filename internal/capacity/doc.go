// Package capacity measures how the costs of mechanisms such as membership or the
// ledger grow with the size of a deployment. It benchmarks each mechanism at
// several sizes in virtual time and fits a line to each cost. From the slopes of
// these lines, docs/CAPACITY.md estimates the costs at the design scale, the size
// for which docs/design.md plans: 4,800 instances, 240,000 blocks of client
// addresses and 520 sites.
package capacity
