package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// EncodeChange encodes a change for the replicated log.
func EncodeChange(c *change.Change) ([]byte, error) { return encode("change", c) }

// DecodeChange decodes a change that EncodeChange encoded.
func DecodeChange(data []byte) (*change.Change, error) { return decode[change.Change]("change", data) }

// EncodeSnapshot encodes the replicated state for a snapshot.
func EncodeSnapshot(s *change.Snapshot) ([]byte, error) { return encode("snapshot", s) }

// DecodeSnapshot decodes a state that EncodeSnapshot encoded.
func DecodeSnapshot(data []byte) (*change.Snapshot, error) {
	return decode[change.Snapshot]("snapshot", data)
}

// encode encodes a value. The subject names the value in errors.
func encode(subject string, v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", subject, err)
	}
	return data, nil
}

// decode decodes a value that encode encoded. The subject names the value in
// errors.
func decode[T any](subject string, data []byte) (*T, error) {
	v := new(T)
	if err := decMode.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("decode %s: %w", subject, err)
	}
	return v, nil
}

// EncodeConfig encodes a configuration for the configuration file.
func EncodeConfig(c *model.Config) ([]byte, error) { return encode("configuration", c) }

// DecodeConfig decodes a configuration that EncodeConfig encoded.
func DecodeConfig(data []byte) (*model.Config, error) {
	return decode[model.Config]("configuration", data)
}

// EncodeRegistrations encodes the registrations of upstreams for their file.
func EncodeRegistrations(list []model.Registration) ([]byte, error) {
	return encode("registrations", list)
}

// DecodeRegistrations decodes registrations that EncodeRegistrations encoded.
func DecodeRegistrations(data []byte) ([]model.Registration, error) {
	list, err := decode[[]model.Registration]("registrations", data)
	if err != nil {
		return nil, err
	}
	return *list, nil
}

// ChangeCodec encodes and decodes the changes and snapshots of the replicated
// log that package state uses.
type ChangeCodec struct{}

// EncodeChange encodes a change for the replicated log.
func (ChangeCodec) EncodeChange(c *change.Change) ([]byte, error) { return EncodeChange(c) }

// DecodeChange decodes a change that EncodeChange encoded.
func (ChangeCodec) DecodeChange(data []byte) (*change.Change, error) { return DecodeChange(data) }

// EncodeSnapshot encodes the replicated state for a snapshot.
func (ChangeCodec) EncodeSnapshot(s *change.Snapshot) ([]byte, error) { return EncodeSnapshot(s) }

// DecodeSnapshot decodes a state that EncodeSnapshot encoded.
func (ChangeCodec) DecodeSnapshot(data []byte) (*change.Snapshot, error) { return DecodeSnapshot(data) }
