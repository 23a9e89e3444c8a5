package storage_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// history holds the contents after each write that was handed to the folder.
type history struct {
	states    []event.StorageLoaded
	confirmed int // index of the last state that is synced
}

// next returns a random write on top of the last state.
func next(rng *rand.Rand, h *history) event.Persist {
	c := h.states[len(h.states)-1]
	c.Entries = slices.Clone(c.Entries)
	last := c.Snapshot.Index + uint64(len(c.Entries))
	p := event.Persist{Hard: event.HardState{Group: "g", Term: c.Hard.Term + uint64(rng.IntN(2)),
		Vote: model.MemberID{Instance: "b", Disk: "d"}, Commit: c.Snapshot.Index}}
	switch k := rng.IntN(8); {
	case k == 0 && len(c.Entries) > 0:
		i := c.Snapshot.Index + 1 + uint64(rng.IntN(len(c.Entries)))
		p.Snapshot = message.Snapshot{Index: i, Term: c.Entries[i-c.Snapshot.Index-1].Term, Data: make([]byte, rng.IntN(3000))}
		p.KeepTail = true
	case k == 1:
		p.Snapshot = message.Snapshot{Index: last + 3, Term: p.Hard.Term + 1, Data: []byte("x")}
	case k < 7:
		first := last + 1
		if k == 2 {
			first -= uint64(rng.IntN(len(c.Entries) + 1))
		}
		for i := range 1 + uint64(rng.IntN(3)) {
			data := make([]byte, 1+rng.IntN(900))
			for j := range data {
				data[j] = byte(rng.IntN(256))
			}
			p.Entries = append(p.Entries, message.Entry{Index: first + i, Term: p.Hard.Term + 1, Data: data})
		}
	}
	if err := storage.Apply(&c, p); err != nil {
		panic(err)
	}
	h.states = append(h.states, c)
	return p
}

// find returns the index of the state that equals the contents, -1 if none does.
func (h *history) find(c event.StorageLoaded) int {
	for i := len(h.states) - 1; i >= 0; i-- {
		a := h.states[i]
		if a.Disk == c.Disk && a.Hard == c.Hard && a.Snapshot.Index == c.Snapshot.Index && len(a.Entries) == len(c.Entries) &&
			(len(a.Entries) == 0 || reflect.DeepEqual(a.Entries, c.Entries)) {
			return i
		}
	}
	return -1
}

// Guards against a confirmed write that is lost, and against a write that is
// half read, after crashes that tear unsynced data, short writes, failed syncs
// and full disks.
func TestCrashKeepsConfirmedWrites(t *testing.T) {
	torn, failed := 0, 0
	for seed := range uint64(600) {
		m := newMemory(seed)
		s, err := storage.Open(m)
		if err != nil {
			t.Fatal(err)
		}
		h := &history{states: []event.StorageLoaded{s.Contents()}}
		for range 8 {
			m.err, m.short = errInjected, m.rng.IntN(2) == 0
			if m.rng.IntN(2) == 0 {
				m.failAt = m.ops + 1 + m.rng.IntN(30)
			}
			for range m.rng.IntN(8) {
				var batch []event.Persist
				for range 1 + m.rng.IntN(3) {
					batch = append(batch, next(m.rng, h))
				}
				if err := s.Write(batch); err != nil {
					failed++
					if !errors.Is(err, errInjected) || !errors.Is(s.Write(nil), errInjected) {
						t.Fatalf("seed %d: %v, then %v", seed, err, s.Write(nil))
					}
					break
				}
				h.confirmed = len(h.states) - 1
			}
			m.crash()
			if s, err = storage.Open(m); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			found := h.find(s.Contents())
			if found < h.confirmed && !isInstall(h, s.Contents()) {
				t.Fatalf("seed %d: state %d of %d, confirmed %d", seed, found, len(h.states)-1, h.confirmed)
			}
			if found != len(h.states)-1 {
				torn++
			}
			h = &history{states: []event.StorageLoaded{s.Contents()}}
		}
	}
	if torn == 0 || failed == 0 {
		t.Fatalf("%d torn and %d failed writes: the test shows nothing", torn, failed)
	}
}

// isInstall reports whether the contents are an unconfirmed snapshot joined with
// the log before it, which is what a crash between the two files leaves.
func isInstall(h *history, c event.StorageLoaded) bool {
	for _, a := range h.states[h.confirmed+1:] {
		if a.Snapshot.Index == c.Snapshot.Index && a.Snapshot.Term == c.Snapshot.Term &&
			c.Snapshot.Index > h.states[h.confirmed].Snapshot.Index && a.Hard.Term == c.Hard.Term {
			return true
		}
	}
	return false
}

// filled returns a folder with a snapshot and a log, and its states.
func filled(t *testing.T) (*memory, *history) {
	m := newMemory(5)
	s, err := storage.Open(m)
	if err != nil {
		t.Fatal(err)
	}
	h := &history{states: []event.StorageLoaded{s.Contents()}}
	for k := 0; k < 40 || len(h.states[len(h.states)-1].Entries) < 4 || h.states[len(h.states)-1].Snapshot.Index == 0; k++ {
		if err := s.Write([]event.Persist{next(m.rng, h)}); err != nil {
			t.Fatal(err)
		}
	}
	return m, h
}

// damaged opens a folder after damage. Only ErrCorrupt, the last state and, if
// the last write may be torn, the state before are right.
func damaged(t *testing.T, m *memory, h *history, what string, at int, mayCut bool) {
	t.Helper()
	s, err := storage.Open(m)
	if err != nil {
		if !errors.Is(err, storage.ErrCorrupt) {
			t.Fatalf("%s at %d: %v", what, at, err)
		}
		return
	}
	if i := h.find(s.Contents()); i < len(h.states)-1 && (!mayCut || i < len(h.states)-2) {
		t.Fatalf("%s at %d: state %d of %d was read", what, at, i, len(h.states)-1)
	}
}

// Guards against a changed or shortened file that is read as if it were whole.
func TestDamageIsDetected(t *testing.T) {
	m, h := filled(t)
	for _, name := range []string{"log", "snapshot"} {
		whole := m.names[name].data
		for at := range whole {
			m.names = map[string]*file{"log": {m: m, data: m.names["log"].data}, "snapshot": {m: m, data: m.names["snapshot"].data}}
			cut := &file{m: m, data: slices.Clone(whole[:at])}
			other := map[string]string{"log": "snapshot", "snapshot": "log"}[name]
			rest := m.names[other]
			m.names[name] = cut
			damaged(t, m, h, "cut "+name, at, name == "log")
			flipped := &file{m: m, data: slices.Clone(whole)}
			flipped.data[at] ^= 1 << (at % 8)
			m.names = map[string]*file{name: flipped, other: rest}
			damaged(t, m, h, "flip in "+name, at, false)
			m.names = map[string]*file{name: {m: m, data: whole}, other: rest}
		}
	}
	m.reads = true
	damaged(t, m, h, "short read", 0, true)
}

// Guards against two processes that write to one folder, and against a folder
// that is read by another process before the first has ended.
func TestOneProcessPerFolder(t *testing.T) {
	g := NewWithT(t)
	f, err := storage.Folder(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	first, err := storage.Open(f)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = storage.Open(f)
	g.Expect(err).To(MatchError(storage.ErrLocked))
	g.Expect(first.Write([]event.Persist{{Hard: event.HardState{Term: 7}}})).To(Succeed())
	g.Expect(first.Close()).To(Succeed())
	again, err := storage.Open(f)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Contents().Hard.Term).To(Equal(uint64(7)))
	g.Expect(again.Contents().Disk).To(Equal(first.Contents().Disk))
	g.Expect(again.Close()).To(Succeed())
}
