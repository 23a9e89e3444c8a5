package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// EncodeChange encodes a change for the replicated log.
func EncodeChange(c *change.Change) ([]byte, error) { return encode("change", c) }

// DecodeChange decodes what EncodeChange made.
func DecodeChange(data []byte) (*change.Change, error) { return decode[change.Change]("change", data) }

// EncodeSnapshot encodes the replicated state.
func EncodeSnapshot(s *change.Snapshot) ([]byte, error) { return encode("snapshot", s) }

// DecodeSnapshot decodes what EncodeSnapshot made.
func DecodeSnapshot(data []byte) (*change.Snapshot, error) {
	return decode[change.Snapshot]("snapshot", data)
}

func encode(subject string, v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", subject, err)
	}
	return data, nil
}

func decode[T any](subject string, data []byte) (*T, error) {
	v := new(T)
	if err := decMode.Unmarshal(data, v); err != nil {
		return nil, fmt.Errorf("decode %s: %w", subject, err)
	}
	return v, nil
}

// EncodeConfig encodes a configuration for its file.
func EncodeConfig(c *model.Config) ([]byte, error) { return encode("configuration", c) }

// DecodeConfig decodes what EncodeConfig made.
func DecodeConfig(data []byte) (*model.Config, error) {
	return decode[model.Config]("configuration", data)
}

// Changes implements the codec of the replicated log.
type ChangeCodec struct{}

// EncodeChange encodes a change for the replicated log.
func (ChangeCodec) EncodeChange(c *change.Change) ([]byte, error) { return EncodeChange(c) }

// DecodeChange decodes what EncodeChange made.
func (ChangeCodec) DecodeChange(data []byte) (*change.Change, error) { return DecodeChange(data) }

// EncodeSnapshot encodes the replicated state.
func (ChangeCodec) EncodeSnapshot(s *change.Snapshot) ([]byte, error) { return EncodeSnapshot(s) }

// DecodeSnapshot decodes what EncodeSnapshot made.
func (ChangeCodec) DecodeSnapshot(data []byte) (*change.Snapshot, error) { return DecodeSnapshot(data) }
