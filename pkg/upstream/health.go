package upstream

import "github.com/anvilcrank/anvilcrank/pkg/model"

// health is what this instance has observed of an upstream.
type health struct {
	suspect bool
}

// free returns the number of slots that may be granted now.
func (u *Upstream) free(at model.Time) int { return u.Meter.Free(at) }
