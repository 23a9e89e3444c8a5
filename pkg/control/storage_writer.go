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
	fs storage.FS
	// storage is nil if the data folder could not be opened.
	storage *storage.Storage
	// loaded holds the contents that the data folder had when it was last opened.
	loaded    event.StorageLoaded
	closeOnce sync.Once

	mu      sync.Mutex
	pending []event.Persist
	// reopen is true if the data folder must be opened again.
	reopen bool
	// wake has a capacity of 1 and holds a value while pending may contain
	// writes or reopen may be true.
	wake chan struct{}
}

// OpenStorageWriter opens a data folder. It returns an error only if another
// process uses the folder. If the folder cannot be opened or read for another
// reason, Run reports that in the field Failure of the event StorageLoaded.
func OpenStorageWriter(fs storage.FS) (*StorageWriter, error) {
	s := &StorageWriter{fs: fs, wake: make(chan struct{}, 1)}
	if err := s.open(); errors.Is(err, storage.ErrLocked) {
		return nil, err
	}
	return s, nil
}

// open opens the data folder and sets loaded. It returns the error that loaded
// reports.
func (s *StorageWriter) open() error {
	opened, err := storage.Open(s.fs)
	if err != nil {
		s.storage, s.loaded = nil, event.StorageLoaded{Failure: err.Error()}
		return err
	}
	s.storage, s.loaded = opened, opened.Contents()
	return nil
}

// Persist queues a write. The queue needs no limit of its own, since the
// reducer accepts no proposals while too many log entries are uncommitted.
func (s *StorageWriter) Persist(p event.Persist) {
	s.mu.Lock()
	s.pending = append(s.pending, p)
	s.mu.Unlock()
	s.wakeRun()
}

// Reopen drops all queued writes and opens the data folder again.
func (s *StorageWriter) Reopen() {
	s.mu.Lock()
	s.pending, s.reopen = nil, true
	s.mu.Unlock()
	s.wakeRun()
}

func (s *StorageWriter) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run reports the contents of the data folder to the sink, and then executes
// queued writes and calls of Reopen until the context ends.
func (s *StorageWriter) Run(ctx context.Context, sink Sink) error {
	s.reportLoaded(sink)
	for {
		select {
		case <-s.wake:
			s.write(sink)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// reportLoaded reports the contents of the data folder and keeps no reference to them: the
// log may be large, and is replaced by a snapshot.
func (s *StorageWriter) reportLoaded(sink Sink) {
	sink.Report(s.loaded)
	s.loaded = event.StorageLoaded{}
}

// write opens the data folder again if that was requested, and executes all
// queued Persist effects. It reports the sequence number of the last one as
// persisted, or the error of the write.
func (s *StorageWriter) write(sink Sink) {
	s.mu.Lock()
	batch, reopen := s.pending, s.reopen
	s.pending, s.reopen = nil, false
	s.mu.Unlock()
	if reopen {
		if s.storage != nil {
			_ = s.storage.Close()
		}
		_ = s.open() // loaded holds the error
		s.reportLoaded(sink)
	}
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
