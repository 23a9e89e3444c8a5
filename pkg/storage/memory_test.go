package storage_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

var errInjected = errors.New("no space left on device")

// memory is a data folder in memory. It knows what is synced, and the operation
// that brings failIn to 0 fails.
type memory struct {
	rng     *rand.Rand
	names   map[string]*file // as the process sees them
	durable map[string]*file // as a restart finds them
	failIn  int
}

type file struct {
	m            *memory
	data, synced []byte
}

func newMemory(seed uint64) *memory {
	return &memory{rng: rand.New(rand.NewPCG(seed, 3)), names: map[string]*file{}}
}

func (m *memory) op() error {
	if m.failIn--; m.failIn == 0 {
		return errInjected
	}
	return nil
}

func (m *memory) ReadFile(name string) ([]byte, error) {
	if f, ok := m.names[name]; ok {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memory) Create(name string) (storage.File, error) {
	m.names[name] = &file{m: m}
	return m.names[name], m.op()
}

func (m *memory) Rename(from, to string) error {
	m.names[to] = m.names[from]
	delete(m.names, from)
	return m.op()
}

func (m *memory) SyncFolder() error {
	err := m.op()
	if err == nil {
		m.durable = maps.Clone(m.names)
	}
	return err
}

func (m *memory) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// WriteAt writes only a part when it fails.
func (f *file) WriteAt(p []byte, off int64) (int, error) {
	err := f.m.op()
	if err != nil {
		p = p[:f.m.rng.IntN(len(p))]
	}
	f.data = append(f.data, make([]byte, max(0, int(off)+len(p)-len(f.data)))...)
	return copy(f.data[off:], p), err
}

func (f *file) Sync() error {
	err := f.m.op()
	if err == nil {
		f.synced = slices.Clone(f.data)
	}
	return err
}

func (f *file) Close() error { return nil }

// crash keeps what is synced and some sectors of what is not.
func (m *memory) crash() {
	if m.rng.IntN(2) == 0 { // a rename may be durable before the folder is synced
		m.durable = m.names
	}
	m.names, m.failIn = map[string]*file{}, 0
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[name]
		kept := make([]byte, len(f.synced)+m.rng.IntN(len(f.data)-len(f.synced)+1))
		copy(kept, f.synced)
		for from := 0; from < len(kept); from += 512 {
			if m.rng.IntN(2) == 0 {
				copy(kept[from:min(from+512, len(kept))], f.data[from:])
			}
		}
		m.names[name] = &file{m: m, data: kept, synced: kept}
	}
	m.durable = maps.Clone(m.names)
}
