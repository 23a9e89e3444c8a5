package anvilcrank

import "time"

const (
	// closeTimeout is how long open connections may take to finish after the
	// last request has ended.
	closeTimeout = 2 * time.Second
	// peerHeaderTimeout closes connections from other instances that send their
	// request header too slowly.
	peerHeaderTimeout = 5 * time.Second
)
