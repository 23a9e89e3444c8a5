package capacity

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
)

// blockAddress returns the first address of block i.
func blockAddress(i int) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(i)<<8)
	return netip.AddrFrom4(a)
}

// sampleBlocks makes n distinct /24 blocks.
func sampleBlocks(n int) []Block {
	rng := rand.New(rand.NewPCG(1, 2))
	blocks := make([]Block, n)
	for i := range blocks {
		chosen := [Choices]Site{Site(rng.IntN(sites)), Site(rng.IntN(sites)), Site(rng.IntN(sites))}
		blocks[i] = NewBlock(netip.PrefixFrom(blockAddress(i), 24), chosen)
	}
	return blocks
}

func blockSeries() []Series {
	sizes := []int{15_000, 60_000, 120_000, 240_000}
	series := func(name, unit string, g Growth, bench func(*testing.B, int)) Series {
		return Series{Name: name, Variable: "blocks", Sizes: sizes, Design: 240_000,
			Metrics: []Metric{{unit, g}}, Bench: bench}
	}
	return []Series{
		series("block_lookup", "ns/op", Log, benchBlockLookup),
		series("block_delta", "ns/op", Linear, benchBlockDelta),
		series("block_memory", "bytes", Linear, benchBlockMemory),
	}
}

func benchBlockLookup(b *testing.B, n int) {
	table := NewTable(sampleBlocks(n))
	rng := rand.New(rand.NewPCG(3, 4))
	addrs := make([]netip.Addr, 1<<16)
	for i := range addrs {
		addrs[i] = blockAddress(rng.IntN(n))
	}
	i := 0
	for b.Loop() {
		if table.Lookup(addrs[i&(1<<16-1)]) == nil {
			b.Fatal("no block")
		}
		i++
	}
}

// benchBlockDelta applies the change of one site's share of the blocks.
func benchBlockDelta(b *testing.B, n int) {
	blocks := sampleBlocks(n)
	table := NewTable(blocks)
	delta := blocks[:n/sites]
	for b.Loop() {
		table = table.Apply(delta)
	}
}

func benchBlockMemory(b *testing.B, n int) {
	blocks := sampleBlocks(n)
	before := heapBytes()
	table := NewTable(blocks)
	used := heapBytes() - before
	for b.Loop() {
		runtime.KeepAlive(table)
	}
	b.ReportMetric(used, "bytes")
	runtime.KeepAlive(blocks)
}
