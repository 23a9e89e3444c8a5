package codec

import "github.com/anvilcrank/anvilcrank/pkg/catalog"

// Commands implements the codec of the replicated log of a fleet.
type CommandCodec struct{}

// EncodeCommand encodes a command for the replicated log.
func (CommandCodec) EncodeCommand(c *catalog.Command) ([]byte, error) { return encode("command", c) }

// DecodeCommand decodes what EncodeCommand made.
func (CommandCodec) DecodeCommand(data []byte) (*catalog.Command, error) {
	return decode[catalog.Command]("command", data)
}

// EncodeSnapshot encodes the state of the catalog.
func (CommandCodec) EncodeSnapshot(s *catalog.Snapshot) ([]byte, error) { return encode("catalog", s) }

// DecodeSnapshot decodes what EncodeSnapshot made.
func (CommandCodec) DecodeSnapshot(data []byte) (*catalog.Snapshot, error) {
	return decode[catalog.Snapshot]("catalog", data)
}
