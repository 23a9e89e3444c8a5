package anvilcrank

import (
	"math"
	"time"

	"golang.org/x/sys/unix"

	"github.com/anvilcrank/anvilcrank/pkg/inbound"
	"github.com/anvilcrank/anvilcrank/pkg/memory"
	"github.com/anvilcrank/anvilcrank/pkg/telemetry"
)

const (
	// closeTimeout is how long the HTTP servers of an instance that exits may take
	// to write their last responses. After that their connections are closed.
	closeTimeout = 2 * time.Second
	// peerHeaderTimeout is how long another instance may take to send the HTTP
	// request header that opens a peer connection. Without this limit, a connection
	// that sends no header would stay open.
	peerHeaderTimeout = 5 * time.Second
)

// newMemoryBudget returns the budget for what a process holds for requests, and adds its
// metrics. It returns nil if the memory of the process is not known. configured is in
// bytes, 0 for the memory of the machine.
func newMemoryBudget(configured int64, t *telemetry.Telemetry) *memory.Budget {
	budget := memory.NewBudget(memory.ProcessBytes(configured))
	if budget != nil {
		t.ObserveMemory(budget)
	}
	return budget
}

const (
	// maxReservedDescriptors is how many descriptors are set aside for files, at most a
	// reservedDescriptorShare of all.
	maxReservedDescriptors  = 200
	reservedDescriptorShare = 0.25
	// acceptedDescriptorShare is the share of the other descriptors that accepted connections
	// may take. The rest is for connections that this process opens.
	acceptedDescriptorShare = 0.5
)

// newConnectionTable returns the table of the accepted connections of a process, and adds its
// metrics. descriptors is how many descriptors the process may open, 0 for the limit that the
// kernel enforces.
func newConnectionTable(budget *memory.Budget, descriptors int, t *telemetry.Telemetry) *inbound.Table {
	limit := maxAccepted(descriptors)
	table := inbound.NewTable(budget, limit, t)
	t.ObserveConnections(table.Len, limit)
	return table
}

// maxAccepted returns how many accepted connections may be open, 0 for any number.
func maxAccepted(descriptors int) int {
	var limit unix.Rlimit
	if descriptors == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	reserved := min(maxReservedDescriptors, float64(descriptors)*reservedDescriptorShare)
	return int((float64(descriptors) - reserved) * acceptedDescriptorShare)
}
