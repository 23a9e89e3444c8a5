// Package peer exchanges messages between instances over WebSocket. Each instance
// dials every other instance, and sends messages only on the connections that it
// dialed. Messages received on accepted connections are reported to the control
// goroutine. Messages may be lost when a connection closes or its send queue is
// full.
package peer
