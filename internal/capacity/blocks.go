package capacity

import (
	"encoding/binary"
	"net/netip"
	"sort"
)

// SitesPerBlock is the number of sites to which the clients of one block can be
// directed.
const SitesPerBlock = 3

// Site is the number of a site. A site is one of the places that serve clients.
type Site uint16

// Block is a range of client addresses and the sites that serve these clients.
// Blocks do not overlap, and an IPv6 block is no smaller than a /64, so the first
// 64 bits of an address are enough to find its block.
type Block struct {
	// firstKey is the sort key of the first address in the range, as addressKey
	// returns it.
	firstKey uint64
	// Sites lists the sites in order of preference.
	Sites [SitesPerBlock]Site
}

// NewBlock returns the block of an address prefix, which may be IPv4, IPv6 or
// IPv4-mapped IPv6.
func NewBlock(prefix netip.Prefix, sites [SitesPerBlock]Site) Block {
	return Block{firstKey: addressKey(prefix.Addr()), Sites: sites}
}

// addressKey returns the sort key of an address: all bits of an IPv4 address,
// or the first 64 bits of an IPv6 address. The keys of IPv4 addresses are lower
// than those of global IPv6 addresses.
func addressKey(addr netip.Addr) uint64 {
	if addr.Is4() || addr.Is4In6() {
		b := addr.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := addr.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// blocksPerPage is the maximum number of blocks in a page. Apply copies every page
// that has a changed block. Smaller pages make these copies cheaper, but they make
// the list of pages longer, which Apply also copies.
const blocksPerPage = 512

// page holds consecutive blocks of a table, sorted by address.
type page struct {
	blocks []Block
}

// BlockTable maps client addresses to blocks. It is immutable: Apply returns a
// new table that shares the unchanged pages, so lookups need no lock.
type BlockTable struct {
	// firstKeys holds the sort key of the first address in each page.
	firstKeys []uint64
	pages     []*page
}

// NewBlockTable builds a table from blocks in any order.
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

// Lookup returns the block with the address: the last block that begins at or
// before the address, or nil if there is none. It does not check whether the
// address lies beyond the end of this block.
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

// Apply returns a new table in which the blocks in changed have the sites that
// changed lists for them. It ignores blocks that are not in the table.
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
