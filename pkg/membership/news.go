package membership

import (
	"math/bits"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// maxUpdates bounds the updates on one message. With names of ordinary length
	// an update takes about 90 bytes.
	maxUpdates = 8
	// spreadFactor times the logarithm of the number of members is the number of
	// messages that carry an update.
	spreadFactor = 3
)

// queueNews lets the next messages carry what is believed of the member.
func (s *State) queueNews(m *member) {
	m.sent = 0
	if !m.queued {
		m.queued = true
		s.news = append(s.news, m)
	}
}

// dropNews takes back what queueNews did.
func (s *State) dropNews(m *member) {
	m.queued = false
	s.news = slices.DeleteFunc(s.news, func(other *member) bool { return other == m })
}

// updates returns the news for one message, the least sent first. If the
// receiver is believed to be lost, it is told so, to let it refute that.
func (s *State) updates(to model.InstanceID) []message.Member {
	var list []message.Member
	if m := s.members[to]; m != nil && m.Status != message.MemberAlive {
		list = append(list, m.Member)
	}
	limit := spreadFactor * bits.Len(uint(len(s.members)+1))
	slices.SortStableFunc(s.news, func(a, b *member) int { return a.sent - b.sent })
	for _, m := range s.news {
		if len(list) == maxUpdates {
			break
		}
		if m.ID != to {
			list = append(list, m.Member)
		}
		m.sent++
	}
	s.news = slices.DeleteFunc(s.news, func(m *member) bool {
		m.queued = m.sent < limit
		return !m.queued
	})
	return list
}
