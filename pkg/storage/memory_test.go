package storage_test

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// memory is a data folder in memory. It knows what is synced, and fails as told.
type memory struct {
	rng          *rand.Rand
	names        map[string]*file // as the process sees them
	durable      map[string]*file // as a restart finds them
	ops, failAt  int              // the operation with this number fails; 0 for none
	err          error
	short, reads bool // a failed write writes a part; reads return a part
}

type file struct {
	m            *memory
	data, synced []byte
}

func newMemory(seed uint64) *memory {
	return &memory{rng: rand.New(rand.NewPCG(seed, 3)), names: map[string]*file{}, durable: map[string]*file{}}
}

func (m *memory) fails() bool {
	m.ops++
	return m.ops == m.failAt
}

func (m *memory) ReadFile(name string) ([]byte, error) {
	f, ok := m.names[name]
	switch {
	case !ok:
		return nil, fs.ErrNotExist
	case m.reads:
		return slices.Clone(f.data[:m.rng.IntN(len(f.data))]), nil
	}
	return slices.Clone(f.data), nil
}

func (m *memory) Create(name string) (storage.File, error) {
	if m.fails() {
		return nil, m.err
	}
	m.names[name] = &file{m: m}
	return m.names[name], nil
}

func (m *memory) Rename(from, to string) error {
	if m.fails() {
		return m.err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) SyncFolder() error {
	if m.fails() {
		return m.err
	}
	m.durable = map[string]*file{}
	for name, f := range m.names {
		m.durable[name] = f
	}
	return nil
}

func (m *memory) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	fail := f.m.fails()
	if fail && !f.m.short {
		return 0, f.m.err
	}
	if fail {
		p = p[:f.m.rng.IntN(len(p))]
	}
	if need := int(off) + len(p); need > len(f.data) {
		f.data = append(f.data, make([]byte, need-len(f.data))...)
	}
	copy(f.data[off:], p)
	if fail {
		return len(p), f.m.err
	}
	return len(p), nil
}

func (f *file) Sync() error {
	if f.m.fails() {
		return f.m.err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *file) Close() error { return nil }

// crash keeps what is synced and some sectors of what is not.
func (m *memory) crash() {
	if m.rng.IntN(2) == 0 { // a rename may be durable before the folder is synced
		m.durable = m.names
	}
	m.names = map[string]*file{}
	for name, f := range m.durable {
		kept := make([]byte, len(f.synced)+m.rng.IntN(len(f.data)-len(f.synced)+1))
		for from := 0; from < len(kept); from += 512 {
			to := min(from+512, len(kept))
			copy(kept[from:to], f.synced[min(from, len(f.synced)):])
			if m.rng.IntN(2) == 0 {
				copy(kept[from:to], f.data[from:to])
			}
		}
		m.names[name] = &file{m: m, data: kept, synced: kept}
	}
	m.durable = map[string]*file{}
	for name, f := range m.names {
		m.durable[name] = f
	}
	m.failAt = 0
}

var errInjected = errors.New("no space left on device")
