package control

import (
	"context"
	"errors"
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// Sink takes the results of writes.
type Sink interface {
	Report(event.Body)
}

// Storer carries out Persist effects on a goroutine of its own, so that the
// control goroutine never waits for a disk. Writes that arrive during a sync are
// synced together.
type StorageWriter struct {
	storage   *storage.Storage
	loaded    event.StorageLoaded
	closeOnce sync.Once

	mu      sync.Mutex
	pending []event.Persist
	// arrived holds a token while writes wait.
	wake chan struct{}
}

// OpenStorer opens a data folder. A folder in use by another process is an
// error; any other fault is reported by Run as the failure of the event
// StorageLoaded.
func OpenStorageWriter(fs storage.FS) (*StorageWriter, error) {
	s := &StorageWriter{wake: make(chan struct{}, 1)}
	opened, err := storage.Open(fs)
	switch {
	case errors.Is(err, storage.ErrLocked):
		return nil, err
	case err != nil:
		s.loaded.Failure = err.Error()
	default:
		s.storage = opened
		s.loaded = opened.Contents()
	}
	return s, nil
}

// Persist queues a write. The queue is bounded by the reducer, which accepts no
// proposals while too many entries are uncommitted.
func (s *StorageWriter) Persist(p event.Persist) {
	s.mu.Lock()
	s.pending = append(s.pending, p)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reports the contents of the folder and then carries out writes until the
// context ends.
func (s *StorageWriter) Run(ctx context.Context, sink Sink) error {
	sink.Report(s.loaded)
	for {
		select {
		case <-s.wake:
			s.write(sink)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *StorageWriter) write(sink Sink) {
	s.mu.Lock()
	batch := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(batch) == 0 || s.storage == nil {
		return
	}
	result := event.Persisted{Seq: batch[len(batch)-1].Seq}
	if err := s.storage.Write(batch); err != nil {
		result.Failure = err.Error()
	}
	sink.Report(result)
}

// Close releases the folder. Run must have returned.
func (s *StorageWriter) Close() {
	s.closeOnce.Do(func() {
		if s.storage != nil {
			_ = s.storage.Close()
		}
	})
}
