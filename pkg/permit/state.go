package permit

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// DeadlineGrace is how long after its deadline an attempt may still hold its
// slot at the upstream.
const DeadlineGrace = 250 * time.Millisecond

type account struct {
	slots int
	used  int
	// assumed slots count as used until assumedUntil: a former owner may have
	// work in flight there.
	assumed      int
	assumedUntil model.Time
}

type permit struct {
	attempt  model.AttemptID
	upstream model.UpstreamID
	account  *account
	expires  model.Time
	index    int
}

// State counts slots.
type State struct {
	accounts map[model.UpstreamID]*account
	permits  map[model.AttemptID]*permit
	expiry   permitHeap
}

// New returns an empty state.
func New() *State {
	return &State{
		accounts: map[model.UpstreamID]*account{},
		permits:  map[model.AttemptID]*permit{},
	}
}

// Own starts the accounting of an upstream. Of its slots, assumed are counted
// as used until the given time.
func (s *State) Own(id model.UpstreamID, slots, assumed int, until model.Time) {
	s.accounts[id] = &account{slots: slots, assumed: assumed, assumedUntil: until}
}

// Resize changes the number of slots of an upstream. Permits beyond a smaller
// number stay until they end.
func (s *State) Resize(id model.UpstreamID, slots int) {
	if a := s.accounts[id]; a != nil {
		a.slots = slots
	}
}

// Disown ends the accounting of an upstream.
func (s *State) Disown(id model.UpstreamID) { delete(s.accounts, id) }

// Free returns the number of free slots.
func (s *State) Free(id model.UpstreamID, at model.Time) int {
	a := s.accounts[id]
	if a == nil {
		return 0
	}
	return a.slots - a.used - a.assumedAt(at)
}

func (a *account) assumedAt(at model.Time) int {
	if at >= a.assumedUntil {
		return 0
	}
	return a.assumed
}

// Used returns the number of slots with a permit.
func (s *State) Used(id model.UpstreamID) int {
	if a := s.accounts[id]; a != nil {
		return a.used
	}
	return 0
}

// Grant takes a free slot for the attempt until the deadline plus
// DeadlineGrace. The caller has checked Free.
func (s *State) Grant(at model.Time, id model.UpstreamID, attempt model.AttemptID, deadline model.Time, out *event.Effects) {
	a := s.accounts[id]
	p := &permit{attempt: attempt, upstream: id, account: a, expires: deadline.Add(DeadlineGrace)}
	a.used++
	s.permits[attempt] = p
	heap.Push(&s.expiry, p)
	if a.used+a.assumedAt(at) > a.slots {
		out.Add(event.InvariantFailed{Name: "slot_bound", Detail: fmt.Sprintf("upstream %s: %d of %d slots granted", id, a.used, a.slots)})
	}
}

// Release ends the permit of an attempt. It reports whether there was one.
func (s *State) Release(attempt model.AttemptID) bool {
	p := s.permits[attempt]
	if p == nil {
		return false
	}
	s.end(p)
	return true
}

func (s *State) end(p *permit) {
	delete(s.permits, p.attempt)
	heap.Remove(&s.expiry, p.index)
	p.account.used--
}

// Held reports whether the attempt holds a permit.
func (s *State) Held(attempt model.AttemptID) bool { return s.permits[attempt] != nil }

// NextWake returns when the next permit expires, 0 if there is none.
func (s *State) NextWake() model.Time {
	if len(s.expiry) == 0 {
		return 0
	}
	return s.expiry[0].expires
}

// Wake ends the expired permits and reports whether there were any.
func (s *State) Wake(at model.Time) bool {
	any := false
	for len(s.expiry) > 0 && s.expiry[0].expires <= at {
		s.end(s.expiry[0])
		any = true
	}
	return any
}

// permitHeap orders permits by expiry, then by attempt number.
type permitHeap []*permit

func (h permitHeap) Len() int { return len(h) }
func (h permitHeap) Less(i, j int) bool {
	if h[i].expires != h[j].expires {
		return h[i].expires < h[j].expires
	}
	return h[i].attempt.Seq < h[j].attempt.Seq
}
func (h permitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *permitHeap) Push(x any) {
	p := x.(*permit)
	p.index = len(*h)
	*h = append(*h, p)
}

// Pop implements heap.Interface.
func (h *permitHeap) Pop() any {
	old := *h
	n := len(old) - 1
	p := old[n]
	old[n] = nil
	*h = old[:n]
	return p
}
