package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

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

// frameReader reads the frames of a file one by one, so that no more than one of them is in
// memory.
type frameReader struct {
	file io.ReaderAt
	size int64
	// payload is used again for each frame.
	payload []byte
}

// read decodes the frame at an offset of the file into value and returns the offset after
// the frame. It returns errTorn if the frame may be an incomplete write. If the frame is
// damaged in a way that an incomplete write cannot explain, the error wraps ErrCorrupt.
func (r *frameReader) read(offset int64, value any) (int64, error) {
	var header [frameHeaderBytes]byte
	if r.size-offset < frameHeaderBytes {
		return 0, errTorn
	}
	if _, err := r.file.ReadAt(header[:], offset); err != nil {
		return 0, fmt.Errorf("read record at %d: %w", offset, err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if ^size != binary.BigEndian.Uint32(header[4:]) || size > maxPayloadBytes {
		return 0, classifyDamage(offset, header[:])
	}
	payloadOffset := offset + frameHeaderBytes
	end := payloadOffset + int64(size)
	if end > r.size {
		return 0, errTorn
	}
	if cap(r.payload) < int(size) {
		r.payload = make([]byte, size)
	}
	payload := r.payload[:size]
	if _, err := r.file.ReadAt(payload, payloadOffset); err != nil && !errors.Is(err, io.EOF) {
		return 0, fmt.Errorf("read record at %d: %w", offset, err)
	}
	if checksum(header[:8], payload) != binary.BigEndian.Uint64(header[8:]) {
		return 0, classifyDamage(offset, header[:], payload)
	}
	if err := decMode.Unmarshal(payload, value); err != nil {
		return 0, fmt.Errorf("%w: record at %d: %v", ErrCorrupt, offset, err)
	}
	return end, nil
}

// classifyDamage returns errTorn if a sector of the damaged range, which begins at an offset
// of the file and consists of the parts, reads as zeros, since a crash may leave out sectors
// of an unsynced write. Otherwise the data changed after it was written, and the error wraps
// ErrCorrupt.
func classifyDamage(begin int64, parts ...[]byte) error {
	data := slices.Concat(parts...)
	for start := 0; start < len(data); {
		sector := (begin + int64(start)) / sectorBytes
		end := min(int((sector+1)*sectorBytes-begin), len(data))
		if isZero(data[start:end]) {
			return errTorn
		}
		start = end
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
