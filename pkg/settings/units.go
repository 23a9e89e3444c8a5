package settings

import (
	"encoding"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Duration is a duration written with its unit, such as "500ms" or "2m".
type Duration time.Duration

// Duration returns the value as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// UnmarshalYAML parses a duration. An error contains the settings key and the
// line.
func (d *Duration) UnmarshalYAML(node ast.Node) error { return unmarshalNode(node, d) }

// UnmarshalYAML parses a rate. An error contains the settings key and the line.
func (r *Rate) UnmarshalYAML(node ast.Node) error { return unmarshalNode(node, r) }

// unmarshalNode unmarshals the text of a YAML node. An error is a KeyError with
// the key and line of the node.
func unmarshalNode(node ast.Node, v encoding.TextUnmarshaler) error {
	tok := node.GetToken()
	if err := v.UnmarshalText([]byte(tok.Value)); err != nil {
		key := strings.TrimPrefix(node.GetPath(), "$.")
		return &KeyError{Line: tok.Position.Line, Key: key, Err: err}
	}
	return nil
}

// UnmarshalText parses a duration. A number without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 500ms or 2m", text)
	}
	if v < 0 {
		return fmt.Errorf("%q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// Rate is a data rate in bytes per second. It is written in bits per second,
// such as "280Mbit/s" or "4Gbit/s".
type Rate int64

// UnmarshalText parses a rate with the unit kbit/s, Mbit/s or Gbit/s.
func (r *Rate) UnmarshalText(text []byte) error {
	units := []struct {
		suffix string
		bits   float64
	}{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}}
	for _, u := range units {
		number, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || v <= 0 || v > 1e6 {
			break
		}
		*r = Rate(v * u.bits / 8)
		return nil
	}
	return fmt.Errorf("%q is not a rate such as 280Mbit/s or 4Gbit/s", text)
}
