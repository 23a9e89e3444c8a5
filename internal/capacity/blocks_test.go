package capacity

import (
	"encoding/binary"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a look-up that names another block's sites, before and after
// a delta, and against a delta that changes the table it came from.
func TestLookupFindsTheBlockOfAnAddress(t *testing.T) {
	g := NewWithT(t)
	blocks := sampleBlocks(5000)
	table := NewTable(blocks)
	changed := blocks[4321]
	changed.Sites = [Choices]Site{9, 8, 7}
	next := table.Apply([]Block{changed})
	for i := range blocks {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(i)<<8|uint32(i%256))
		g.Expect(*table.Lookup(netip.AddrFrom4(a))).To(Equal(blocks[i]))
		want := blocks[i]
		if i == 4321 {
			want = changed
		}
		g.Expect(*next.Lookup(netip.AddrFrom4(a))).To(Equal(want))
	}
}
