package control

import (
	"context"
	"errors"
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// Sink receives the events that a StorageWriter reports.
type Sink interface {
	Report(event.Body)
}

// StorageWriter executes Persist effects on a separate goroutine, so that the
// control goroutine never waits for a disk. Writes that are queued during a
// sync are written and synced together afterwards.
type StorageWriter struct {
	storage *storage.Storage
	// loaded holds the contents that the data folder had when it was opened.
	loaded    event.StorageLoaded
	closeOnce sync.Once

	mu      sync.Mutex
	pending []event.Persist
	// wake has a capacity of 1 and holds a value while pending may contain
	// writes.
	wake chan struct{}
}

// OpenStorageWriter opens a data folder. It returns an error only if another
// process uses the folder. If the folder cannot be opened or read for another
// reason, Run reports that in the field Failure of the event StorageLoaded.
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

// Persist queues a write. The queue needs no limit of its own, since the
// reducer accepts no proposals while too many log entries are uncommitted.
func (s *StorageWriter) Persist(p event.Persist) {
	s.mu.Lock()
	s.pending = append(s.pending, p)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reports the contents of the data folder to the sink, and then executes
// queued writes until the context ends.
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

// write executes all queued Persist effects. It reports the sequence number of
// the last one as persisted, or the error of the write.
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

// Close closes the folder and releases its lock. Run must have returned.
func (s *StorageWriter) Close() {
	s.closeOnce.Do(func() {
		if s.storage != nil {
			_ = s.storage.Close()
		}
	})
}
