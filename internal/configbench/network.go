package configbench

import (
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// network drops messages between cut pairs of instances. It implements
// peer.Network.
type network struct {
	mu      sync.RWMutex
	blocked map[direction]bool
}

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

// isolate cuts an instance off the others: in both directions, or only what it
// sends, or only what it receives.
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

// heal restores all pairs.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}
