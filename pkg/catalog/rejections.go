package catalog

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxRejections is the largest number of rejected changes that are retained.
const maxRejections = 256

// Rejections holds the latest rejected changes of items, so that a change is not applied
// late after its caller was told elsewhere that it was rejected.
type Rejections struct {
	// Latest holds them in the order of their positions.
	Latest []Rejection `cbor:",omitempty"`
	// Forgotten is the position of the latest one that is no longer retained.
	Forgotten uint64 `cbor:",omitempty"`
}

// Rejection is a change of items that was rejected when it was applied.
type Rejection struct {
	Position uint64
	// Digest is a hash of the items of the change.
	Digest uint64
}

func (r Rejections) clone() Rejections {
	r.Latest = slices.Clone(r.Latest)
	return r
}

// add records that a change was rejected at a log position.
func (r *Rejections) add(position uint64, items []model.Item) {
	d := digest(items)
	r.Latest = slices.DeleteFunc(r.Latest, func(x Rejection) bool { return x.Digest == d })
	r.Latest = append(r.Latest, Rejection{Position: position, Digest: d})
	if len(r.Latest) > maxRejections {
		r.Forgotten = r.Latest[0].Position
		r.Latest = slices.Delete(r.Latest, 0, 1)
	}
}

// since reports whether the change may have been rejected after a log position.
func (r *Rejections) since(position uint64, items []model.Item) bool {
	if r.Forgotten > position {
		return true
	}
	if len(r.Latest) == 0 || r.Latest[len(r.Latest)-1].Position <= position {
		return false
	}
	d := digest(items)
	return slices.ContainsFunc(r.Latest, func(x Rejection) bool { return x.Digest == d && x.Position > position })
}

// digest returns a hash of the items that does not depend on their order.
func digest(items []model.Item) uint64 {
	var sum uint64
	for i := range items {
		item := &items[i]
		h := xxhash.New()
		var head [11]byte
		binary.BigEndian.PutUint64(head[:], uint64(item.Version))
		head[8] = byte(item.Key.Kind)
		if item.Removed {
			head[9] = 1
		}
		_, _ = h.Write(head[:])
		_, _ = h.WriteString(item.Key.Name)
		_, _ = h.Write(head[10:])
		_, _ = h.Write(item.Document)
		sum += h.Sum64()
	}
	return sum
}
