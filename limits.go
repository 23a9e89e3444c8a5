package anvilcrank

import "time"

const (
	// closeTimeout is how long the HTTP servers of an instance that exits may take
	// to write their last responses. After that their connections are closed.
	closeTimeout = 2 * time.Second
	// peerHeaderTimeout is how long another instance may take to send the HTTP
	// request header that opens a peer connection. Without this limit, a connection
	// that sends no header would stay open.
	peerHeaderTimeout = 5 * time.Second
)
