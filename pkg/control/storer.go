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
type Storer struct {
	storage *storage.Storage
	loaded  event.StorageLoaded
	close   sync.Once

	mu      sync.Mutex
	waiting []event.Persist
	// arrived holds a token while writes wait.
	arrived chan struct{}
}

// OpenStorer opens a data folder. A folder in use by another process is an
// error; any other fault is reported by Run as the failure of the event
// StorageLoaded.
func OpenStorer(f storage.FS) (*Storer, error) {
	s := &Storer{arrived: make(chan struct{}, 1)}
	opened, err := storage.Open(f)
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
func (s *Storer) Persist(p event.Persist) {
	s.mu.Lock()
	s.waiting = append(s.waiting, p)
	s.mu.Unlock()
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// Run reports the contents of the folder and then carries out writes until the
// context ends.
func (s *Storer) Run(ctx context.Context, sink Sink) error {
	sink.Report(s.loaded)
	for {
		select {
		case <-s.arrived:
			s.write(sink)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Storer) write(sink Sink) {
	s.mu.Lock()
	batch := s.waiting
	s.waiting = nil
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
func (s *Storer) Close() {
	s.close.Do(func() {
		if s.storage != nil {
			_ = s.storage.Close()
		}
	})
}
