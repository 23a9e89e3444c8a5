package anvilcrank

import (
	"time"

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

// newConnectionTable returns the table of the accepted connections of a process, and adds its
// metrics.
func newConnectionTable(budget *memory.Budget, t *telemetry.Telemetry) *inbound.Table {
	table := inbound.NewTable(budget, 0, t)
	t.ObserveConnections(table.Len, 0)
	return table
}
