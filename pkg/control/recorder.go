package control

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/state"
)

// recordedEvent is an event with the digest of the effects that the reducer
// returned for it.
type recordedEvent struct {
	event  event.Event
	digest uint64
}

// Recorder keeps the latest events of a reducer in a ring buffer. WriteTo
// writes these events as a recording, and Replay computes the effects of the
// recorded events again.
type Recorder struct {
	identity state.Identity
	mu       sync.Mutex
	ring     []recordedEvent
	// next is the index of the oldest event in a full ring, which the next event
	// overwrites.
	next int
	// dropped counts the overwritten events.
	dropped uint64
}

// NewRecorder returns a recorder that keeps the latest size events, none if size
// is 0. The identity is written to the header of the recording.
func NewRecorder(identity state.Identity, size int) *Recorder {
	return &Recorder{identity: identity, ring: make([]recordedEvent, 0, size)}
}

// Record adds an event and the digest of its effects. It does nothing on a nil
// recorder.
func (r *Recorder) Record(ev event.Event, effects []event.Effect) {
	if r == nil || cap(r.ring) == 0 {
		return
	}
	rec := recordedEvent{event: ev, digest: Digest(effects)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, rec)
		return
	}
	r.ring[r.next] = rec
	r.next = (r.next + 1) % len(r.ring)
	r.dropped++
}

// Digest hashes a list of effects in order, to compare the effects of a replay
// with the recorded ones. It covers the type and all fields of an effect, with
// two exceptions. Of a published view it covers only the number of instances,
// since views contain pointers. Of a sent message it covers only the receiver
// and the kind.
func Digest(effects []event.Effect) uint64 {
	h := xxhash.New()
	for _, e := range effects {
		switch e := e.(type) {
		case event.Publish:
			fmt.Fprintf(h, "publish %d;", len(e.View.Instances))
		case event.Send:
			fmt.Fprintf(h, "send %s %d;", e.To, e.Message.Kind())
		default:
			fmt.Fprintf(h, "%T%v;", e, e)
		}
	}
	return h.Sum64()
}

// header is the first frame of a recording. Its field names are part of the
// encoding.
type header struct {
	Identity state.Identity
	Dropped  uint64
	Events   int
}

// WriteTo writes the recording as frames with a length prefix: the header, then
// each event followed by the 8-byte digest of its effects.
//
// The events are copied first, so that a slow writer does not block Record.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	r.mu.Lock()
	ring := slices.Concat(r.ring[r.next:], r.ring[:r.next])
	dropped := r.dropped
	r.mu.Unlock()
	var total int64
	writeFrame := func(data []byte) error {
		frame := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
		n, err := w.Write(append(frame, data...))
		total += int64(n)
		return err
	}
	encoded, err := cbor.Marshal(header{Identity: r.identity, Dropped: dropped, Events: len(ring)})
	if err != nil {
		return 0, fmt.Errorf("encode recording: %w", err)
	}
	if err := writeFrame(encoded); err != nil {
		return total, fmt.Errorf("write recording: %w", err)
	}
	for i := range ring {
		rec := &ring[i]
		data, err := codec.EncodeEvent(rec.event)
		if err != nil {
			return total, err
		}
		data = binary.BigEndian.AppendUint64(data, rec.digest)
		if err := writeFrame(data); err != nil {
			return total, fmt.Errorf("write recording: %w", err)
		}
	}
	return total, nil
}

// ReplayReport is the result of a replay. Its JSON form is printed by
// "anvilcrank replay --json".
type ReplayReport struct {
	Events int `json:"events"`
	// FirstMismatch is the index of the first event whose effects differ from
	// the recorded ones, -1 if there is none. The JSON form calls it mismatch.
	FirstMismatch int `json:"mismatch"`
	// Dropped is the number of events that were overwritten before the
	// recording was written. If it is not 0, the replay does not start from the
	// state in which the first recorded event occurred, so the effects may
	// differ.
	Dropped uint64 `json:"dropped"`
	// Failures are the invariants that failed in the replay.
	Failures []event.InvariantFailed `json:"failures"`
}

// maxFrameBytes is the largest frame that Replay reads. The limit keeps a
// corrupt length from exhausting the memory.
const maxFrameBytes = 64 << 20

// ReplayFile opens a recording and replays it with Replay.
func ReplayFile(path string) (ReplayReport, error) {
	f, err := os.Open(path)
	if err != nil {
		return ReplayReport{FirstMismatch: -1}, fmt.Errorf("read recording: %w", err)
	}
	defer f.Close()
	return Replay(bufio.NewReader(f))
}

// Replay applies the recorded events to a new reducer and compares the digests of
// its effects with the recorded ones.
func Replay(r io.Reader) (ReplayReport, error) {
	report := ReplayReport{FirstMismatch: -1}
	encoded, err := readFrame(r)
	if err != nil {
		return report, fmt.Errorf("read recording: %w", err)
	}
	var h header
	if err := cbor.Unmarshal(encoded, &h); err != nil {
		return report, fmt.Errorf("read recording: %w", err)
	}
	report.Dropped = h.Dropped
	reducer := state.New(h.Identity, codec.ChangeCodec{})
	for {
		data, err := readFrame(r)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return report, fmt.Errorf("read recording: event %d: %w", report.Events, err)
		}
		if len(data) < 8 {
			return report, fmt.Errorf("read recording: event %d is cut short", report.Events)
		}
		ev, err := codec.DecodeEvent(data[:len(data)-8])
		if err != nil {
			return report, fmt.Errorf("read recording: event %d: %w", report.Events, err)
		}
		effects := reducer.Step(ev)
		wantDigest := binary.BigEndian.Uint64(data[len(data)-8:])
		if report.FirstMismatch < 0 && Digest(effects) != wantDigest {
			report.FirstMismatch = report.Events
		}
		for _, e := range effects {
			if failed, ok := e.(event.InvariantFailed); ok {
				report.Failures = append(report.Failures, failed)
			}
		}
		report.Events++
	}
	if report.Events != h.Events {
		return report, fmt.Errorf("read recording: %d of %d events", report.Events, h.Events)
	}
	return report, nil
}

// readFrame reads a frame. It returns io.EOF at the end of the recording, and
// io.ErrUnexpectedEOF for a truncated frame.
func readFrame(r io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes is too large", length)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}
