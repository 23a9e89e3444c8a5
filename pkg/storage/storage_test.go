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

// history holds the expected contents of the data folder after each write.
type history []event.StorageLoaded

func (h history) last() event.StorageLoaded { return h[len(h)-1] }

// randomWrite returns a random write that is valid after the last state of the
// history, and appends the state after the write to the history.
func randomWrite(rng *rand.Rand, h *history) event.Persist {
	c := h.last()
	c.Entries = slices.Clone(c.Entries)
	lastIndex := c.Snapshot.Index + uint64(len(c.Entries))
	p := event.Persist{Hard: event.HardState{Group: "g", Term: c.Hard.Term + uint64(rng.IntN(2)),
		Vote: model.MemberID{Instance: "b", Disk: "d"}, Commit: c.Snapshot.Index}}
	switch kind := rng.IntN(8); {
	case kind == 0 && len(c.Entries) > 0:
		i := c.Snapshot.Index + 1 + uint64(rng.IntN(len(c.Entries)))
		p.Snapshot = message.Snapshot{Index: i, Term: c.Entries[i-c.Snapshot.Index-1].Term, Data: make([]byte, rng.IntN(3000))}
		p.KeepTail = true
	case kind == 1:
		p.Snapshot = message.Snapshot{Index: lastIndex + 3, Term: p.Hard.Term + 1, Data: []byte("x")}
	case kind < 7:
		first := lastIndex + 1
		if kind == 2 {
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

// indexOf returns the index of the state in the history that equals the
// contents, or -1.
func (h history) indexOf(c event.StorageLoaded) int {
	for i := len(h) - 1; i >= 0; i-- {
		same := len(h[i].Entries) == len(c.Entries) && (len(c.Entries) == 0 || reflect.DeepEqual(h[i].Entries, c.Entries))
		if same && h[i].Disk == c.Disk && h[i].Hard == c.Hard && reflect.DeepEqual(h[i].Snapshot, c.Snapshot) {
			return i
		}
	}
	return -1
}

// Guards against losing a write after Write has confirmed it, and against
// reading only a part of a write. The test opens the folder again after crashes
// that tear unsynced data, short writes, failed syncs and full disks.
var _ = It("confirmed writes survive a crash", func() {
	t := GinkgoTB()
	incomplete, failed := 0, 0
	for seed := range uint64(600) {
		m := newMemoryFS(seed)
		s, err := storage.Open(m)
		if err != nil {
			t.Fatal(err)
		}
		for range 8 {
			h, confirmed := history{s.Contents()}, 0
			m.opsUntilFailure = m.rng.IntN(60)
			for range m.rng.IntN(8) {
				var batch []event.Persist
				for range 1 + m.rng.IntN(3) {
					batch = append(batch, randomWrite(m.rng, &h))
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
			found := h.indexOf(s.Contents())
			if found < confirmed && !isUnconfirmedSnapshot(h[confirmed:], s.Contents()) {
				t.Fatalf("seed %d: state %d of %d, confirmed %d", seed, found, len(h)-1, confirmed)
			}
			if found != len(h)-1 {
				incomplete++
			}
		}
	}
	if incomplete == 0 || failed == 0 {
		t.Fatalf("%d incomplete and %d failed writes: the test must cover both", incomplete, failed)
	}
})

// isUnconfirmedSnapshot reports whether the contents are an unconfirmed snapshot
// combined with the log before it. A crash between the replacement of the
// snapshot file and that of the log leaves this state.
func isUnconfirmedSnapshot(h history, c event.StorageLoaded) bool {
	return c.Snapshot.Index > h[0].Snapshot.Index && slices.ContainsFunc(h[1:], func(a event.StorageLoaded) bool {
		return reflect.DeepEqual(a.Snapshot, c.Snapshot) && a.Hard.Term == c.Hard.Term
	})
}

// Guards against reading a changed or truncated file as if it were intact. The
// accepted results are ErrCorrupt, the last state and, if the end of the file
// is truncated or reads as zeros, the state before the last write.
var _ = It("damaged log or snapshot is detected", func() {
	t := GinkgoTB()
	m := newMemoryFS(5)
	s, err := storage.Open(m)
	if err != nil {
		t.Fatal(err)
	}
	var olderSnapshot []byte
	h := history{s.Contents()}
	for len(h) < 40 || len(h.last().Entries) < 4 || h.last().Snapshot.Index == 0 {
		if f := m.files["snapshot"]; olderSnapshot == nil && f != nil {
			olderSnapshot = f.data
		}
		if err := s.Write([]event.Persist{randomWrite(m.rng, &h)}); err != nil {
			t.Fatal(err)
		}
	}
	expectDetected := func(name string, data []byte, damage string, oldest int) {
		damaged := newMemoryFS(0)
		maps.Copy(damaged.files, m.files)
		damaged.files[name] = &memoryFile{fs: damaged, data: data}
		s, err := storage.Open(damaged)
		if err != nil && !errors.Is(err, storage.ErrCorrupt) || err == nil && h.indexOf(s.Contents()) < oldest {
			t.Errorf("%s %s: %v", name, damage, err)
		}
	}
	expectDetected("snapshot", olderSnapshot, "of an earlier state", len(h)-1)
	for _, name := range []string{"log", "snapshot"} {
		intact := m.files[name].data
		for offset := range intact {
			flipped := slices.Clone(intact)
			flipped[offset] ^= 1 << (offset % 8)
			expectDetected(name, flipped, fmt.Sprint("bit flipped at ", offset), len(h)-1)
			zeroed := append(slices.Clone(intact[:offset]), make([]byte, min(512, len(intact)-offset))...)
			expectDetected(name, append(zeroed, intact[len(zeroed):]...), fmt.Sprint("zeros at ", offset), len(h)-2)
			expectDetected(name, intact[:offset], fmt.Sprint("cut at ", offset), len(h)-2)
		}
	}
})

// Guards against two processes that use one data folder at the same time.
var _ = It("data folder cannot be opened twice at the same time", func() {
	t := GinkgoTB()
	g := NewWithT(t)
	folder, err := storage.OpenFolder(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	first, err := storage.Open(folder)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = storage.Open(folder)
	g.Expect(err).To(MatchError(storage.ErrLocked))
	g.Expect(first.Write([]event.Persist{{Hard: event.HardState{Term: 7}}})).To(Succeed())
	g.Expect(first.Close()).To(Succeed())
	reopened, err := storage.Open(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reopened.Contents().Hard.Term).To(Equal(uint64(7)))
	g.Expect(reopened.Contents().Disk).To(Equal(first.Contents().Disk))
	g.Expect(reopened.Close()).To(Succeed())
})

// Guards against a rewrite that needs the log once more in memory, or fails because the log is
// too large for one record.
var _ = It("log is rewritten record by record", func() {
	const entries, entryBytes, maxWrite = 40, 200_000, 2 << 20
	m := newMemoryFS(1)
	s, err := storage.Open(m)
	Expect(err).NotTo(HaveOccurred())
	for i := range uint64(entries) {
		Expect(s.Write([]event.Persist{{Hard: event.HardState{Term: 1}, Entries: []message.Entry{
			{Index: i + 1, Term: 1, Data: bytes.Repeat([]byte{byte(i)}, entryBytes)}}}})).To(Succeed())
	}
	written := s.Contents()
	Expect(s.Close()).To(Succeed())
	for range 2 { // the second time the log is a rewritten one
		m.largestWrite = 0
		s, err = storage.Open(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Contents()).To(Equal(written))
		Expect(m.largestWrite).To(And(BeNumerically(">", entryBytes), BeNumerically("<=", maxWrite)))
		Expect(s.Close()).To(Succeed())
	}
})
