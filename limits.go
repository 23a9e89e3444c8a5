package anvilcrank

import "time"

const (
	// closeTimeout is how long open connections may take to finish after the
	// last request has ended.
	closeTimeout = 2 * time.Second
	// peerHeaderTimeout is how long another instance may take to send the
	// request header of a connection. After that the connection is closed.
	peerHeaderTimeout = 5 * time.Second
)
