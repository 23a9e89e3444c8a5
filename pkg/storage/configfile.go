package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// ErrConfigCorrupt reports a configuration file that is torn, truncated or
// changed.
var ErrConfigCorrupt = errors.New("configuration file is damaged")

// The configuration file consists of a magic number, the size of the body in 4
// bytes, the checksum of the body in 8 bytes, and the body.
const (
	configFileName    = "config.cbor"
	configMagic       = "avc1"
	configHeaderBytes = len(configMagic) + 4 + 8
	// maxConfigFileBytes limits the memory used to read the file.
	maxConfigFileBytes = 64 << 20
)

// SaveConfig replaces the saved configuration. When it returns nil, the new file
// is synced. Until then a crash leaves the former file intact.
func SaveConfig(dir string, c *model.Config) error {
	body, err := codec.EncodeConfig(c)
	if err != nil {
		return err
	}
	data := append([]byte(configMagic), make([]byte, 0, configHeaderBytes+len(body))...)
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	data = append(data, body...)
	if err := replaceFileOnDisk(dir, configFileName, data); err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	return nil
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
		return err
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

// LoadConfig returns the saved configuration, or nil if none was saved. The
// error wraps ErrConfigCorrupt if the file differs from what SaveConfig wrote.
func LoadConfig(dir string) (*model.Config, error) {
	path := filepath.Join(dir, configFileName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("load configuration: %w", err)
	}
	if info.Size() < int64(configHeaderBytes) || info.Size() > maxConfigFileBytes {
		return nil, fmt.Errorf("load configuration: %d bytes: %w", info.Size(), ErrConfigCorrupt)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load configuration: %w", err)
	}
	return decodeConfigFile(data)
}

// decodeConfigFile checks the header and the checksum and decodes the body.
func decodeConfigFile(data []byte) (*model.Config, error) {
	if len(data) < configHeaderBytes || string(data[:len(configMagic)]) != configMagic {
		return nil, fmt.Errorf("load configuration: header: %w", ErrConfigCorrupt)
	}
	size := binary.BigEndian.Uint32(data[len(configMagic):])
	sum := binary.BigEndian.Uint64(data[len(configMagic)+4:])
	body := data[configHeaderBytes:]
	if uint32(len(body)) != size || xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("load configuration: checksum: %w", ErrConfigCorrupt)
	}
	return codec.DecodeConfig(body)
}
