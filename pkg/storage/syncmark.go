package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The write-ahead file begins with two marks in sectors of their own. A mark
// holds the length up to which the file was synced when the write after it
// began. It is written along with that write and costs no sync. What lies before
// the mark must be intact; only what lies after it may be torn. The marks are
// written in turn, so that one of them is always whole.
const (
	numSyncMarks  = 2
	syncMarkBytes = 24
	// marksEnd is the offset of the first record.
	firstFrameOffset = numSyncMarks * sectorBytes
)

// mark encodes a mark.
func encodeSyncMark(seq, length uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, seq)
	b = binary.BigEndian.AppendUint64(b, length)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// markOffset returns where the mark with the number is.
func syncMarkOffset(seq uint64) int64 { return int64(seq % numSyncMarks * sectorBytes) }

// readMark returns the length of the latest mark.
func readSyncedLength(data []byte) (uint64, error) {
	if len(data) < firstFrameOffset {
		return 0, fmt.Errorf("%w: %d bytes are too few", ErrCorrupt, len(data))
	}
	var seq, length uint64
	for slot := range numSyncMarks {
		encoded := data[slot*sectorBytes:][:syncMarkBytes]
		slotSeq := binary.BigEndian.Uint64(encoded)
		if binary.BigEndian.Uint64(encoded[16:]) == xxhash.Sum64(encoded[:16]) && slotSeq >= seq {
			seq, length = slotSeq, binary.BigEndian.Uint64(encoded[8:])
		}
	}
	switch {
	case length == 0:
		return 0, fmt.Errorf("%w: no mark is intact", ErrCorrupt)
	case length > uint64(len(data)):
		return 0, fmt.Errorf("%w: %d of %d synced bytes", ErrCorrupt, len(data), length)
	}
	return length, nil
}
