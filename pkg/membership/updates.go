package membership

import (
	"math/bits"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// maxUpdates bounds the updates in one message. With names of ordinary
	// length an update has about 90 bytes.
	maxUpdates = 8
	// retransmitMultiplier determines how many messages contain the same
	// update: it is multiplied by the binary logarithm of the number of
	// members.
	retransmitMultiplier = 3
)

// queueUpdate queues the record of a member for the next messages.
func (s *State) queueUpdate(m *member) {
	m.transmissions = 0
	if !m.queued {
		m.queued = true
		s.updateQueue = append(s.updateQueue, m)
	}
}

// dequeueUpdate removes the record of a member from the queue.
func (s *State) dequeueUpdate(m *member) {
	m.queued = false
	s.updateQueue = slices.DeleteFunc(s.updateQueue, func(other *member) bool { return other == m })
}

// takeUpdates returns the updates for one message, the least transmitted first,
// and counts their transmission. If the receiver is suspected or declared dead,
// its record is included, so that the receiver can refute it.
func (s *State) takeUpdates(to model.InstanceID) []message.Member {
	var list []message.Member
	if m := s.members[to]; m != nil && m.Status != message.MemberAlive {
		list = append(list, m.Member)
	}
	limit := retransmitMultiplier * bits.Len(uint(len(s.members)+1))
	slices.SortStableFunc(s.updateQueue, func(a, b *member) int { return a.transmissions - b.transmissions })
	for _, m := range s.updateQueue {
		if len(list) == maxUpdates {
			break
		}
		if m.ID != to {
			list = append(list, m.Member)
		}
		m.transmissions++
	}
	s.updateQueue = slices.DeleteFunc(s.updateQueue, func(m *member) bool {
		m.queued = m.transmissions < limit
		return !m.queued
	})
	return list
}
