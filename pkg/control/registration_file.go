package control

import (
	"context"
	"sync"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/storage"
)

// RegistrationFile writes registrations of upstreams to a data folder on a separate
// goroutine, and reports those that the folder held at the start. It implements
// RegistrationStore.
type RegistrationFile struct {
	dir       string
	telemetry Telemetry

	mu sync.Mutex
	// pending holds what was passed to Save and Persist and is not written yet.
	pending registrationWrites
	// wake has a capacity of 1 and holds a value while pending may not be empty.
	wake chan struct{}
}

// registrationWrites are calls of Save and Persist. Registrations passed to Persist
// before the latest call of Save are among those passed to Save.
type registrationWrites struct {
	// all is what was passed to Save last, nil if it was not called. allSeq is the
	// sequence number of the latest call of Persist before, 0 if it has a result.
	all    *event.SaveRegistrations
	allSeq uint64
	// appended is what was passed to Persist after that, and appendedSeq the latest
	// sequence number.
	appended    []model.Registration
	appendedSeq uint64
}

// NewRegistrationFile returns the file in a data folder.
func NewRegistrationFile(dir string, telemetry Telemetry) *RegistrationFile {
	return &RegistrationFile{dir: dir, telemetry: telemetry, wake: make(chan struct{}, 1)}
}

// Save implements RegistrationStore. If the disk is slow, registrations that were not
// written yet are replaced.
func (f *RegistrationFile) Save(e event.SaveRegistrations) {
	f.mu.Lock()
	p := &f.pending
	p.all, p.allSeq = &e, max(p.allSeq, p.appendedSeq)
	p.appended, p.appendedSeq = nil, 0
	f.mu.Unlock()
	f.wakeRun()
}

// Persist implements RegistrationStore. Registrations that are passed during a write
// are written and synced together afterwards.
func (f *RegistrationFile) Persist(e event.PersistRegistrations) {
	f.mu.Lock()
	f.pending.appended = append(f.pending.appended, e.Registrations...)
	f.pending.appendedSeq = e.Seq
	f.mu.Unlock()
	f.wakeRun()
}

func (f *RegistrationFile) wakeRun() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run reports the stored registrations to the sink, and then writes what is passed to
// Save and Persist until the context ends.
func (f *RegistrationFile) Run(ctx context.Context, sink Sink) error {
	stored := storage.NewRegistrations(f.dir)
	defer stored.Close()
	list, err := stored.Load()
	if err != nil {
		f.logFailure(err)
	}
	sink.Report(event.RegistrationsLoaded{Registrations: list})
	for {
		select {
		case <-f.wake:
			f.write(stored, sink)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// write writes what is pending and reports the results of the calls of Persist.
func (f *RegistrationFile) write(stored *storage.Registrations, sink Sink) {
	f.mu.Lock()
	w := f.pending
	f.pending = registrationWrites{}
	f.mu.Unlock()
	if w.all != nil {
		f.report(sink, w.allSeq, stored.Replace(w.all.Registrations))
	}
	if w.appendedSeq != 0 {
		f.report(sink, w.appendedSeq, stored.Append(w.appended))
	}
}

// report logs a failed write, and reports the result of the calls of Persist up to seq
// if seq is not 0.
func (f *RegistrationFile) report(sink Sink, seq uint64, err error) {
	persisted := event.RegistrationsPersisted{Seq: seq}
	if err != nil {
		f.logFailure(err)
		persisted.Failure = err.Error()
	}
	if seq != 0 {
		sink.Report(persisted)
	}
}

func (f *RegistrationFile) logFailure(err error) {
	f.telemetry.Log(event.Log{Code: logevent.RegistrationsNotSaved, Fields: []logevent.Field{logevent.F("error", err.Error())}})
}
