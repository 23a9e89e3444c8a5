package capacity

import (
	"encoding/binary"
	"net/netip"
	"sort"
)

// Choices is the number of sites named for a block, in order of preference.
const SitesPerBlock = 3

// Site numbers a site.
type Site uint16

// Block is a client block and the sites that serve it. Blocks do not overlap
// and are no smaller than a /64, so that 64 bits identify one.
type Block struct {
	firstKey uint64
	Sites    [SitesPerBlock]Site
}

// NewBlock makes a block from its prefix. IPv4 prefixes are mapped to IPv6.
func NewBlock(prefix netip.Prefix, sites [SitesPerBlock]Site) Block {
	return Block{firstKey: addressKey(prefix.Addr()), Sites: sites}
}

// key orders addresses by 64 bits: an IPv4 address, or the first half of an IPv6
// address. IPv4 keys stay below those of global IPv6 addresses.
func addressKey(addr netip.Addr) uint64 {
	if addr.Is4() || addr.Is4In6() {
		b := addr.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := addr.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// pageSize is the number of blocks of a page. A delta copies the pages that it
// touches, so smaller pages make deltas cheaper and the index larger.
const blocksPerPage = 512

type page struct {
	blocks []Block
}

// Table maps client addresses to sites. It is immutable: Apply returns a new
// table that shares the untouched pages, so look-ups need no lock.
type BlockTable struct {
	firstKeys []uint64
	pages     []*page
}

// NewTable builds a table from blocks in any order.
func NewBlockTable(blocks []Block) *BlockTable {
	sorted := append([]Block(nil), blocks...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].firstKey < sorted[j].firstKey })
	t := &BlockTable{}
	for len(sorted) > 0 {
		count := min(blocksPerPage, len(sorted))
		t.firstKeys = append(t.firstKeys, sorted[0].firstKey)
		t.pages = append(t.pages, &page{blocks: sorted[:count:count]})
		sorted = sorted[count:]
	}
	return t
}

// Lookup returns the block of the address, nil if the address comes before the
// first block.
func (t *BlockTable) Lookup(addr netip.Addr) *Block {
	wanted := addressKey(addr)
	pageIndex := sort.Search(len(t.firstKeys), func(i int) bool { return t.firstKeys[i] > wanted }) - 1
	if pageIndex < 0 {
		return nil
	}
	blocks := t.pages[pageIndex].blocks
	blockIndex := sort.Search(len(blocks), func(i int) bool { return blocks[i].firstKey > wanted }) - 1
	return &blocks[blockIndex]
}

// Apply returns a table in which the changed blocks have other sites. Blocks
// that the table does not hold are ignored.
func (t *BlockTable) Apply(changed []Block) *BlockTable {
	updated := &BlockTable{firstKeys: t.firstKeys, pages: append([]*page(nil), t.pages...)}
	copied := map[int]bool{}
	for _, change := range changed {
		pageIndex := sort.Search(len(t.firstKeys), func(i int) bool { return t.firstKeys[i] > change.firstKey }) - 1
		if pageIndex < 0 {
			continue
		}
		if !copied[pageIndex] {
			copied[pageIndex] = true
			updated.pages[pageIndex] = &page{blocks: append([]Block(nil), t.pages[pageIndex].blocks...)}
		}
		blocks := updated.pages[pageIndex].blocks
		blockIndex := sort.Search(len(blocks), func(i int) bool { return blocks[i].firstKey >= change.firstKey })
		if blockIndex < len(blocks) && blocks[blockIndex].firstKey == change.firstKey {
			blocks[blockIndex].Sites = change.Sites
		}
	}
	return updated
}
