// Package latency adds delay and link rates to real loopback sockets: to
// connections from instances to upstreams and to messages between instances.
// Nothing in it polls; every wait ends by a timer or a channel.
package latency
