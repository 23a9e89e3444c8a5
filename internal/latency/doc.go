// Package latency simulates the delay and the limited bandwidth of a network over
// loopback sockets. Conn delays the data of connections from instances to upstreams.
// Scheduler delays messages between instances. The package does not poll: every wait
// ends by a timer or a channel.
package latency
