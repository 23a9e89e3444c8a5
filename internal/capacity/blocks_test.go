package capacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

// testBlocks makes n distinct /24 blocks.
func testBlocks(n int) []Block {
	rng := rand.New(rand.NewPCG(1, 2))
	blocks := make([]Block, n)
	for i := range blocks {
		var a [4]byte
		binary.BigEndian.PutUint32(a[:], uint32(i)<<8)
		sites := [Choices]Site{Site(rng.IntN(520)), Site(rng.IntN(520)), Site(rng.IntN(520))}
		blocks[i] = NewBlock(netip.PrefixFrom(netip.AddrFrom4(a), 24), sites)
	}
	return blocks
}

// Guards against a look-up that names another block's sites, before and after
// a delta, and against a delta that changes the table it came from.
func TestLookupFindsTheBlockOfAnAddress(t *testing.T) {
	g := NewWithT(t)
	blocks := testBlocks(5000)
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

var blockCounts = []int{15_000, 60_000, 120_000, 240_000}

func BenchmarkBlockLookup(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			table := NewTable(testBlocks(n))
			rng := rand.New(rand.NewPCG(3, 4))
			addrs := make([]netip.Addr, 1<<16)
			for i := range addrs {
				var a [4]byte
				binary.BigEndian.PutUint32(a[:], uint32(rng.IntN(n))<<8)
				addrs[i] = netip.AddrFrom4(a)
			}
			b.ResetTimer()
			for i := range b.N {
				if table.Lookup(addrs[i&(1<<16-1)]) == nil {
					b.Fatal("no block")
				}
			}
		})
	}
}

// BenchmarkBlockDelta applies the change of one site's share of the blocks.
func BenchmarkBlockDelta(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks := testBlocks(n)
			table := NewTable(blocks)
			delta := blocks[:n/520]
			b.ReportAllocs()
			for b.Loop() {
				table = table.Apply(delta)
			}
		})
	}
}

func BenchmarkBlockMemory(b *testing.B) {
	for _, n := range blockCounts {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			blocks := testBlocks(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := NewTable(blocks)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
			runtime.KeepAlive(table)
			runtime.KeepAlive(blocks)
		})
	}
}
