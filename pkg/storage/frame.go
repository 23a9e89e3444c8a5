package storage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrCorrupt reports a file whose contents are not what was written.
var ErrCorrupt = errors.New("corrupt file")

// errTorn reports a record whose write did not reach the disk as a whole.
var errTorn = errors.New("torn record")

const (
	// A frame is the length of the payload, the inverted length, the checksum of
	// both and the payload, and the payload. The inverted length keeps a flipped
	// bit in the length from looking like the end of the file.
	frameHeaderBytes = 16
	// maxPayload bounds a record in bytes.
	maxPayloadBytes = 1 << 30
	// sector is the unit in which a disk writes or leaves out data.
	sectorBytes = 512
)

// appendFrame encodes a value and appends it as a frame.
func appendFrame(b []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	if len(payload) > maxPayloadBytes {
		return nil, fmt.Errorf("record of %d bytes is too large", len(payload))
	}
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, ^uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, checksum(b[start:start+8], payload))
	return append(b, payload...), nil
}

func checksum(lengths, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(lengths)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// readFrame decodes the frame at an offset of a file and returns the offset
// after it. It returns errTorn for a frame that may be an incomplete write, and
// ErrCorrupt for any other fault.
func readFrame(data []byte, offset int, value any) (int, error) {
	remaining := data[offset:]
	if len(remaining) < frameHeaderBytes {
		return 0, errTorn
	}
	size := binary.BigEndian.Uint32(remaining)
	if ^size != binary.BigEndian.Uint32(remaining[4:]) || size > maxPayloadBytes {
		return 0, classifyDamage(data, offset, offset+frameHeaderBytes)
	}
	end := offset + frameHeaderBytes + int(size)
	if end > len(data) {
		return 0, errTorn
	}
	payload := data[offset+frameHeaderBytes : end]
	if checksum(remaining[:8], payload) != binary.BigEndian.Uint64(remaining[8:]) {
		return 0, classifyDamage(data, offset, end)
	}
	if err := decMode.Unmarshal(payload, value); err != nil {
		return 0, fmt.Errorf("%w: record at %d: %v", ErrCorrupt, offset, err)
	}
	return end, nil
}

// tornOrCorrupt tells a write that left out sectors, which read as zeros, from
// data that changed after it was written.
func classifyDamage(data []byte, begin, end int) error {
	for sectorStart := begin; sectorStart < end; {
		sectorEnd := min((sectorStart/sectorBytes+1)*sectorBytes, end)
		if isZero(data[sectorStart:sectorEnd]) {
			return errTorn
		}
		sectorStart = sectorEnd
	}
	return fmt.Errorf("%w: record at %d has a wrong checksum", ErrCorrupt, begin)
}

func isZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// decMode allows the large arrays of a log.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
