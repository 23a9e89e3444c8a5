// Package latency simulates network delay and limited link rates over loopback
// sockets: for connections from instances to upstreams and for messages between
// instances. It does not poll: every wait ends by a timer or a channel.
package latency
