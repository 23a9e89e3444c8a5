package storage

import (
	"errors"
	"fmt"

	"github.com/anvilcrank/anvilcrank/pkg/codec"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// ErrConfigCorrupt reports a configuration file that is torn, truncated or
// changed.
var ErrConfigCorrupt = errors.New("configuration file is damaged")

var configFile = checkedFile{name: "config.cbor", magic: "avc1"}

// SaveConfig replaces the saved configuration. When it returns nil, the new file
// is synced. Until then a crash leaves the former file intact.
func SaveConfig(dir string, c *model.Config) error {
	body, err := codec.EncodeConfig(c)
	if err == nil {
		err = configFile.save(dir, body)
	}
	if err != nil {
		return fmt.Errorf("save configuration: %w", err)
	}
	return nil
}

// LoadConfig returns the saved configuration, or nil if none was saved. The
// error wraps ErrConfigCorrupt if the file differs from what SaveConfig wrote.
func LoadConfig(dir string) (*model.Config, error) {
	body, err := configFile.load(dir)
	if errors.Is(err, ErrFileCorrupt) {
		err = fmt.Errorf("%w: %w", ErrConfigCorrupt, err)
	}
	if err != nil {
		return nil, fmt.Errorf("load configuration: %w", err)
	}
	if body == nil {
		return nil, nil
	}
	return codec.DecodeConfig(body)
}
