package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

var registrationsFile = checkedFile{name: "registrations.cbor", magic: "avr1"}

// registrationLogName is the name of the log of registrations in the data folder.
const registrationLogName = "registrations.log"

// Registrations stores the registrations of upstreams in a data folder: a file with all
// of them at some time, and a log of those that were appended since. It is not safe for
// concurrent use.
type Registrations struct {
	dir string
	// log is the open log, nil if it must be written again before the next append.
	log *os.File
	// frames is the content of the log that is to be kept.
	frames []byte
}

// registrationRecord is one append to the log.
type registrationRecord struct {
	Registrations []model.Registration
}

// NewRegistrations returns the store of a data folder. Load must be called before the
// other methods.
func NewRegistrations(dir string) *Registrations { return &Registrations{dir: dir} }

// Load returns the stored registrations. Of several registrations of an upstream, the
// one that supersedes the others is valid. If an error is returned, a file is damaged or
// cannot be read; what could be read is returned with it, and the store can be used.
func (r *Registrations) Load() ([]model.Registration, error) {
	list, err := loadAllRegistrations(r.dir)
	appended, logErr := r.loadLog()
	return append(list, appended...), errors.Join(err, logErr)
}

// loadAllRegistrations returns the registrations of the file that Replace wrote. The
// error wraps ErrFileCorrupt if the file was changed since.
func loadAllRegistrations(dir string) ([]model.Registration, error) {
	body, err := registrationsFile.load(dir)
	if err != nil {
		return nil, fmt.Errorf("load registrations: %w", err)
	}
	if body == nil {
		return nil, nil
	}
	return codec.DecodeRegistrations(body)
}

// loadLog returns the registrations in the log. A torn record at its end was not
// confirmed by Append and is left out.
func (r *Registrations) loadLog() ([]model.Registration, error) {
	f, err := os.Open(filepath.Join(r.dir, registrationLogName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load log of registrations: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxCheckedFileBytes))
	if err != nil {
		return nil, fmt.Errorf("load log of registrations: %w", err)
	}
	var list []model.Registration
	frames := frameReader{file: bytes.NewReader(data), size: int64(len(data))}
	for offset := int64(0); offset < frames.size; {
		var record registrationRecord
		next, err := frames.read(offset, &record)
		if errors.Is(err, errTorn) {
			break
		}
		if err != nil {
			return list, fmt.Errorf("load log of registrations: %w", err)
		}
		list = append(list, record.Registrations...)
		r.frames = append(r.frames, data[offset:next]...)
		offset = next
	}
	return list, nil
}

// Append adds registrations to the stored ones. When it returns nil, they are synced.
func (r *Registrations) Append(list []model.Registration) error {
	frame, err := appendFrame(nil, registrationRecord{Registrations: list})
	if err != nil {
		return fmt.Errorf("append registrations: %w", err)
	}
	if r.log == nil {
		err = r.rewriteLog(frame)
	} else {
		err = r.appendToLog(frame)
	}
	if err != nil {
		return fmt.Errorf("append registrations: %w", err)
	}
	r.frames = append(r.frames, frame...)
	return nil
}

// rewriteLog replaces the log by one with the kept frames and a new one.
func (r *Registrations) rewriteLog(frame []byte) error {
	data := append(append([]byte{}, r.frames...), frame...)
	if err := replaceFileOnDisk(r.dir, registrationLogName, data); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, registrationLogName), os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.log = log
	return nil
}

// appendToLog writes a frame behind the others. After an error the content of the file
// is unknown, so that the next append replaces the file.
func (r *Registrations) appendToLog(frame []byte) error {
	_, err := r.log.WriteAt(frame, int64(len(r.frames)))
	if err == nil {
		err = r.log.Sync()
	}
	if err != nil {
		r.Close()
	}
	return err
}

// Replace stores the given registrations instead of all stored before. When it returns
// nil, they are synced. After an error the stored ones remain.
func (r *Registrations) Replace(list []model.Registration) error {
	body, err := codec.EncodeRegistrations(list)
	if err == nil {
		err = registrationsFile.save(r.dir, body)
	}
	if err != nil {
		// The folder may have been replaced, in which case the open log has no name.
		r.Close()
		return fmt.Errorf("save registrations: %w", err)
	}
	r.frames = nil
	// A log that is still read after a crash adds nothing: the file has the same
	// registrations or those that supersede them.
	if r.log != nil && r.log.Truncate(0) != nil {
		r.Close()
	}
	return nil
}

// Close closes the log, which the next append opens again. What was stored is synced.
func (r *Registrations) Close() {
	if r.log != nil {
		_ = r.log.Close()
		r.log = nil
	}
}
