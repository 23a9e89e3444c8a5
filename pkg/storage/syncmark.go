package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// The write-ahead log begins with two sync marks, each in its own sector. A sync
// mark holds the length up to which the file was synced when the latest write
// began. It is written and synced together with that write, so it costs no
// additional sync. Records before the marked length must be intact; only records
// after it may be torn. The two sync marks are written alternately, so that a
// torn write damages at most one of them.
const (
	numSyncMarks  = 2
	syncMarkBytes = 24
	// firstFrameOffset is the offset of the first record, the logHeader.
	firstFrameOffset = numSyncMarks * sectorBytes
)

// encodeSyncMark encodes a sync mark. Of two intact sync marks, the one with the
// higher sequence number applies.
func encodeSyncMark(seq, length uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, seq)
	b = binary.BigEndian.AppendUint64(b, length)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// syncMarkOffset returns the file offset of the sync mark with the sequence
// number seq.
func syncMarkOffset(seq uint64) int64 { return int64(seq % numSyncMarks * sectorBytes) }

// readSyncedLength returns the length in the latest intact sync mark. The error
// wraps ErrCorrupt if neither sync mark is intact or the file is shorter than
// the length.
func readSyncedLength(file io.ReaderAt, size int64) (int64, error) {
	if size < firstFrameOffset {
		return 0, fmt.Errorf("%w: %d bytes are too few", ErrCorrupt, size)
	}
	var data [firstFrameOffset]byte
	if _, err := file.ReadAt(data[:], 0); err != nil && !errors.Is(err, io.EOF) {
		return 0, fmt.Errorf("read sync marks: %w", err)
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
		return 0, fmt.Errorf("%w: no sync mark is intact", ErrCorrupt)
	case length > uint64(size):
		return 0, fmt.Errorf("%w: %d of %d synced bytes", ErrCorrupt, size, length)
	}
	return int64(length), nil
}
