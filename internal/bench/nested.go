package bench

import (
	"math"
	"strings"
)

// setNested sets a value in nested JSON objects. Dots in the name separate the
// keys of the levels; missing objects are created.
func setNested(object map[string]any, name string, value any) {
	for {
		first, rest, nested := strings.Cut(name, ".")
		if !nested {
			object[first] = value
			return
		}
		child, ok := object[first].(map[string]any)
		if !ok {
			child = map[string]any{}
			object[first] = child
		}
		object, name = child, rest
	}
}

// roundThousandths rounds to three decimal places.
func roundThousandths(v float64) float64 { return math.Round(v*1000) / 1000 }
