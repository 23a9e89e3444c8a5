package capacity

import (
	"encoding/binary"
	"net/netip"
	"sort"
)

// Choices is the number of sites named for a block, in order of preference.
const Choices = 3

// Site numbers a site.
type Site uint16

// Block is a client block and the sites that serve it. Blocks do not overlap
// and are no smaller than a /64, so that 64 bits identify one.
type Block struct {
	start uint64
	Sites [Choices]Site
}

// NewBlock makes a block from its prefix. IPv4 prefixes are mapped to IPv6.
func NewBlock(p netip.Prefix, sites [Choices]Site) Block {
	return Block{start: key(p.Addr()), Sites: sites}
}

// key orders addresses by 64 bits: an IPv4 address, or the first half of an IPv6
// address. IPv4 keys stay below those of global IPv6 addresses.
func key(a netip.Addr) uint64 {
	if a.Is4() || a.Is4In6() {
		b := a.As4()
		return uint64(binary.BigEndian.Uint32(b[:]))
	}
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

// pageSize is the number of blocks of a page. A delta copies the pages that it
// touches, so smaller pages make deltas cheaper and the index larger.
const pageSize = 512

type page struct {
	blocks []Block
}

// Table maps client addresses to sites. It is immutable: Apply returns a new
// table that shares the untouched pages, so look-ups need no lock.
type Table struct {
	starts []uint64
	pages  []*page
}

// NewTable builds a table from blocks in any order.
func NewTable(blocks []Block) *Table {
	sorted := append([]Block(nil), blocks...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].start < sorted[j].start })
	t := &Table{}
	for len(sorted) > 0 {
		n := min(pageSize, len(sorted))
		t.starts = append(t.starts, sorted[0].start)
		t.pages = append(t.pages, &page{blocks: sorted[:n:n]})
		sorted = sorted[n:]
	}
	return t
}

// Lookup returns the block of the address, nil if the address comes before the
// first block.
func (t *Table) Lookup(a netip.Addr) *Block {
	k := key(a)
	p := sort.Search(len(t.starts), func(i int) bool { return t.starts[i] > k }) - 1
	if p < 0 {
		return nil
	}
	blocks := t.pages[p].blocks
	b := sort.Search(len(blocks), func(i int) bool { return blocks[i].start > k }) - 1
	return &blocks[b]
}

// Apply returns a table in which the changed blocks have other sites. Blocks
// that the table does not hold are ignored.
func (t *Table) Apply(changed []Block) *Table {
	next := &Table{starts: t.starts, pages: append([]*page(nil), t.pages...)}
	copied := map[int]bool{}
	for _, c := range changed {
		p := sort.Search(len(t.starts), func(i int) bool { return t.starts[i] > c.start }) - 1
		if p < 0 {
			continue
		}
		if !copied[p] {
			copied[p] = true
			next.pages[p] = &page{blocks: append([]Block(nil), t.pages[p].blocks...)}
		}
		blocks := next.pages[p].blocks
		b := sort.Search(len(blocks), func(i int) bool { return blocks[i].start >= c.start })
		if b < len(blocks) && blocks[b].start == c.start {
			blocks[b].Sites = c.Sites
		}
	}
	return next
}
