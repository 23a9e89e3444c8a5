package anvilcrank

import "time"

const (
	// closeTimeout is how long open connections may take to finish after the
	// last request has ended.
	closeTimeout = 2 * time.Second
	// peerHeaderTimeout ends links that send their header too slowly.
	peerHeaderTimeout = 5 * time.Second
)
