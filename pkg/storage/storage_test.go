package storage_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// history holds the contents after each write that was handed to the folder.
type history []event.StorageLoaded

func (h history) last() event.StorageLoaded { return h[len(h)-1] }

// next returns a random write on top of the last state.
func next(rng *rand.Rand, h *history) event.Persist {
	c := h.last()
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
			data := bytes.Repeat([]byte{byte(1 + rng.IntN(255))}, 1+rng.IntN(900))
			p.Entries = append(p.Entries, message.Entry{Index: first + i, Term: p.Hard.Term + 1, Data: data})
		}
	}
	if err := storage.Apply(&c, p); err != nil {
		panic(err)
	}
	*h = append(*h, c)
	return p
}

// find returns the index of the state that equals the contents, -1 if none does.
func (h history) find(c event.StorageLoaded) int {
	for i := len(h) - 1; i >= 0; i-- {
		same := len(h[i].Entries) == len(c.Entries) && (len(c.Entries) == 0 || reflect.DeepEqual(h[i].Entries, c.Entries))
		if same && h[i].Disk == c.Disk && h[i].Hard == c.Hard && reflect.DeepEqual(h[i].Snapshot, c.Snapshot) {
			return i
		}
	}
	return -1
}

// Guards against a confirmed write that is lost, and against a write that is
// half read, after crashes that tear unsynced data, short writes, failed syncs
// and full disks.
var _ = It("crash keeps confirmed writes", func() {
	t := GinkgoTB()
	torn, failed := 0, 0
	for seed := range uint64(600) {
		m := newMemory(seed)
		s, err := storage.Open(m)
		if err != nil {
			t.Fatal(err)
		}
		for range 8 {
			h, confirmed := history{s.Contents()}, 0
			m.failIn = m.rng.IntN(60)
			for range m.rng.IntN(8) {
				var batch []event.Persist
				for range 1 + m.rng.IntN(3) {
					batch = append(batch, next(m.rng, &h))
				}
				if err := s.Write(batch); err != nil {
					failed++
					if !errors.Is(err, errInjected) || !errors.Is(s.Write(nil), errInjected) {
						t.Fatalf("seed %d: %v, then %v", seed, err, s.Write(nil))
					}
					break
				}
				confirmed = len(h) - 1
			}
			m.crash()
			if s, err = storage.Open(m); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			found := h.find(s.Contents())
			if found < confirmed && !isInstall(h[confirmed:], s.Contents()) {
				t.Fatalf("seed %d: state %d of %d, confirmed %d", seed, found, len(h)-1, confirmed)
			}
			if found != len(h)-1 {
				torn++
			}
		}
	}
	if torn == 0 || failed == 0 {
		t.Fatalf("%d torn and %d failed writes: the test shows nothing", torn, failed)
	}
})

// isInstall reports whether the contents are an unconfirmed snapshot joined with
// the log before it, which is what a crash between the two files leaves.
func isInstall(h history, c event.StorageLoaded) bool {
	return c.Snapshot.Index > h[0].Snapshot.Index && slices.ContainsFunc(h[1:], func(a event.StorageLoaded) bool {
		return reflect.DeepEqual(a.Snapshot, c.Snapshot) && a.Hard.Term == c.Hard.Term
	})
}

// Guards against a changed or shortened file that is read as if it were whole.
// Only ErrCorrupt, the last state and, for a log cut within its last write, the
// state before are right.
var _ = It("damage is detected", func() {
	t := GinkgoTB()
	m := newMemory(5)
	s, err := storage.Open(m)
	if err != nil {
		t.Fatal(err)
	}
	var older []byte
	h := history{s.Contents()}
	for len(h) < 40 || len(h.last().Entries) < 4 || h.last().Snapshot.Index == 0 {
		if f := m.names["snapshot"]; older == nil && f != nil {
			older = f.data
		}
		if err := s.Write([]event.Persist{next(m.rng, &h)}); err != nil {
			t.Fatal(err)
		}
	}
	read := func(name string, data []byte, what string, oldest int) {
		damaged := newMemory(0)
		maps.Copy(damaged.names, m.names)
		damaged.names[name] = &file{m: damaged, data: data}
		s, err := storage.Open(damaged)
		if err != nil && !errors.Is(err, storage.ErrCorrupt) || err == nil && h.find(s.Contents()) < oldest {
			t.Errorf("%s %s: %v", name, what, err)
		}
	}
	read("snapshot", older, "of an earlier state", len(h)-1)
	for _, name := range []string{"log", "snapshot"} {
		whole := m.names[name].data
		for at := range whole {
			flipped := slices.Clone(whole)
			flipped[at] ^= 1 << (at % 8)
			read(name, flipped, fmt.Sprint("bit flipped at ", at), len(h)-1)
			zeroed := append(slices.Clone(whole[:at]), make([]byte, min(512, len(whole)-at))...)
			read(name, append(zeroed, whole[len(zeroed):]...), fmt.Sprint("zeros at ", at), len(h)-2)
			read(name, whole[:at], fmt.Sprint("cut at ", at), len(h)-2)
		}
	}
})

// Guards against two processes that write to one folder, and against a folder
// that is read by another process before the first has ended.
var _ = It("one process per folder", func() {
	t := GinkgoTB()
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
})
