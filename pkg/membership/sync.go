package membership

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// pageSize bounds the members in one page of a member list. A full page has
	// about 3 KB.
	pageSize = 32
	// syncEvery is the number of probes from one page request to the next once
	// this instance has read as many consecutive pages as a whole member list
	// has, and knew every member in them. Until then, for example after many
	// instances started at once, it requests a page with each probe.
	syncEvery = 5
)

// pageReader holds the progress of this instance in reading the member lists of
// other instances page by page.
type pageReader struct {
	// fullListRead is true after the end of a member list was reached once.
	// Reading then continues at the beginning of the list, without end.
	fullListRead bool
	// lastReadID is the last identifier in the latest page received. The next page
	// begins after it.
	lastReadID model.InstanceID
	// pagesWithoutNewMember counts the latest consecutive pages that contained no
	// member that was unknown here.
	pagesWithoutNewMember int
}

// syncNextPage asks a random member for the next page of its member list. An
// instance that joins 4,800 others reads 150 pages of 32 members. With one page
// per probe and one probe per second it has the whole list after 150 s. It
// receives updates from the first second on.
func (s *State) syncNextPage(out *event.Effects) {
	if s.sync.pagesWithoutNewMember > len(s.order)/pageSize && s.probes.rounds%syncEvery != 0 {
		return
	}
	for _, id := range s.pickRandom(1, func(m *member) bool { return m.Status == message.MemberAlive }) {
		s.requestPage(id, out)
	}
}

// requestPage asks a member for the page of its member list that begins after
// lastReadID.
func (s *State) requestPage(from model.InstanceID, out *event.Effects) {
	out.Add(event.Send{To: from, Message: &message.MemberSyncRequest{After: s.sync.lastReadID, Wrap: s.sync.fullListRead}})
}

// receiveSyncRequest answers a request for the page of the member list that
// begins after m.After. If m.Wrap is set, the page continues at the beginning of
// the list when it reaches the end.
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

// receiveSyncReply merges a page of another instance's member list and records
// where the next page begins.
func (s *State) receiveSyncReply(at model.Time, m *message.MemberSyncReply, out *event.Effects) {
	membersBefore := len(s.members)
	s.mergeAll(at, m.Members, out)
	s.sync.pagesWithoutNewMember++
	if len(s.members) > membersBefore {
		s.sync.pagesWithoutNewMember = 0
	}
	s.sync.fullListRead = s.sync.fullListRead || !m.More
	if n := len(m.Members); n > 0 {
		s.sync.lastReadID = m.Members[n-1].ID
	}
}
