package configbench

import (
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// network is a peer.Network that simulates partitions: it drops the messages
// between instances whose direction is blocked.
type network struct {
	mu      sync.RWMutex
	blocked map[direction]bool
}

// direction identifies the messages that one instance sends to another.
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

// isolate blocks or unblocks the messages between the instance id and the others.
// The messages that id sends are blocked if send is true, and those that it
// receives are blocked if receive is true.
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

// heal unblocks the messages between all instances.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}
