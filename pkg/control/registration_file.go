package control

import (
	"context"
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// RegistrationFile saves registrations of upstreams to a file of a data folder on a
// separate goroutine, and reports those that the file held at the start. It
// implements RegistrationStore.
type RegistrationFile struct {
	dir       string
	telemetry Telemetry

	mu sync.Mutex
	// latest is what was passed to Save last, nil if it is already saved.
	latest *event.SaveRegistrations
	// wake has a capacity of 1 and holds a value while latest may be set.
	wake chan struct{}
}

// NewRegistrationFile returns the file in a data folder.
func NewRegistrationFile(dir string, telemetry Telemetry) *RegistrationFile {
	return &RegistrationFile{dir: dir, telemetry: telemetry, wake: make(chan struct{}, 1)}
}

// Save implements RegistrationStore. If the disk is slow, registrations that were not
// written yet are replaced.
func (f *RegistrationFile) Save(e event.SaveRegistrations) {
	f.mu.Lock()
	f.latest = &e
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run reports the saved registrations to the sink, and then saves what is passed to
// Save until the context ends.
func (f *RegistrationFile) Run(ctx context.Context, sink Sink) error {
	list, err := storage.LoadRegistrations(f.dir)
	if err != nil {
		f.logFailure(err)
	}
	sink.Report(event.RegistrationsLoaded{Registrations: list})
	for {
		select {
		case <-f.wake:
			f.saveLatest()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *RegistrationFile) saveLatest() {
	f.mu.Lock()
	e := f.latest
	f.latest = nil
	f.mu.Unlock()
	if e == nil {
		return
	}
	if err := storage.SaveRegistrations(f.dir, e.Registrations); err != nil {
		f.logFailure(err)
	}
}

func (f *RegistrationFile) logFailure(err error) {
	f.telemetry.Log(event.Log{Code: logevent.RegistrationsNotSaved, Fields: []logevent.Field{logevent.F("error", err.Error())}})
}
