package capacity

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
)

// blockAddress returns the first address of the sample block with the given index.
func blockAddress(block int) netip.Addr {
	var bytes [4]byte
	binary.BigEndian.PutUint32(bytes[:], uint32(block)<<8)
	return netip.AddrFrom4(bytes)
}

// sampleBlocks returns consecutive /24 address blocks with random sites.
func sampleBlocks(count int) []Block {
	rng := rand.New(rand.NewPCG(1, 2))
	blocks := make([]Block, count)
	for i := range blocks {
		chosenSites := [SitesPerBlock]Site{Site(rng.IntN(numSites)), Site(rng.IntN(numSites)), Site(rng.IntN(numSites))}
		blocks[i] = NewBlock(netip.PrefixFrom(blockAddress(i), 24), chosenSites)
	}
	return blocks
}

// blockSeries lists the series that measure the costs of a BlockTable.
func blockSeries() []Series {
	sizes := []int{15_000, 60_000, 120_000, 240_000}
	series := func(name, unit string, g Growth, bench func(*testing.B, int)) Series {
		return Series{Name: name, Variable: "blocks", Sizes: sizes, DesignSize: 240_000,
			Metrics: []Metric{{unit, g}}, Bench: bench}
	}
	return []Series{
		series("block_lookup", "ns/op", Log, benchBlockLookup),
		series("block_delta", "ns/op", Linear, benchBlockDelta),
		series("block_memory", "bytes", Linear, benchBlockMemory),
	}
}

// benchBlockLookup measures the time to look up a random address in a table of n
// blocks.
func benchBlockLookup(b *testing.B, n int) {
	table := NewBlockTable(sampleBlocks(n))
	rng := rand.New(rand.NewPCG(3, 4))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = blockAddress(rng.IntN(n))
	}
	next := 0
	for b.Loop() {
		if table.Lookup(addresses[next&(1<<16-1)]) == nil {
			b.Fatal("no block")
		}
		next++
	}
}

// benchBlockDelta measures the time of BlockTable.Apply. It passes n/numSites
// blocks, the number of blocks per site.
func benchBlockDelta(b *testing.B, n int) {
	blocks := sampleBlocks(n)
	table := NewBlockTable(blocks)
	delta := blocks[:n/numSites]
	for b.Loop() {
		table = table.Apply(delta)
	}
}

// benchBlockMemory measures the heap size of a table of n blocks.
func benchBlockMemory(b *testing.B, n int) {
	blocks := sampleBlocks(n)
	heapBefore := heapBytes()
	table := NewBlockTable(blocks)
	usedBytes := heapBytes() - heapBefore
	for b.Loop() {
		runtime.KeepAlive(table)
	}
	b.ReportMetric(usedBytes, "bytes")
	runtime.KeepAlive(blocks)
}
