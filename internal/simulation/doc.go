// Package simulation runs random schedules of faults over several composed
// reducers in virtual time: networks that lose, delay, duplicate and reorder
// messages, one-way partitions, crashes and graceful stops, with upstreams that
// have slots. It checks that the limits of the design hold. A schedule is
// determined by its seed alone.
package simulation
