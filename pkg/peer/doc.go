// Package peer carries messages between instances over WebSocket. Each instance
// dials every other one and sends only on the connections it dialed; what
// arrives on accepted connections is handed to the control goroutine. Messages
// may be lost when a link breaks or its queue is full.
package peer
