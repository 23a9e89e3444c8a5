package membership

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// pageSize bounds the members of a page. A page takes about 3 KB.
	pageSize = 32
	// syncEvery is the number of probes from one page to the next once a pass
	// over the whole list named no unknown member. Until then, as after the start
	// of many instances at once, each probe brings a page.
	syncEvery = 5
)

// syncer reads the member list of others page by page.
type pageReader struct {
	// joined is set once the whole list was read. From then on it is read again
	// and again, from one member or another.
	fullListRead bool
	after        model.InstanceID
	// quiet counts the pages in a row that named no unknown member.
	knownPages int
}

// tickSync asks a random member for the next page. With the pace of the probes,
// an instance that joins 4,800 others has the whole list after 150 s, and learns
// of changes from the first second on.
func (s *State) syncNextPage(out *event.Effects) {
	if s.sync.knownPages > len(s.order)/pageSize && s.probes.rounds%syncEvery != 0 {
		return
	}
	for _, id := range s.pickRandom(1, func(m *member) bool { return m.Status == message.MemberAlive }) {
		s.requestPage(id, out)
	}
}

func (s *State) requestPage(from model.InstanceID, out *event.Effects) {
	out.Add(event.Send{To: from, Message: &message.MemberSyncRequest{After: s.sync.after, Wrap: s.sync.fullListRead}})
}

// receiveSyncRequest sends a page.
func (s *State) receiveSyncRequest(from model.InstanceID, m *message.MemberSyncRequest, out *event.Effects) {
	i, found := slices.BinarySearch(s.order, m.After)
	if found {
		i++
	}
	page := &message.MemberSyncReply{More: i+pageSize < len(s.order)}
	end := min(i+pageSize, len(s.order))
	if m.Wrap {
		end = i + min(pageSize, len(s.order))
	}
	for ; i < end; i++ {
		if m := s.members[s.order[i%len(s.order)]]; !m.helloOnly {
			page.Members = append(page.Members, m.Member)
		}
	}
	out.Add(event.Send{To: from, Message: page})
}

func (s *State) receiveSyncReply(at model.Time, m *message.MemberSyncReply, out *event.Effects) {
	known := len(s.members)
	s.mergeAll(at, m.Members, out)
	s.sync.knownPages++
	if len(s.members) > known {
		s.sync.knownPages = 0
	}
	s.sync.fullListRead = s.sync.fullListRead || !m.More
	if n := len(m.Members); n > 0 {
		s.sync.after = m.Members[n-1].ID
	}
}
