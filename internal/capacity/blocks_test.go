package capacity

import (
	"encoding/binary"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a Lookup that returns a block without the address, in a new table
// or in one that Apply returned. Also guards against an Apply that changes its
// receiver, the original table.
func TestLookupFindsTheBlockOfAnAddress(t *testing.T) {
	g := NewWithT(t)
	blocks := sampleBlocks(5000)
	table := NewBlockTable(blocks)
	changed := blocks[4321]
	changed.Sites = [SitesPerBlock]Site{9, 8, 7}
	updated := table.Apply([]Block{changed})
	for i := range blocks {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], uint32(i)<<8|uint32(i%256))
		g.Expect(*table.Lookup(netip.AddrFrom4(bytes))).To(Equal(blocks[i]))
		want := blocks[i]
		if i == 4321 {
			want = changed
		}
		g.Expect(*updated.Lookup(netip.AddrFrom4(bytes))).To(Equal(want))
	}
}
