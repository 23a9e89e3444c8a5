package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// ErrFileCorrupt reports a file with a checksum that is torn, truncated or changed.
var ErrFileCorrupt = errors.New("file is damaged")

// checkedFile is a file that consists of a magic number, the size of the body in 4
// bytes, the checksum of the body in 8 bytes, and the body.
type checkedFile struct {
	name, magic string
}

// maxCheckedFileBytes limits the memory used to read a file.
const maxCheckedFileBytes = 64 << 20

func (f checkedFile) headerBytes() int { return len(f.magic) + 4 + 8 }

// save replaces the file. When it returns nil, the new file is synced. Until then a
// crash leaves the former file intact.
func (f checkedFile) save(dir string, body []byte) error {
	if len(body) > maxCheckedFileBytes-f.headerBytes() {
		return fmt.Errorf("%s has %d bytes, more than can be read", f.name, len(body))
	}
	data := append([]byte(f.magic), make([]byte, 0, 12+len(body))...)
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	return replaceFileOnDisk(dir, f.name, append(data, body...))
}

// load returns the body of the file, nil if there is no file. The error wraps
// ErrFileCorrupt if the file differs from what save wrote.
func (f checkedFile) load(dir string) ([]byte, error) {
	path := filepath.Join(dir, f.name)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if info.Size() < int64(f.headerBytes()) || info.Size() > maxCheckedFileBytes {
		return nil, fmt.Errorf("%d bytes: %w", info.Size(), ErrFileCorrupt)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return f.check(data)
}

// check checks the header and the checksum and returns the body.
func (f checkedFile) check(data []byte) ([]byte, error) {
	if len(data) < f.headerBytes() || string(data[:len(f.magic)]) != f.magic {
		return nil, fmt.Errorf("header: %w", ErrFileCorrupt)
	}
	size := binary.BigEndian.Uint32(data[len(f.magic):])
	sum := binary.BigEndian.Uint64(data[len(f.magic)+4:])
	body := data[f.headerBytes():]
	if uint32(len(body)) != size || xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("checksum: %w", ErrFileCorrupt)
	}
	return body, nil
}

// replaceFileOnDisk writes data to a temporary file, syncs it, renames it to
// name and syncs the folder.
func replaceFileOnDisk(dir, name string, data []byte) error {
	path := filepath.Join(dir, name)
	f, err := os.OpenFile(path+".tmp", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		// A part of the file must not take the space that the log needs.
		return errors.Join(err, os.Remove(f.Name()))
	}
	return syncFolder(dir)
}

// syncFolder makes created and renamed files of the folder durable.
func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
