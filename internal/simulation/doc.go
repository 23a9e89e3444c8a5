// Package simulation runs schedules of faults over several composed reducers in
// virtual time: links that lose, delay, repeat and reorder messages, one-way
// partitions, crashes, graceful stops, and upstreams with slots. It checks the
// bounds of the design. A schedule follows from its seed alone.
package simulation
