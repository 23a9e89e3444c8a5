package configbench

import (
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// network simulates partitions: it drops the messages in blocked directions. It
// implements peer.Network.
type network struct {
	mu      sync.RWMutex
	blocked map[direction]bool
}

// direction is the path of messages from one instance to another.
type direction struct{ from, to model.InstanceID }

// Deliver implements peer.Network.
func (n *network) Deliver(from, to model.InstanceID, send func()) {
	n.mu.RLock()
	blocked := n.blocked[direction{from, to}]
	n.mu.RUnlock()
	if !blocked {
		send()
	}
}

// isolate sets which messages of an instance are blocked: if send is true,
// those that it sends to the others, and if receive is true, those that it
// receives from them.
func (n *network) isolate(id model.InstanceID, others []model.InstanceID, send, receive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range others {
		if other == id {
			continue
		}
		n.blocked[direction{id, other}] = send
		n.blocked[direction{other, id}] = receive
	}
}

// heal unblocks all directions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}
