package bench

import (
	"math"
	"strings"
)

// setNested sets a value under a name whose dots separate nested objects.
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

// round keeps three digits after the point.
func roundThousandths(v float64) float64 { return math.Round(v*1000) / 1000 }
