package storage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrCorrupt reports a file whose contents differ from what was written.
var ErrCorrupt = errors.New("corrupt file")

// errTorn reports a record of which only a part may have reached the disk.
var errTorn = errors.New("torn record")

const (
	// frameHeaderBytes is the size of the header of a frame. A frame is one record
	// in a file: the header and the CBOR-encoded payload. The header consists of the
	// length of the payload, the inverted length, and the checksum of both lengths
	// and the payload. The inverted length detects a flipped bit in the length,
	// which would otherwise look like a record that extends past the end of the
	// file.
	frameHeaderBytes = 16
	// maxPayloadBytes limits the size of one encoded record.
	maxPayloadBytes = 1 << 30
	// sectorBytes is the unit in which a disk writes data: after a crash, each
	// sector of an unsynced write is either written or not.
	sectorBytes = 512
)

// appendFrame encodes a value as CBOR and appends it to b as a frame.
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

// checksum returns the checksum of both lengths and the payload of a frame.
func checksum(lengths, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(lengths)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// readFrame decodes the frame at an offset of a file into value and returns the
// offset after the frame. It returns errTorn if the frame may be an incomplete
// write. If the frame is damaged in a way that an incomplete write cannot
// explain, the error wraps ErrCorrupt.
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

// classifyDamage returns errTorn if a sector of the damaged range reads as
// zeros, since a crash may leave out sectors of an unsynced write. Otherwise
// the data changed after it was written, and the error wraps ErrCorrupt.
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

// isZero reports whether all bytes are zero.
func isZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// decMode raises the array limit of the CBOR library, since a record may hold a
// whole log.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()
