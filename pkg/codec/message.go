package codec

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
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
var decMode = newDecMode(maxNestedLevels)

// deepDecMode accepts the deepest nesting that the library supports. It is used
// for a message whose parts are decoded one by one with decMode.
var deepDecMode = newDecMode(65535)

// maxNestedLevels is the deepest nesting of a value.
const maxNestedLevels = 16

// newDecMode returns a decoding mode with the given deepest nesting. Strings that
// are not valid UTF-8 are decoded; their validity is checked where it matters, so
// that one such string does not make a whole message unreadable.
func newDecMode(maxNestedLevels int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

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
	if err := deepDecMode.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	m := message.New(e.Kind)
	if m == nil {
		return nil, fmt.Errorf("decode message: unknown kind %d", e.Kind)
	}
	err := decMode.Unmarshal(e.Body, m)
	if err != nil && e.Kind == message.KindRecords {
		return decodeRecordsSingly(e.Body)
	}
	if err != nil {
		return nil, fmt.Errorf("decode message kind %d: %w", e.Kind, err)
	}
	return m, nil
}

// rawRecords is a message.Records whose records are not decoded yet.
type rawRecords struct {
	Items         []cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	Evacuations   []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	Registrations []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
	AckID         uint64            `cbor:"4,keyasint,omitempty"`
	Complete      bool              `cbor:"5,keyasint,omitempty"`
}

// decodeRecordsSingly decodes a Records message of which at least one record
// cannot be decoded. The others take effect; Undecodable counts the rest.
func decodeRecordsSingly(body []byte) (message.Message, error) {
	var raw rawRecords
	if err := deepDecMode.Unmarshal(body, &raw); err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	m := &message.Records{AckID: raw.AckID, Complete: raw.Complete}
	m.Items = decodeEach[model.Item](raw.Items, &m.Undecodable)
	m.Evacuations = decodeEach[model.Evacuation](raw.Evacuations, &m.Undecodable)
	m.Registrations = decodeEach[model.Registration](raw.Registrations, &m.Undecodable)
	return m, nil
}

// decodeEach decodes the values that can be decoded, and adds the number of the
// others to undecodable.
func decodeEach[T any](raw []cbor.RawMessage, undecodable *int) []T {
	var list []T
	for _, data := range raw {
		var v T
		if err := decMode.Unmarshal(data, &v); err != nil {
			*undecodable++
			continue
		}
		list = append(list, v)
	}
	return list
}
