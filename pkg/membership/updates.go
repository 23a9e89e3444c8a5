package membership

import (
	"math/bits"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// maxUpdates bounds the updates in one message, so that messages stay small.
	// An update has about 90 bytes if its names have ordinary length.
	maxUpdates = 8
	// retransmitMultiplier times the binary logarithm of the number of members is
	// the number of messages in which an instance sends the same update.
	retransmitMultiplier = 3
)

// queueUpdate queues the record of a member to be sent with the next messages.
// The count of its transmissions starts again at 0.
func (s *State) queueUpdate(m *member) {
	m.transmissions = 0
	if !m.queued {
		m.queued = true
		s.updateQueue = append(s.updateQueue, m)
	}
}

// dequeueUpdate removes the record of a member from the queue of updates.
func (s *State) dequeueUpdate(m *member) {
	m.queued = false
	s.updateQueue = slices.DeleteFunc(s.updateQueue, func(other *member) bool { return other == m })
}

// takeUpdates returns the updates for one message to a member and counts their
// transmission. It chooses the updates that were sent least often. If the
// receiver is suspected or declared dead, its own record is included, so that
// the receiver can refute this status.
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
