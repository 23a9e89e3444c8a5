package storage_test

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

var errInjected = errors.New("no space left on device")

// memoryFS is a data folder in memory that keeps synced and unsynced data
// apart. Each operation decrements opsUntilFailure, and the operation that
// decrements it to 0 fails.
type memoryFS struct {
	rng             *rand.Rand
	files           map[string]*memoryFile // what the process reads before a crash
	durableFiles    map[string]*memoryFile // what remains after a crash
	opsUntilFailure int
	largestWrite    int
}

// memoryFile is a file of memoryFS: its data, and the data at its latest sync.
type memoryFile struct {
	fs           *memoryFS
	data, synced []byte
}

func newMemoryFS(seed uint64) *memoryFS {
	return &memoryFS{rng: rand.New(rand.NewPCG(seed, 3)), files: map[string]*memoryFile{}}
}

// countOperation returns errInjected when the operation is the one to fail.
func (m *memoryFS) countOperation() error {
	if m.opsUntilFailure--; m.opsUntilFailure == 0 {
		return errInjected
	}
	return nil
}

func (m *memoryFS) Open(name string) (storage.SourceFile, int64, error) {
	if f, ok := m.files[name]; ok {
		return memorySource{bytes.NewReader(slices.Clone(f.data))}, int64(len(f.data)), nil
	}
	return nil, 0, fs.ErrNotExist
}

// memorySource is a file of memoryFS that is open for reading.
type memorySource struct{ *bytes.Reader }

func (memorySource) Close() error { return nil }

func (m *memoryFS) Create(name string) (storage.File, error) {
	m.files[name] = &memoryFile{fs: m}
	return m.files[name], m.countOperation()
}

func (m *memoryFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return m.countOperation()
}

func (m *memoryFS) SyncFolder() error {
	err := m.countOperation()
	if err == nil {
		m.durableFiles = maps.Clone(m.files)
	}
	return err
}

func (m *memoryFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// WriteAt writes a random part of p if the operation is the one to fail.
func (f *memoryFile) WriteAt(p []byte, off int64) (int, error) {
	f.fs.largestWrite = max(f.fs.largestWrite, len(p))
	err := f.fs.countOperation()
	if err != nil {
		p = p[:f.fs.rng.IntN(len(p))]
	}
	f.data = append(f.data, make([]byte, max(0, int(off)+len(p)-len(f.data)))...)
	return copy(f.data[off:], p), err
}

func (f *memoryFile) Sync() error {
	err := f.fs.countOperation()
	if err == nil {
		f.synced = slices.Clone(f.data)
	}
	return err
}

func (f *memoryFile) Close() error { return nil }

// crash simulates a crash of the machine. It keeps all synced data and a random
// choice of the unsynced sectors.
func (m *memoryFS) crash() {
	if m.rng.IntN(2) == 0 { // a rename may reach the disk before the folder is synced
		m.durableFiles = m.files
	}
	m.files, m.opsUntilFailure = map[string]*memoryFile{}, 0
	for _, name := range slices.Sorted(maps.Keys(m.durableFiles)) {
		f := m.durableFiles[name]
		kept := make([]byte, len(f.synced)+m.rng.IntN(len(f.data)-len(f.synced)+1))
		copy(kept, f.synced)
		for from := 0; from < len(kept); from += 512 {
			if m.rng.IntN(2) == 0 {
				copy(kept[from:min(from+512, len(kept))], f.data[from:])
			}
		}
		m.files[name] = &memoryFile{fs: m, data: kept, synced: kept}
	}
	m.durableFiles = maps.Clone(m.files)
}
