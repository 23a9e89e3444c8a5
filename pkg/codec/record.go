package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// eventRecord is the encoded form of an event. Type is the name of the Go type of
// the event's body.
type eventRecord struct {
	_    struct{} `cbor:",toarray"`
	At   model.Time
	Type string
	Body cbor.RawMessage
}

// peerReceivedRecord is the encoded form of event.PeerReceived. Message is
// encoded by EncodeMessage, since decoding it requires its kind.
type peerReceivedRecord struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Message     []byte
}

// eventTypes holds the Go types of event bodies by name.
var eventTypes = func() map[string]reflect.Type {
	m := make(map[string]reflect.Type, len(event.Bodies))
	for _, b := range event.Bodies {
		t := reflect.TypeOf(b)
		m[t.Name()] = t
	}
	return m
}()

// EncodeEvent encodes an event for a recording.
func EncodeEvent(ev event.Event) ([]byte, error) {
	var body any = ev.Body
	if p, ok := ev.Body.(event.PeerReceived); ok {
		m, err := EncodeMessage(p.Message)
		if err != nil {
			return nil, err
		}
		body = peerReceivedRecord{From: p.From, Incarnation: p.Incarnation, Message: m}
	}
	name := reflect.TypeOf(ev.Body).Name()
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode event %s: %w", name, err)
	}
	return cbor.Marshal(eventRecord{At: ev.At, Type: name, Body: raw})
}

// DecodeEvent decodes an event that EncodeEvent encoded.
func DecodeEvent(data []byte) (event.Event, error) {
	var r eventRecord
	if err := decMode.Unmarshal(data, &r); err != nil {
		return event.Event{}, fmt.Errorf("decode event: %w", err)
	}
	t, ok := eventTypes[r.Type]
	if !ok {
		return event.Event{}, fmt.Errorf("decode event: unknown type %q", r.Type)
	}
	if t == reflect.TypeFor[event.PeerReceived]() {
		return decodePeerReceived(r)
	}
	v := reflect.New(t)
	if err := decMode.Unmarshal(r.Body, v.Interface()); err != nil {
		return event.Event{}, fmt.Errorf("decode event %s: %w", r.Type, err)
	}
	return event.Event{At: r.At, Body: v.Elem().Interface().(event.Body)}, nil
}

// decodePeerReceived decodes an event whose body is a peerReceivedRecord.
func decodePeerReceived(r eventRecord) (event.Event, error) {
	var p peerReceivedRecord
	if err := decMode.Unmarshal(r.Body, &p); err != nil {
		return event.Event{}, fmt.Errorf("decode event %s: %w", r.Type, err)
	}
	m, err := DecodeMessage(p.Message)
	if err != nil {
		return event.Event{}, fmt.Errorf("decode event %s: %w", r.Type, err)
	}
	return event.Event{At: r.At, Body: event.PeerReceived{From: p.From, Incarnation: p.Incarnation, Message: m}}, nil
}
