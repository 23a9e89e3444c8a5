package storage

import (
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

var registrationsFile = checkedFile{name: "registrations.cbor", magic: "avr1"}

// SaveRegistrations replaces the saved registrations of upstreams.
func SaveRegistrations(dir string, list []model.Registration) error {
	body, err := codec.EncodeRegistrations(list)
	if err == nil {
		err = registrationsFile.save(dir, body)
	}
	if err != nil {
		return fmt.Errorf("save registrations: %w", err)
	}
	return nil
}

// LoadRegistrations returns the saved registrations, none if there are none. The
// error wraps ErrFileCorrupt if the file differs from what SaveRegistrations wrote.
func LoadRegistrations(dir string) ([]model.Registration, error) {
	body, err := registrationsFile.load(dir)
	if err != nil {
		return nil, fmt.Errorf("load registrations: %w", err)
	}
	if body == nil {
		return nil, nil
	}
	return codec.DecodeRegistrations(body)
}
