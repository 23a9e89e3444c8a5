package bench

import (
	"math"
	"strings"
)

// setNested sets a value under a name whose dots separate nested objects.
func setNested(object map[string]any, name string, value any) {
	for {
		head, rest, nested := strings.Cut(name, ".")
		if !nested {
			object[head] = value
			return
		}
		inner, ok := object[head].(map[string]any)
		if !ok {
			inner = map[string]any{}
			object[head] = inner
		}
		object, name = inner, rest
	}
}

// round keeps three digits after the point.
func round(v float64) float64 { return math.Round(v*1000) / 1000 }
