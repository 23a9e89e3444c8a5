package inbound

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStall is how long a connection must have kept the process waiting before it may be
	// closed to make room.
	minStall = 250 * time.Millisecond
	// largeHeadBytes is what a connection may hold while its head is read without being closed
	// before it has stalled.
	largeHeadBytes = 128 << 10
	// referenceRate is the rate, in bytes per second, at which a client on a slow link sends
	// or reads. A client that is as fast does not stall.
	referenceRate = 16 << 10
	// minLinkSilence is how long a connection of another instance must have been silent before
	// it may be closed to make room. Live instances send something every 2 s.
	minLinkSilence = 10 * time.Second
	// reclaimedShare is the share of a limit that is made free when it is exhausted, so that
	// not every further connection needs a decision.
	reclaimedShare = 0.1
)

// candidate is a connection at the moment of a decision.
type candidate struct {
	conn *Conn
	// held is what the connection and its request hold, in bytes.
	held int64
	// stall is how long the client has kept the process waiting beyond the time that its bytes
	// take on a slow link.
	stall time.Duration
	// waiting is true if the process waits for the client at this moment.
	waiting bool
	stage   stage
}

// mayClose reports whether the connection may be closed to make room. A request that does not
// wait for its client may be running at an upstream.
func (c *candidate) mayClose() bool {
	switch c.stage {
	case linked:
		return c.stall >= minLinkSilence
	case serving:
		return c.waiting && c.stall >= minStall
	case readingHead:
		return c.stall >= minStall || c.held >= largeHeadBytes
	}
	return c.stall >= minStall
}

// closing is a decision to close a connection, and what that makes free, in bytes.
type closing struct {
	conn *Conn
	held int64
}

// chooseForMemory decides which connections are closed to make at least the number of bytes
// free: first those with the largest product of held bytes and stalled time.
func chooseForMemory(candidates []candidate, bytes int64) []closing {
	weight := func(c *candidate) float64 { return float64(c.held) * max(minStall, c.stall).Seconds() }
	var free int64
	return choose(candidates, weight, func(c *candidate) bool {
		enough := free >= bytes
		free += c.held
		return !enough
	})
}

// chooseForDescriptors decides which connections are closed to make a number of descriptors
// free: first those that have stalled for the longest time.
func chooseForDescriptors(candidates []candidate, count int) []closing {
	weight := func(c *candidate) float64 { return c.stall.Seconds() }
	return choose(candidates, weight, func(*candidate) bool {
		count--
		return count >= 0
	})
}

// choose returns closings for the candidates that may be closed, in descending order of their
// weight, as long as more returns true.
func choose(candidates []candidate, weight func(*candidate) float64, more func(*candidate) bool) []closing {
	type weighted struct {
		*candidate
		weight float64
	}
	var eligible []weighted
	for i := range candidates {
		if c := &candidates[i]; c.mayClose() {
			eligible = append(eligible, weighted{c, weight(c)})
		}
	}
	slices.SortFunc(eligible, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.conn.id, b.conn.id))
	})
	var chosen []closing
	for _, c := range eligible {
		if !more(c.candidate) {
			break
		}
		chosen = append(chosen, closing{c.conn, c.held})
	}
	return chosen
}
