package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilcrank/anvilcrank/pkg/message"
)

// MaxMessageBytes is the maximum size of an encoded message. Larger messages are
// rejected before they are decoded.
const MaxMessageBytes = 4 << 20

// ErrMessageTooLarge reports a message of more than MaxMessageBytes.
var ErrMessageTooLarge = errors.New("message is too large")

// envelope is an encoded message with the kind that selects its Go type.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind message.Kind
	Body cbor.RawMessage
}

// decMode limits nesting and the numbers of elements, so that malformed input
// from a peer cannot exhaust the memory.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// EncodeMessage encodes a message together with its kind.
func EncodeMessage(m message.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message kind %d: %w", m.Kind(), err)
	}
	data, err := cbor.Marshal(envelope{Kind: m.Kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode message kind %d: %w", m.Kind(), err)
	}
	return data, nil
}

// DecodeMessage decodes a message that EncodeMessage encoded.
func DecodeMessage(data []byte) (message.Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, ErrMessageTooLarge
	}
	var e envelope
	if err := decMode.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	m := message.New(e.Kind)
	if m == nil {
		return nil, fmt.Errorf("decode message: unknown kind %d", e.Kind)
	}
	if err := decMode.Unmarshal(e.Body, m); err != nil {
		return nil, fmt.Errorf("decode message kind %d: %w", e.Kind, err)
	}
	return m, nil
}
