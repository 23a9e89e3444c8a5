package codec

import "github.com/anvilcrank/anvilcrank/pkg/catalog"

// CommandCodec encodes and decodes the catalog commands and snapshots of the
// replicated log that package fleet uses.
type CommandCodec struct{}

// EncodeCommand encodes a command for the replicated log.
func (CommandCodec) EncodeCommand(c *catalog.Command) ([]byte, error) { return encode("command", c) }

// DecodeCommand decodes a command that EncodeCommand encoded.
func (CommandCodec) DecodeCommand(data []byte) (*catalog.Command, error) {
	return decode[catalog.Command]("command", data)
}

// EncodeSnapshot encodes the state of the catalog for a snapshot.
func (CommandCodec) EncodeSnapshot(s *catalog.Snapshot) ([]byte, error) { return encode("catalog", s) }

// DecodeSnapshot decodes a state that EncodeSnapshot encoded.
func (CommandCodec) DecodeSnapshot(data []byte) (*catalog.Snapshot, error) {
	return decode[catalog.Snapshot]("catalog", data)
}
